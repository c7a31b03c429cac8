#pragma once

/// \file
/// Leader election for the stored jobs: when a process claims leadership and
/// how long it may act as the leader.
///
/// The store decides who leads: a claim is an append under the next epoch, and
/// the store fences all earlier epochs. This class decides when to claim, and
/// for how long a leader may go on without confirmation from the store.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstdint>

namespace cornelfront {

struct LeadershipOptions
{
  Millis renewInterval_{ 700 };
  /// A leader without any record for this long is replaced.
  Millis claimAfter_{ 2000 };
  /// The same while there has never been a leader.
  Millis firstClaimAfter_{ 300 };
  /// Maximum delay added to claimAfter_, depending on the process's id, so that
  /// few processes claim at the same time.
  Millis claimSpread_{ 400 };
  /// Time from the start of the last confirmed append during which a leader may
  /// start runs.
  Millis authority_{ 4000 };
  /// Time after the end of a leader's authority after which none of its runs
  /// can exist on an unreachable sidecar.
  Millis runsExpiry_{ 6500 };
};

/// Tracks the current leader. Not thread-safe. All times are from BootNow.
class Leadership
{
public:
  Leadership(MemberId aSelf, LeadershipOptions aOptions, MonoTime aNow);

  /// This process is about to append its claim of a term. The read of the claim
  /// confirms that append.
  void OnClaim(uint64_t aTerm, MonoTime aStartTime);
  /// A record shows this leader, for the first time or renewed.
  void OnLeader(uint64_t aTerm, MemberId aId, MonoTime aNow);
  /// A record shows that the current leader is active.
  void OnLeaderActive(MonoTime aNow) { leaderSeenAt_ = aNow; }
  /// The store was read; \p aStartTime is the time at which the read started.
  void OnRead(MonoTime aStartTime);
  /// An append that others take for a sign of life of the leader was confirmed;
  /// \p aStartTime is the time at which it started.
  void OnConfirmed(MonoTime aStartTime);
  /// The store has rejected an append because of a newer epoch.
  void OnFenced();

  /// True if this process should claim the next term.
  bool ShouldClaim(MonoTime aNow) const;
  bool ShouldRenew(MonoTime aNow) const;
  /// Time until which this process may start runs; in the past if another
  /// process leads.
  MonoTime AuthorityUntil() const;
  bool HasAuthority(MonoTime aNow) const { return aNow < AuthorityUntil(); }
  /// True once no run of an earlier leader can exist on an unreachable sidecar.
  bool EarlierRunsEnded(MonoTime aNow) const;

  /// True if this process holds the newest term and has not been fenced.
  bool IsLeader() const { return leader_ == self_ && !fenced_; }
  uint64_t Term() const { return term_; }

private:
  const MemberId self_;
  const LeadershipOptions options_;
  uint64_t term_ = 0;
  MemberId leader_;
  /// The newest claim of this process, and the start of its append.
  uint64_t claimedTerm_ = 0;
  MonoTime claimStart_;
  bool fenced_ = false;
  MonoTime leaderSeenAt_;
  /// Last activity of the previous leader, by the time of its read: never
  /// before the start of the last append that the store took from it.
  MonoTime previousLeaderSeenAt_;
  MonoTime lastReadStart_;
  MonoTime lastConfirmedStart_;
};

} // namespace cornelfront
