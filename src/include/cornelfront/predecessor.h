#pragma once

/// \file
/// Decides when a new sidecar process may tell entries what runs on its
/// upstream.

#include "cornelfront/clock.h"
#include "cornelfront/run_table.h"

namespace cornelfront {

/// What a sidecar process knows of the runs that its predecessor, if there was
/// one, may have left.
struct PredecessorView
{
  /// Time since the start of this process; its predecessor had ended before.
  Millis age_{ 0 };
  /// The upstream has answered a poll.
  bool answered_ = false;
  /// It lists runs that were not ordered through this process.
  bool hasOrphans_ = false;
};

/// True if all runs that a predecessor ordered are known to have ended.
bool
HavePredecessorRunsEnded(const PredecessorView& aView,
                         const RunTableOptions& aOptions);

} // namespace cornelfront
