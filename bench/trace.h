#pragma once

/// \file
/// Seeded traces of arrivals, and the response times of an ideal system.

#include "cornelfront/clock.h"

#include <cstdint>
#include <vector>

namespace cornelfront {

/// One request of a trace, a call or a job.
struct Arrival
{
  /// Time since the start of the trace.
  Millis at_{ 0 };
  /// Run time of each task; a call has one task, a job has more.
  std::vector<Millis> runTimes_;
};

struct TraceOptions
{
  uint64_t seed_ = 1;
  std::chrono::seconds duration_{ 30 };
  uint32_t slots_ = 88;
  /// Mean fraction of the slots that are busy.
  double utilisation_ = 0.7;
  /// Fraction of the requests that are jobs.
  double jobFraction_ = 0.05;
  uint32_t maxTasksPerJob_ = 20;
  /// Fraction of the tasks that run for several seconds.
  double longFraction_ = 0.02;
  /// Offered load during the middle tenth of the trace, as a multiple of the
  /// slots; 0 means no burst.
  double burst_ = 0;
};

/// Returns arrivals ordered by time. Run times are log-normal with a median of
/// 200 ms, clamped to 50 ms to 1 s; those of long tasks are uniform from 2 s to
/// 4 s.
std::vector<Arrival>
MakeTrace(const TraceOptions& aOptions);

/// A period during which a group of slots starts no task.
struct Outage
{
  uint32_t slots_ = 0;
  Millis from_{ 0 };
  Millis until_{ 0 };
};

/// Returns the response time of each arrival in an ideal system: a single FIFO
/// queue that feeds all slots without overhead.
std::vector<Millis>
IdealResponses(const std::vector<Arrival>& aTrace,
               uint32_t aSlots,
               const Outage& aOutage = {});

/// Returns the quantile \p aQuantile, 0 to 1, of a sample; zero if the sample
/// is empty.
Millis
QuantileOf(std::vector<Millis> aSample, double aQuantile);

} // namespace cornelfront
