#pragma once

/// \file
/// Notices for how long a process did not run, and how old that makes what it
/// finds afterwards.

#include "cornelfront/clock.h"

#include <deque>
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
  struct Pause
  {
    MonoTime begin_;
    /// Its end, and later by as long as the process has stood still since.
    MonoTime end_;
  };

  std::optional<MonoTime> lastCall_;
  /// Standstills whose news may not all have been handled, by time.
  std::deque<Pause> recent_;
};

} // namespace cornelfront
