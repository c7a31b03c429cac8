#include "cornelfront/retry_budget.h"

#include <cmath>

namespace cornelfront {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions, MonoTime aNow)
  : options_(aOptions)
  , balance_(aOptions.floorPerSecond_)
  , advancedAt_(aNow)
{
}

void
RetryBudget::OnRequest(MonoTime aNow)
{
  Advance(aNow);
  balance_ += options_.share_;
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
  if (aNow <= advancedAt_) {
    return;
  }
  const Seconds passed = aNow - advancedAt_;
  const double kept = std::exp(-(passed / Seconds(options_.window_)));
  balance_ = balance_ * kept + options_.floorPerSecond_ * passed.count();
  advancedAt_ = aNow;
}

} // namespace cornelfront
