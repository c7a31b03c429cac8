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

} // namespace cornelfront
