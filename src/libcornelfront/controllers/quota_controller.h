#pragma once

/// \file
/// Controller of the team quotas of one entry.

#include "cornelfront/clock.h"
#include "cornelfront/quota.h"
#include "cornelfront/schema.h"

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace cornelfront {

/// Returns the number of entries that share the quotas, this one included.
using LiveEntries = std::function<unsigned()>;

/// Thread-safe. The buckets are spread over shards by service and team.
class QuotaController
{
public:
  explicit QuotaController(LiveEntries aLiveEntries);

  /// Takes the starts from the team's share, or returns how long to wait. A
  /// team without a quota in the schema is not limited.
  std::optional<Millis> Take(const ServiceSchema& aService,
                             const std::string& aTeam,
                             size_t aTasks,
                             MonoTime aNow);

  /// Number of buckets held.
  size_t size();

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    std::mutex mutex_;
    std::unordered_map<std::string, TeamQuotas> services_;
    uint32_t takesSincePrune_ = 0;
  };

  static void PruneSometimes(Shard& aShard, MonoTime aNow);

  LiveEntries liveEntries_;
  std::array<Shard, kShards> shards_;
};

} // namespace cornelfront
