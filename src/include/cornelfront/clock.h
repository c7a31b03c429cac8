#pragma once

/// \file
/// Time types. Deciding functions never read a clock: they take the present
/// time as an argument of one of these types.

#include <chrono>

namespace cornelfront {

/// Monotonic clock of this process; differences are meaningful only inside it.
using MonoClock = std::chrono::steady_clock;
using MonoTime = MonoClock::time_point;
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;
using Millis = std::chrono::milliseconds;

/// Time since boot, suspension of the machine included, as a MonoTime. Leases
/// are measured on it: the monotonic clock stands still during a suspension.
/// Never mix its values with those of MonoClock::now.
MonoTime
BootNow();

} // namespace cornelfront
