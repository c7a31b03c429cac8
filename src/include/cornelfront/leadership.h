#pragma once

/// \file
/// When a process may become, and act as, the leader of the stored jobs.
///
/// The store decides who leads: a claim is an append under the next epoch, and
/// the store fences all earlier epochs. What is decided here is when to claim,
/// and for how long a leader that the store does not confirm may go on.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstdint>

namespace cornelfront {

struct LeadershipOptions
{
  Millis renewEvery_{ 700 };
  /// A leader without a sign of life for this long is replaced.
  Millis claimAfter_{ 2000 };
  /// The same while there has never been a leader.
  Millis firstClaimAfter_{ 300 };
  /// Added to claimAfter_ by the id of the process, so that few claim at once.
  Millis claimSpread_{ 400 };
  /// Time from the begin of the last confirmed append in which a leader may
  /// start runs.
  Millis authority_{ 4000 };
  /// Time after the end of a leader's authority after which no run that it
  /// started exists any more on a sidecar that can't be reached.
  Millis runsEnd_{ 6500 };
};

/// Not thread-safe. Times are BootNow.
class Leadership
{
public:
  Leadership(MemberId aSelf, LeadershipOptions aOptions, MonoTime aNow);

  /// The store shows this leader, for the first time or renewed.
  void OnLeader(uint64_t aTerm, MemberId aId, MonoTime aNow);
  /// The store shows another sign of life of the present leader.
  void OnLeaderActive(MonoTime aNow) { leaderSeen_ = aNow; }
  /// The store was read; \p aBegun is when the read began.
  void OnRead(MonoTime aBegun);
  /// An append as leader was confirmed; \p aBegun is when it began.
  void OnConfirmed(MonoTime aBegun);
  /// The store has fenced this process.
  void OnFenced();

  /// True if this process should claim the next term now.
  bool ShouldClaim(MonoTime aNow) const;
  bool ShouldRenew(MonoTime aNow) const;
  bool HasAuthority(MonoTime aNow) const;
  /// True once no run of earlier leaders can exist on unreachable sidecars.
  bool EarlierRunsEnded(MonoTime aNow) const;

  /// True if the newest term that the store shows is of this process.
  bool Leads() const { return leader_ == self_ && !fenced_; }
  uint64_t Term() const { return term_; }

private:
  const MemberId self_;
  const LeadershipOptions options_;
  uint64_t term_ = 0;
  MemberId leader_;
  bool fenced_ = false;
  MonoTime leaderSeen_;
  /// Last sign of life of the leader before this one.
  MonoTime earlierSeen_;
  MonoTime read_;
  MonoTime confirmed_;
};

} // namespace cornelfront
