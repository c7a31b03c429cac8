#include "cornelfront/call_timeout.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {
namespace {

// The weights of RFC 6298.
constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kDeviations = 4.0;
/// Beyond this the timeout is at its maximum anyway.
constexpr int kMaxFactor = 64;

} // namespace

CallTimeout::CallTimeout(CallTimeoutOptions aOptions)
  : options_(aOptions)
{
}

Millis
CallTimeout::Current(MonoTime aNow) const
{
  const bool losing = lostAt_ && aNow - *lostAt_ < options_.lossPeriod_;
  const Millis least = losing ? options_.minAfterLoss_ : options_.min_;
  const double estimate = meanMs_.value_or(0.0) + kDeviations * deviationMs_;
  const Millis base =
    std::clamp(Millis(std::lround(estimate)), least, options_.max_);
  return std::min(base * factor_, options_.max_);
}

void
CallTimeout::OnAnswer(Millis aTime)
{
  unanswered_ = 0;
  factor_ = 1;
  const auto time = static_cast<double>(
    std::clamp(aTime, Millis(0), 2 * options_.max_).count());
  if (!meanMs_) {
    meanMs_ = time;
    deviationMs_ = time / 2;
    return;
  }
  deviationMs_ += kDeviationWeight * (std::abs(time - *meanMs_) - deviationMs_);
  *meanMs_ += kMeanWeight * (time - *meanMs_);
}

void
CallTimeout::OnNoAnswer(MonoTime aSent, MonoTime aNow)
{
  lostAt_ = aNow;
  if (aSent < widenedAt_ || ++unanswered_ <= options_.maxLost_) {
    return;
  }
  widenedAt_ = aNow;
  factor_ = std::min(2 * factor_, kMaxFactor);
}

} // namespace cornelfront
