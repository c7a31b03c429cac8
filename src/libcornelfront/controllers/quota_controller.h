#pragma once

/// \file
/// Controller of the per-team quotas.

#include "cornelfront/filters.h"
#include "cornelfront/quota.h"
#include "cornelfront/sharded_map.h"

#include <functional>
#include <string>

namespace cornelfront {

/// Enforces the quotas of all services on this entry. Each service has its own
/// quotas, and each shard of services one lock. Thread-safe.
class QuotaController
{
public:
  /// \p aEntryCount returns the number of entries that share the quotas,
  /// including this one. It is called without a lock held, from any thread.
  explicit QuotaController(std::function<unsigned()> aEntryCount);

  /// Consumes \p aTasks task starts from the team's quota and returns nullopt,
  /// or returns the time until the quota allows them. A team for which the
  /// service declares no quota is unlimited.
  std::optional<Millis> Take(const ServiceSchema& aService,
                             const std::string& aTeam,
                             size_t aTasks,
                             MonoTime aNow);

  /// Removes the state of teams that have not used their quota for some time.
  /// To be called about once a second.
  void Prune(MonoTime aNow);

private:
  const std::function<unsigned()> entryCount_;
  ShardedMap<std::string, TeamQuotas> services_;
};

} // namespace cornelfront
