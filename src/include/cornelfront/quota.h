#pragma once

/// \file
/// Rate limits on the task starts of each team, divided among the entries.

#include "cornelfront/clock.h"
#include "cornelfront/schema.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace cornelfront {

/// Token buckets of the teams of one service at one entry. Every live entry
/// gets an equal share of the rate and burst of a team, so the entries need not
/// exchange messages about quotas. Not thread-safe.
///
/// A job that needs more tokens than the bucket can hold is granted once the
/// bucket is full, and the token count then becomes negative. In this way the
/// rate holds in the long run and no job waits forever.
class TeamQuotas
{
public:
  /// Takes \p aTasks tokens from the bucket of \p aTeam. Returns nullopt if
  /// they are granted; otherwise the time after which the same request would
  /// be.
  /// \p aLiveEntries includes this entry; 0 is treated as 1.
  std::optional<Millis> Take(const std::string& aTeam,
                             const TeamQuota& aQuota,
                             uint64_t aTasks,
                             unsigned aLiveEntries,
                             MonoTime aNow);

  /// Returns the tokens of a request that was refused after they were taken.
  void Refund(const std::string& aTeam, uint64_t aTasks);

  /// Removes full buckets, which are equivalent to new ones.
  void Prune(MonoTime aNow);

  size_t size() const { return buckets_.size(); }
  bool empty() const { return buckets_.empty(); }

private:
  struct Bucket
  {
    double tokens_ = 0;
    MonoTime refilledAt_;
    /// Time at which the bucket will be full if no further request comes.
    MonoTime fullAt_;
  };

  std::unordered_map<std::string, Bucket> buckets_;
};

} // namespace cornelfront
