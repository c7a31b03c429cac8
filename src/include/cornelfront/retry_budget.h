#pragma once

/// \file
/// Bound on retries as a share of the traffic.

#include "cornelfront/clock.h"

namespace cornelfront {

struct RetryBudgetOptions
{
  /// Retries per request.
  double share_ = 0.1;
  /// Retries per second that are allowed without any traffic.
  double floorPerSecond_ = 1;
  /// Time after which unused allowance has mostly lapsed.
  std::chrono::seconds window_{ 10 };
};

/// Allows retries up to a share of the requests of the recent past. A bound on
/// the number of retries per request would multiply the traffic when
/// everything fails; this one never does. Not thread-safe.
/// Source: the retry budgets of Finagle.
class RetryBudget
{
public:
  RetryBudget(RetryBudgetOptions aOptions, MonoTime aNow);

  /// Takes note of a first attempt.
  void OnRequest(MonoTime aNow);

  /// Takes the allowance for one retry; false if there is none.
  bool TryRetry(MonoTime aNow);

private:
  void Advance(MonoTime aNow);

  RetryBudgetOptions options_;
  double balance_;
  MonoTime advancedAt_;
};

} // namespace cornelfront
