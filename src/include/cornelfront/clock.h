#pragma once

/// \file
/// Time types. Decision logic never reads a clock: it takes the current time as
/// an argument of one of these types.

#include <chrono>

namespace cornelfront {

/// Monotonic clock; its values are meaningful only within this process.
using MonoClock = std::chrono::steady_clock;
using MonoTime = MonoClock::time_point;
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;
using Millis = std::chrono::milliseconds;

/// Returns the time since boot (CLOCK_BOOTTIME) as a MonoTime. Leases use it
/// because the monotonic clock stops while the machine is suspended. Its values
/// must never be mixed with those of MonoClock::now.
MonoTime
BootNow();

} // namespace cornelfront
