#pragma once

/// \file
/// Seeded arrivals, and the response times that an ideal system would give.

#include "cornelfront/clock.h"

#include <cstdint>
#include <vector>

namespace cornelfront {

/// One call or job of a trace.
struct Arrival
{
  /// Time since the start of the trace.
  Millis at_{ 0 };
  /// True run time of each task; more than one makes a job.
  std::vector<Millis> runTimes_;
};

struct TraceOptions
{
  uint64_t seed_ = 1;
  std::chrono::seconds duration_{ 30 };
  uint32_t slots_ = 88;
  /// Mean share of the slots that the tasks occupy.
  double utilisation_ = 0.7;
  /// Share of the requests that are jobs.
  double jobShare_ = 0.05;
  uint32_t mostTasksPerJob_ = 20;
  /// Share of the tasks that run for several seconds.
  double longShare_ = 0.02;
  /// Offered load during the middle tenth of the trace, as a multiple of the
  /// slots; 0 means no burst.
  double burst_ = 0;
};

/// Returns arrivals in order of time. Run times are spread over 50 ms to one
/// second around a median of 200 ms, save for the long ones.
std::vector<Arrival>
MakeTrace(const TraceOptions& aOptions);

/// A group of slots that takes no new task for some time.
struct Outage
{
  uint32_t slots_ = 0;
  Millis from_{ 0 };
  Millis until_{ 0 };
};

/// Returns the response time of each arrival if a single queue in order of
/// arrival served all slots without any overhead.
std::vector<Millis>
IdealResponses(const std::vector<Arrival>& aTrace,
               uint32_t aSlots,
               const Outage& aOutage = {});

/// Quantile of a sample, 0 to 1; zero if it is empty.
Millis
QuantileOf(std::vector<Millis> aSample, double aShare);

} // namespace cornelfront
