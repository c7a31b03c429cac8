#pragma once

/// \file
/// Replays a load pattern against the scheduling decisions alone: the
/// JobScheduler of each entry and the RunTable of each sidecar, in simulated
/// time. An upstream is a capacity and a set of running tasks, a link is a
/// delay; processes cost no time.

#include "cornelfront/load_pattern.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelfront {

/// Jobs by outcome. A job is in time if it completes within its objective,
/// which counts from its first submission.
struct LoadOutcomes
{
  uint64_t submitted_ = 0;
  uint64_t inTime_ = 0;
  uint64_t late_ = 0;
  uint64_t refused_ = 0;
  uint64_t failed_ = 0;

  /// Share of the jobs in time, a late one counting a fifth; 1 without jobs.
  double Worth() const;
};

struct LoadKindOutcomes
{
  std::string kind_;
  LoadOutcomes outcomes_;
};

struct LoadReplayResult
{
  LoadOutcomes total_;
  std::vector<LoadKindOutcomes> kinds_;
  /// Jobs by the two seconds in which they were submitted.
  std::vector<LoadOutcomes> windows_;
  uint64_t starts_ = 0;
  /// Orders that sidecars returned without starting them.
  uint64_t returned_ = 0;
  /// Messages from sidecars to entries.
  uint64_t reports_ = 0;

  double WorstWindow() const;
};

/// Deterministic for a pattern, its seed included.
LoadReplayResult
ReplayLoad(const LoadPattern& aPattern);

} // namespace cornelfront
