#include "cornelfront/ejection.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

namespace {

/// Accepted probability that a healthy sidecar is ejected for consecutive
/// failures.
constexpr double kFalsePositiveRate = 1e-3;
constexpr double kMinMeanRate = 1e-3;
constexpr double kMaxMeanRate = 0.99;
/// Failure rate below which a sidecar counts as recovered and its count of
/// ejections is reset.
constexpr double kRecoveredRate = 0.05;
/// With fewer sidecars, an ejection would remove too much of the capacity.
constexpr size_t kMinSidecars = 3;
constexpr uint32_t kMaxDoublings = 16;

} // namespace

EjectionPolicy::EjectionPolicy(EjectionOptions aOptions)
  : options_(aOptions)
{
}

void
EjectionPolicy::Add(MemberId aId)
{
  members_.try_emplace(aId);
}

void
EjectionPolicy::Erase(MemberId aId)
{
  auto found = members_.find(aId);
  if (found == members_.end()) {
    return;
  }
  rateSum_ -= found->second.failureRate_;
  probes_.erase({ found->second.probeAt_, aId.value_ });
  members_.erase(found);
}

EjectionPolicy::Change
EjectionPolicy::OnAnswer(MemberId aId, bool aFailed, MonoTime aNow)
{
  auto found = members_.find(aId);
  if (!options_.enabled_ || found == members_.end()) {
    return Change::None;
  }
  Health& health = found->second;
  const bool wasFailing = health.failing_;
  const bool wasSuspended = IsSuspended();
  RecordAnswer(health, aFailed);
  if (wasFailing && !aFailed) {
    ClearFailing(aId, health);
  } else if (aFailed && !wasFailing && IsOutlier(health)) {
    MarkFailing(aId, health, aNow);
  }
  if (IsSuspended() != wasSuspended) {
    return wasSuspended ? Change::Resumed : Change::Suspended;
  }
  if (health.failing_ == wasFailing || wasSuspended) {
    return Change::None;
  }
  return wasFailing ? Change::Returned : Change::Ejected;
}

bool
EjectionPolicy::IsEjected(MemberId aId) const
{
  auto found = members_.find(aId);
  return found != members_.end() && found->second.failing_ && !IsSuspended();
}

bool
EjectionPolicy::IsSuspended() const
{
  const auto fraction = static_cast<size_t>(
    options_.maxEjectedFraction_ * static_cast<double>(members_.size()));
  const size_t minimum = members_.size() < kMinSidecars ? 0 : 1;
  return probes_.size() > std::max(fraction, minimum);
}

size_t
EjectionPolicy::EjectedCount() const
{
  return IsSuspended() ? 0 : probes_.size();
}

std::optional<MemberId>
EjectionPolicy::NextProbe(bool aRepeatable, MonoTime aNow)
{
  if (probes_.empty() || IsSuspended()) {
    return std::nullopt;
  }
  const MemberId id{ probes_.begin()->second };
  Health& health = members_.at(id);
  const Millis extraDelay = aRepeatable ? Millis(0) : Backoff(health);
  if (health.probeAt_ + extraDelay > aNow) {
    return std::nullopt;
  }
  // Counted as failed until its answer shows otherwise.
  ++health.ejections_;
  ScheduleProbe(id, health, aNow);
  return id;
}

void
EjectionPolicy::RecordAnswer(Health& aHealth, bool aFailed)
{
  ++aHealth.answers_;
  aHealth.consecutive_ = aFailed ? aHealth.consecutive_ + 1 : 0;
  const double weight =
    1.0 / std::min(aHealth.answers_, options_.windowAnswers_);
  const double previousRate = aHealth.failureRate_;
  aHealth.failureRate_ += weight * ((aFailed ? 1.0 : 0.0) - previousRate);
  rateSum_ += aHealth.failureRate_ - previousRate;
  if (aHealth.failureRate_ < kRecoveredRate &&
      aHealth.answers_ >= options_.windowAnswers_) {
    aHealth.ejections_ = 0;
  }
}

bool
EjectionPolicy::IsOutlier(const Health& aHealth) const
{
  const double mean = MeanRateOfOthers(aHealth);
  const bool rateIsHigh = aHealth.answers_ >= options_.windowAnswers_ / 2 &&
                          aHealth.failureRate_ > mean + options_.excessRate_;
  return rateIsHigh || aHealth.consecutive_ >= ConsecutiveThreshold(mean);
}

double
EjectionPolicy::MeanRateOfOthers(const Health& aHealth) const
{
  if (members_.size() < 2) {
    return 0;
  }
  const double others = static_cast<double>(members_.size() - 1);
  return std::max(0.0, rateSum_ - aHealth.failureRate_) / others;
}

uint32_t
EjectionPolicy::ConsecutiveThreshold(double aMeanRate) const
{
  const double rate = std::clamp(aMeanRate, kMinMeanRate, kMaxMeanRate);
  const double threshold =
    std::ceil(std::log(kFalsePositiveRate) / std::log(rate));
  return std::max(options_.consecutiveFailures_,
                  static_cast<uint32_t>(threshold));
}

void
EjectionPolicy::MarkFailing(MemberId aId, Health& aHealth, MonoTime aNow)
{
  aHealth.failing_ = true;
  ++aHealth.ejections_;
  ScheduleProbe(aId, aHealth, aNow);
}

void
EjectionPolicy::ClearFailing(MemberId aId, Health& aHealth)
{
  probes_.erase({ aHealth.probeAt_, aId.value_ });
  rateSum_ -= aHealth.failureRate_;
  aHealth = Health{ .ejections_ = aHealth.ejections_ };
}

Millis
EjectionPolicy::Backoff(const Health& aHealth) const
{
  const uint32_t doublings = std::min(
    aHealth.ejections_ > 0 ? aHealth.ejections_ - 1 : 0U, kMaxDoublings);
  return std::min(options_.baseEjectionTime_ * (1U << doublings),
                  options_.maxEjectionTime_);
}

void
EjectionPolicy::ScheduleProbe(MemberId aId, Health& aHealth, MonoTime aNow)
{
  probes_.erase({ aHealth.probeAt_, aId.value_ });
  aHealth.probeAt_ = aNow + Backoff(aHealth);
  probes_.emplace(aHealth.probeAt_, aId.value_);
}

} // namespace cornelfront
