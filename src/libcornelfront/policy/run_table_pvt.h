#pragma once

/// \file
/// Helpers shared by the files that implement RunTable.

#include "cornelfront/clock.h"

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

} // namespace cornelfront
