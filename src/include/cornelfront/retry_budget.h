#pragma once

/// \file
/// Limits retries to a fraction of the traffic.

#include "cornelfront/clock.h"

namespace cornelfront {

struct RetryBudgetOptions
{
  /// Retries allowed per request.
  double retryRatio_ = 0.1;
  /// Retries allowed per second even without traffic.
  double minRetriesPerSecond_ = 1;
  /// Time constant with which unused retries expire.
  std::chrono::seconds window_{ 10 };
};

/// Allows retries up to a fraction of the recent requests. A limit on the
/// retries of each request would multiply the traffic when everything fails; a
/// budget does not. Not thread-safe. Modelled on the retry budgets of Finagle.
class RetryBudget
{
public:
  RetryBudget(RetryBudgetOptions aOptions, MonoTime aNow);

  /// Records the first attempt of a request.
  void OnRequest(MonoTime aNow);

  /// Takes one retry from the budget; returns false if the budget is used up.
  bool TryRetry(MonoTime aNow);

private:
  void Advance(MonoTime aNow);

  RetryBudgetOptions options_;
  double balance_;
  MonoTime lastAdvance_;
};

} // namespace cornelfront
