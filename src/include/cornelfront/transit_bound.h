#pragma once

/// \file
/// Bounds the time for which a message was under way between two processes
/// whose clocks differ.

#include "cornelfront/clock.h"

#include <chrono>
#include <optional>

namespace cornelfront {

/// Times that accompany a message, each on the clock of the process that set
/// it.
struct MessageTimes
{
  /// Time of sending, on the sender's clock.
  std::chrono::nanoseconds stamp_{ 0 };
  /// The receiver's newest stamp that had reached the sender by then; 0 if
  /// none.
  std::chrono::nanoseconds echo_{ 0 };
};

/// Takes the messages that one side of a link receives. Each proves that the
/// receiver's clock is ahead of the sender's by echo minus stamp at least; the
/// highest such figure bounds how long any message was under way, also one
/// whose own echo is old. Interval method after Marzullo and Owicki,
/// "Maintaining the time in a distributed system" (1983). Not thread-safe.
class TransitBound
{
public:
  /// Returns the longest time for which the message can have been under way, or
  /// nothing if no bound is known. Times that neither clock can have are
  /// ignored.
  std::optional<Millis> Measure(const MessageTimes& aTimes, MonoTime aNow);

private:
  void Advance(MonoTime aNow);
  std::optional<std::chrono::nanoseconds> LeastOffset() const;

  /// Least offset of the clocks by the messages of the present window, and of
  /// the one before it. Clocks drift, so older figures do not count.
  std::optional<std::chrono::nanoseconds> current_;
  std::optional<std::chrono::nanoseconds> previous_;
  MonoTime windowStart_;
};

} // namespace cornelfront
