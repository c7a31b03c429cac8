#include "controllers/quota_controller.h"

#include <utility>

namespace cornelfront {

namespace {

constexpr uint32_t kTakesPerPrune = 1024;

} // namespace

QuotaController::QuotaController(LiveEntries aLiveEntries)
  : liveEntries_(std::move(aLiveEntries))
{
}

std::optional<Millis>
QuotaController::Take(const ServiceSchema& aService,
                      const std::string& aTeam,
                      size_t aTasks,
                      MonoTime aNow)
{
  const auto quota = aService.teams_.find(aTeam);
  if (quota == aService.teams_.end()) {
    return std::nullopt;
  }
  const unsigned live = liveEntries_();
  const std::hash<std::string> hash;
  Shard& shard = shards_.at((hash(aService.service_) ^ hash(aTeam)) % kShards);
  const std::lock_guard lock(shard.mutex_);
  PruneSometimes(shard, aNow);
  return shard.services_[aService.service_].Take(
    aTeam, quota->second, aTasks, live, aNow);
}

size_t
QuotaController::size()
{
  size_t total = 0;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    for (const auto& [service, quotas] : shard.services_) {
      total += quotas.size();
    }
  }
  return total;
}

/// Needs the shard's lock.
void
QuotaController::PruneSometimes(Shard& aShard, MonoTime aNow)
{
  if (++aShard.takesSincePrune_ < kTakesPerPrune) {
    return;
  }
  aShard.takesSincePrune_ = 0;
  for (auto& [service, quotas] : aShard.services_) {
    quotas.Prune(aNow);
  }
  std::erase_if(aShard.services_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace cornelfront
