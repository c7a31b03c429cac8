#include "cornelfront/quota.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

namespace {

using Seconds = std::chrono::duration<double>;

/// Lower bound of the rate, which avoids a division by zero for a quota of 0.
constexpr double kMinRate = 1e-3;
constexpr Millis kMinRetryAfter{ 1 };

Millis
RefillTime(double aTokens, double aRate)
{
  return std::chrono::ceil<Millis>(Seconds(std::max(0.0, aTokens) / aRate));
}

} // namespace

std::optional<Millis>
TeamQuotas::Take(const std::string& aTeam,
                 const TeamQuota& aQuota,
                 uint64_t aTasks,
                 unsigned aLiveEntries,
                 MonoTime aNow)
{
  const double entries = std::max(aLiveEntries, 1U);
  const double rate = std::max(aQuota.startsPerSecond_ / entries, kMinRate);
  const double burst = std::max(aQuota.burst_ / entries, 1.0);
  const auto [found, isNew] = buckets_.try_emplace(
    aTeam, Bucket{ .tokens_ = burst, .refilledAt_ = aNow });
  Bucket& bucket = found->second;
  const double refilled = rate * Seconds(aNow - bucket.refilledAt_).count();
  bucket.tokens_ = std::min(bucket.tokens_ + refilled, burst);
  bucket.refilledAt_ = aNow;

  const auto tasks = static_cast<double>(aTasks);
  const double needed = std::min(tasks, burst);
  if (bucket.tokens_ < needed) {
    return std::max(RefillTime(needed - bucket.tokens_, rate), kMinRetryAfter);
  }
  bucket.tokens_ -= tasks;
  bucket.fullAt_ = aNow + RefillTime(burst - bucket.tokens_, rate);
  return std::nullopt;
}

void
TeamQuotas::Refund(const std::string& aTeam, uint64_t aTasks)
{
  auto found = buckets_.find(aTeam);
  if (found != buckets_.end()) {
    found->second.tokens_ += static_cast<double>(aTasks);
  }
}

void
TeamQuotas::Prune(MonoTime aNow)
{
  std::erase_if(buckets_, [aNow](const auto& aEntry) {
    return aEntry.second.fullAt_ < aNow;
  });
}

} // namespace cornelfront
