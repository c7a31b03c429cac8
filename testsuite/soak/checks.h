#pragma once

/// \file
/// The promises that the soak checks, from what callers and executors saw.

#include "platform_cluster.h"

#include <string>
#include <vector>

namespace cornelfront::soak {

/// Wall-clock milliseconds; 0 means never.
using Stamp = int64_t;

Stamp
StampNow();

/// What a caller submitted, and what it was told.
struct JobRecord
{
  std::string id_;
  bool bestEffort_ = false;
  unsigned tasks_ = 0;
  /// All runs of its tasks fail.
  bool fails_ = false;
  /// Every attempt to submit it was refused, with nothing left open.
  bool refused_ = false;
  /// First 2xx of a stored job.
  Stamp accepted_ = 0;
  /// Answer of a best-effort job that has ended: "completed" or "failed".
  std::string answer_;
  Stamp answered_ = 0;
  /// When its caller had asked to cancel it.
  Stamp cancelled_ = 0;
  /// What each entry says of a stored job at the end of the soak.
  std::vector<std::string> states_;
};

/// A span in which executor \p executor_ must not start anything, because it
/// drains or its zone is out of service.
struct ClosedSpan
{
  unsigned executor_ = 0;
  Stamp from_ = 0;
  Stamp to_ = 0;
  std::string why_;
};

/// A request whose connection ended without an answer.
struct CutRequest
{
  size_t entry_ = 0;
  Stamp from_ = 0;
  Stamp to_ = 0;
};

/// A span in which an entry must not cut requests: it is well, or stops as
/// planned, and nothing near is disturbed.
struct CalmSpan
{
  size_t entry_ = 0;
  Stamp from_ = 0;
  Stamp to_ = 0;
};

struct Observations
{
  std::vector<JobRecord> jobs_;
  std::vector<harness::RunRecord> runs_;
  std::vector<ClosedSpan> closed_;
  std::vector<CutRequest> cuts_;
  std::vector<CalmSpan> calm_;
};

/// One line for each promise that was broken.
std::vector<std::string>
FindViolations(const Observations& aObservations);

} // namespace cornelfront::soak
