#pragma once

/// \file
/// Delays between the attempts of an operation that is retried.

#include "cornelfront/clock.h"

#include <cstdint>
#include <random>

namespace cornelfront {

struct BackoffOptions
{
  /// Delay after the first of several consecutive failures; each further
  /// failure doubles it.
  Millis initial_{ 100 };
  Millis max_{ 800 };
  /// Share of each delay that is drawn at random, so that many processes that
  /// failed at the same time do not retry at the same time.
  double jitter_ = 0.3;
  uint64_t seed_ = std::random_device()();
};

/// Truncated exponential backoff with jitter. Delays count from the start of
/// the failed attempt, so an attempt that timed out adds little to its delay.
/// Not thread-safe.
class Backoff
{
public:
  explicit Backoff(BackoffOptions aOptions);

  /// Returns the time to wait from \p aNow until the next attempt; 0 if the
  /// failed attempt took longer than the delay.
  Millis OnFailure(MonoTime aAttemptStart, MonoTime aNow);
  /// The next failure is the first one again.
  void Reset() { delay_ = options_.initial_; }

private:
  const BackoffOptions options_;
  Millis delay_;
  std::mt19937_64 random_;
};

} // namespace cornelfront
