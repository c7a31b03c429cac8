#include "cornelfront/backoff.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

Backoff::Backoff(BackoffOptions aOptions)
  : options_(aOptions)
  , delay_(aOptions.initial_)
  , random_(aOptions.seed_)
{
}

Millis
Backoff::OnFailure(MonoTime aAttemptStart, MonoTime aNow)
{
  const double longest = static_cast<double>(delay_.count());
  const double shortest = longest * (1.0 - options_.jitter_);
  const auto drawn = Millis(std::llround(
    std::uniform_real_distribution<double>(shortest, longest)(random_)));
  delay_ = std::min(delay_ * 2, options_.max_);
  const auto elapsed = std::chrono::duration_cast<Millis>(aNow - aAttemptStart);
  return std::max(drawn - elapsed, Millis(0));
}

} // namespace cornelfront
