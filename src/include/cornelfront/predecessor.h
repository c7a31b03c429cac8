#pragma once

/// \file
/// Decides when a new sidecar process may tell entries what runs on its
/// upstream.

#include "cornelfront/clock.h"
#include "cornelfront/run_table.h"

#include <cstdint>
#include <optional>

namespace cornelfront {

/// What a sidecar process knows of the runs that its predecessor, if there was
/// one, may have left.
struct PredecessorView
{
  /// Time since the start of this process; its predecessor had ended before.
  Millis age_{ 0 };
  /// Value of age_ when the newest poll was sent that the present incarnation
  /// of the upstream has answered.
  std::optional<Millis> polledAt_;
  /// Time for which that incarnation has been there, if it is known.
  std::optional<Millis> upstreamAge_;
  /// It lists runs that were not ordered through this process.
  bool hasOrphans_ = false;
};

/// Returns how long an incarnation has been there, the lower of its own clock
/// and of what the time of day says; nothing if it tells no start time.
std::optional<Millis>
UpstreamAge(int64_t aStartedMs, UpstreamTime aClock, Millis aTimeOfDay);

/// True if all runs that a predecessor ordered are known to have ended. An
/// answer without them proves it only for the incarnation that gave it: an
/// earlier one may live on beside it until its lease is over.
bool
HavePredecessorRunsEnded(const PredecessorView& aView,
                         const RunTableOptions& aOptions);

} // namespace cornelfront
