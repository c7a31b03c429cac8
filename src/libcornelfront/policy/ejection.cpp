#include "cornelfront/ejection.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

namespace {

/// Accepted probability that a healthy sidecar is ejected for consecutive
/// failures.
constexpr double kChanceOfError = 1e-3;
constexpr double kLowestMeanRate = 1e-3;
constexpr double kHighestMeanRate = 0.99;
/// Failure rate below which a sidecar counts as recovered and its count of
/// ejections is reset.
constexpr double kRecoveredRate = 0.05;
/// With fewer sidecars, an ejection would remove too much of the capacity.
constexpr size_t kFewestForEjection = 3;
constexpr uint32_t kMostDoublings = 16;

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
  rateSum_ -= found->second.rate_;
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
  NoteAnswer(health, aFailed);
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
  const auto share = static_cast<size_t>(options_.maxEjectedShare_ *
                                         static_cast<double>(members_.size()));
  const size_t least = members_.size() < kFewestForEjection ? 0 : 1;
  return probes_.size() > std::max(share, least);
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
  const Millis patience = aRepeatable ? Millis(0) : BackOff(health);
  if (health.probeAt_ + patience > aNow) {
    return std::nullopt;
  }
  // Counted as failed until its answer shows otherwise.
  ++health.ejections_;
  ScheduleProbe(id, health, aNow);
  return id;
}

void
EjectionPolicy::NoteAnswer(Health& aHealth, bool aFailed)
{
  ++aHealth.answers_;
  aHealth.consecutive_ = aFailed ? aHealth.consecutive_ + 1 : 0;
  const double weight =
    1.0 / std::min(aHealth.answers_, options_.windowAnswers_);
  const double before = aHealth.rate_;
  aHealth.rate_ += weight * ((aFailed ? 1.0 : 0.0) - before);
  rateSum_ += aHealth.rate_ - before;
  if (aHealth.rate_ < kRecoveredRate &&
      aHealth.answers_ >= options_.windowAnswers_) {
    aHealth.ejections_ = 0;
  }
}

bool
EjectionPolicy::IsOutlier(const Health& aHealth) const
{
  const double mean = MeanRateOfOthers(aHealth);
  const bool rateIsHigh = aHealth.answers_ >= options_.windowAnswers_ / 2 &&
                          aHealth.rate_ > mean + options_.excessRate_;
  return rateIsHigh || aHealth.consecutive_ >= ConsecutiveNeeded(mean);
}

double
EjectionPolicy::MeanRateOfOthers(const Health& aHealth) const
{
  if (members_.size() < 2) {
    return 0;
  }
  const double others = static_cast<double>(members_.size() - 1);
  return std::max(0.0, rateSum_ - aHealth.rate_) / others;
}

uint32_t
EjectionPolicy::ConsecutiveNeeded(double aMeanRate) const
{
  const double rate = std::clamp(aMeanRate, kLowestMeanRate, kHighestMeanRate);
  const double needed = std::ceil(std::log(kChanceOfError) / std::log(rate));
  return std::max(options_.consecutiveFailures_, static_cast<uint32_t>(needed));
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
  rateSum_ -= aHealth.rate_;
  aHealth = Health{ .ejections_ = aHealth.ejections_ };
}

Millis
EjectionPolicy::BackOff(const Health& aHealth) const
{
  const uint32_t doublings = std::min(
    aHealth.ejections_ > 0 ? aHealth.ejections_ - 1 : 0U, kMostDoublings);
  return std::min(options_.firstEjection_ * (1U << doublings),
                  options_.longestEjection_);
}

void
EjectionPolicy::ScheduleProbe(MemberId aId, Health& aHealth, MonoTime aNow)
{
  probes_.erase({ aHealth.probeAt_, aId.value_ });
  aHealth.probeAt_ = aNow + BackOff(aHealth);
  probes_.emplace(aHealth.probeAt_, aId.value_);
}

} // namespace cornelfront
