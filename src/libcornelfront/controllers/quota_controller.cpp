#include "controllers/quota_controller.h"

namespace cornelfront {

QuotaController::QuotaController(std::function<unsigned()> aEntryCount)
  : entryCount_(std::move(aEntryCount))
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
  const unsigned entries = entryCount_();
  return services_.WithShard(aService.service_, [&](auto& aServices) {
    TeamQuotas& quotas = aServices[aService.service_];
    return quotas.Take(aTeam, quota->second, aTasks, entries, aNow);
  });
}

void
QuotaController::Prune(MonoTime aNow)
{
  services_.ForEachShard([&](auto& aServices) {
    for (auto& [service, quotas] : aServices) {
      quotas.Prune(aNow);
    }
    std::erase_if(aServices,
                  [](const auto& aItem) { return aItem.second.size() == 0; });
  });
}

} // namespace cornelfront
