#include "cornelfront/retry_budget.h"

#include <cmath>

namespace cornelfront {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions, MonoTime aNow)
  : options_(aOptions)
  , balance_(aOptions.minRetriesPerSecond_)
  , lastAdvance_(aNow)
{
}

void
RetryBudget::OnRequest(MonoTime aNow)
{
  Advance(aNow);
  balance_ += options_.retryRatio_;
}

bool
RetryBudget::TryRetry(MonoTime aNow)
{
  Advance(aNow);
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

void
RetryBudget::Advance(MonoTime aNow)
{
  using Seconds = std::chrono::duration<double>;
  if (aNow <= lastAdvance_) {
    return;
  }
  const Seconds elapsed = aNow - lastAdvance_;
  const double decay = std::exp(-(elapsed / Seconds(options_.window_)));
  balance_ = balance_ * decay + options_.minRetriesPerSecond_ * elapsed.count();
  lastAdvance_ = aNow;
}

} // namespace cornelfront
