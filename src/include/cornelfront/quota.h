#pragma once

/// \file
/// Quotas of teams on task starts, divided over the entries.

#include "cornelfront/clock.h"
#include "cornelfront/schema.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace cornelfront {

/// Token buckets of the teams of one service, for one entry. Every live entry
/// gets an equal share of a team's rate and burst, so the entries exchange no
/// message about quotas. Not thread-safe.
///
/// A job larger than the share of the burst is granted once the bucket is
/// full, and the bucket then goes below zero, so that the rate holds in the
/// long run and no job waits for ever.
class TeamQuotas
{
public:
  /// Takes \p aTasks starts from the team's bucket. Returns nullopt if they are
  /// granted; otherwise the time after which the same request would be.
  /// \p aLiveEntries counts this entry too; 0 is taken as 1.
  std::optional<Millis> Take(const std::string& aTeam,
                             const TeamQuota& aQuota,
                             uint64_t aTasks,
                             unsigned aLiveEntries,
                             MonoTime aNow);

  /// Returns the starts of a request that was refused later on.
  void GiveBack(const std::string& aTeam, uint64_t aTasks);

  /// Drops the buckets that have been full for some time; they hold nothing
  /// that a new bucket does not.
  void Prune(MonoTime aNow);

  size_t size() const { return buckets_.size(); }
  bool empty() const { return buckets_.empty(); }

private:
  struct Bucket
  {
    double tokens_ = 0;
    MonoTime refilledAt_;
    /// When the bucket would be full without further requests.
    MonoTime fullAt_;
  };

  std::unordered_map<std::string, Bucket> buckets_;
};

} // namespace cornelfront
