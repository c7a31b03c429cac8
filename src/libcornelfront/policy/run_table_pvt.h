#pragma once

/// \file
/// Helpers shared by the files that implement RunTable.

#include "cornelfront/clock.h"
#include "cornelfront/run_messages.h"

namespace cornelfront {

inline Millis
Since(MonoTime aThen, MonoTime aNow)
{
  return std::chrono::duration_cast<Millis>(aNow - aThen);
}

/// True if the upstream is given a number for this item of the table's runs
/// that entries can't tell from its key.
template<class RunItem>
bool
HasOtherNumber(const RunItem& aItem)
{
  return aItem.second.upstreamRunNumber_ != aItem.first.run_;
}

/// True if \p aRuns, a map by RunKey, holds a run of the task.
template<class RunMap>
bool
HasTask(const RunMap& aRuns, const JobTaskId& aTask)
{
  const auto run = aRuns.lower_bound({ aTask, 0 });
  return run != aRuns.end() && run->first.task_ == aTask;
}

} // namespace cornelfront
