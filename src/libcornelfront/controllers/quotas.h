#pragma once

/// \file
/// Controller of the teams' quotas.

#include "cornelfront/filters.h"
#include "cornelfront/quota.h"
#include "cornelfront/sharded_map.h"

#include <functional>
#include <string>

namespace cornelfront {

/// Thread-safe. Each service has its own quotas; a shard of services has one
/// lock.
class Quotas
{
public:
  /// \p aLiveEntries returns the number of entries that share the quotas, this
  /// one included; called without a lock, from any thread.
  explicit Quotas(std::function<unsigned()> aLiveEntries);

  /// Takes the starts of \p aTasks tasks from the team's quota and returns
  /// nullopt, or returns how long to wait until there are enough. Grants
  /// everything to a team for which the service declares no quota.
  std::optional<Millis> Take(const ServiceSchema& aService,
                             const std::string& aTeam,
                             size_t aTasks,
                             MonoTime aNow);

  /// Forgets teams that have not used their quota for some time; to be called
  /// about every second.
  void Prune(MonoTime aNow);

private:
  const std::function<unsigned()> liveEntries_;
  ShardedMap<std::string, TeamQuotas> services_;
};

} // namespace cornelfront
