#pragma once

/// \file
/// Notices for how long a process did not run, and how old that makes what it
/// finds afterwards.

#include "cornelfront/clock.h"

#include <optional>

namespace cornelfront {

/// For classes that are called with the present time more often than each
/// kLongestPause while the process runs. Not thread-safe. All times are from
/// BootNow.
class Standstill
{
public:
  /// Calls are further apart than this only if the process does not run.
  static constexpr Millis kLongestPause{ 75 };

  /// Must be called first by each function that is given the present time.
  /// Returns the time since the call before; 0 at the first one.
  MonoTime::duration OnCall(MonoTime aNow);
  /// Returns for how long what the last call notices may be past: messages and
  /// ends of connections that came during a standstill are handled soon after
  /// it.
  Millis AgeOfNews() const;
  /// Time of the last call.
  MonoTime LastCall() const { return lastCall_.value_or(MonoTime()); }

private:
  std::optional<MonoTime> lastCall_;
  /// The last standstill; unset if there was none.
  std::optional<MonoTime> pausedAt_;
  MonoTime resumedAt_;
};

} // namespace cornelfront
