#pragma once

/// \file
/// Checks the guarantees of the system against what callers and executors
/// observed during the soak test.

#include "platform_cluster.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelfront::soak {

/// Wall-clock milliseconds; 0 means never.
using WallMillis = int64_t;

WallMillis
WallMillisNow();

/// A job that a caller submitted, and the answers that it received.
struct JobRecord
{
  std::string id_;
  bool bestEffort_ = false;
  /// Number of tasks of each step.
  unsigned tasks_ = 0;
  /// Each step waits for the one before it.
  unsigned steps_ = 1;
  /// Number of times that a stored job runs.
  unsigned occurrences_ = 1;
  /// Its tasks run until the job is cancelled.
  bool lasts_ = false;
  /// True if all runs of its tasks fail.
  bool fails_ = false;
  /// True if every attempt to submit it was refused, so that it cannot have
  /// run.
  bool refused_ = false;
  /// When a stored job was first accepted with status 200.
  WallMillis accepted_ = 0;
  /// Answer of a best-effort job that has ended: "completed" or "failed".
  std::string answer_;
  WallMillis answered_ = 0;
  /// When its caller had requested the cancellation.
  WallMillis cancelled_ = 0;
  /// State of a stored job at the end of the soak, as reported by each entry.
  std::vector<std::string> states_;
};

/// A time interval in which executor \c executor_ must start no run, because it
/// drains or its zone is out of service.
struct NoStartInterval
{
  unsigned executor_ = 0;
  WallMillis from_ = 0;
  WallMillis to_ = 0;
  std::string why_;
};

/// A request whose connection was closed without an answer.
struct AbortedRequest
{
  size_t entry_ = 0;
  WallMillis from_ = 0;
  WallMillis to_ = 0;
};

/// A time interval in which an entry must not abort requests: there is no
/// fault, and the entry works or is in a planned stop.
struct UndisturbedInterval
{
  size_t entry_ = 0;
  WallMillis from_ = 0;
  /// The first millisecond in which a fault may have begun.
  WallMillis to_ = 0;
};

/// What the soak test recorded, the input of the checks.
struct Observations
{
  std::vector<JobRecord> jobs_;
  std::vector<harness::RunRecord> runs_;
  std::vector<NoStartInterval> noStart_;
  std::vector<AbortedRequest> aborted_;
  std::vector<UndisturbedInterval> undisturbed_;
};

/// Returns one line for each violated guarantee.
std::vector<std::string>
FindViolations(const Observations& aObservations);

/// Returns the least time between the end of a run and the start of the next
/// run of its task on another executor, of all runs that lapsed or were
/// stopped: what is left of the margin that keeps two runs apart. Below 0 if
/// they overlap; empty if there is no such pair.
std::optional<Millis>
LeastMargin(const std::vector<harness::RunRecord>& aRuns);

} // namespace cornelfront::soak
