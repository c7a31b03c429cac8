#pragma once

/// \file
/// Helpers shared by the files that implement JobScheduler.

#include "cornelfront/clock.h"

#include <cmath>

namespace cornelfront {

inline double
ToMs(MonoClock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

inline Millis
FromMs(double aMs)
{
  return Millis(static_cast<int64_t>(std::llround(aMs)));
}

} // namespace cornelfront
