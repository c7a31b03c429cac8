#pragma once

/// \file
/// Timeout of calls to one upstream, from the time that its answers take.

#include "cornelfront/clock.h"

#include <optional>

namespace cornelfront {

struct CallTimeoutOptions
{
  Millis min_{ 20 };
  /// Minimum while calls are being lost. A lost call hides what has ended for
  /// as long, which is worth some more calls then.
  Millis minAfterLoss_{ 10 };
  /// How long a lost call has this effect.
  Millis lossPeriod_{ 3000 };
  /// Several attempts fit into the time after which the upstream's lease ends.
  Millis max_{ 320 };
  /// Number of unanswered calls in a row that are taken as lost.
  int maxLost_ = 2;
};

/// Estimates the time to an answer and its spread with exponentially smoothed
/// mean and deviation (Jacobson, "Congestion avoidance and control", 1988;
/// RFC 6298). A lost call says nothing of that time, so it leaves the estimate
/// as it is: where a share of the calls is lost and the others are answered as
/// usual, the timeout stays short. Only after several calls in a row without an
/// answer it doubles with each further one, since the upstream may have become
/// slower than the timeout; the first answer ends that. Not thread-safe. All
/// times are from BootNow.
class CallTimeout
{
public:
  explicit CallTimeout(CallTimeoutOptions aOptions);

  /// Returns the time after which a call that is sent now counts as
  /// unanswered.
  Millis Current(MonoTime aNow) const;
  /// \p aTime is the time that the answer took, without any wait that the call
  /// asked for.
  void OnAnswer(Millis aTime);
  /// A call that was sent at \p aSent has had no answer in time. Calls that
  /// were sent before the last doubling don't count for the next one.
  void OnNoAnswer(MonoTime aSent, MonoTime aNow);

private:
  const CallTimeoutOptions options_;
  /// Mean and mean deviation, in milliseconds.
  std::optional<double> meanMs_;
  double deviationMs_ = 0.0;
  int unanswered_ = 0;
  int factor_ = 1;
  MonoTime widenedAt_;
  std::optional<MonoTime> lostAt_;
};

} // namespace cornelfront
