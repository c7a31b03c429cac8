#include "cornelfront/leadership.h"

namespace cornelfront {

Leadership::Leadership(MemberId aSelf,
                       LeadershipOptions aOptions,
                       MonoTime aNow)
  : self_(aSelf)
  , options_(aOptions)
  , leaderSeenAt_(aNow)
  , previousLeaderSeenAt_(aNow)
{
}

void
Leadership::OnClaim(uint64_t aTerm, MonoTime aStartTime)
{
  claimedTerm_ = aTerm;
  claimStart_ = aStartTime;
}

void
Leadership::OnLeader(uint64_t aTerm, MemberId aId, MonoTime aNow)
{
  if (aTerm < term_) {
    return;
  }
  if (aTerm > term_) {
    previousLeaderSeenAt_ = leaderSeenAt_;
    fenced_ = false;
    // Others count the silence of this leader from reads of its own, which may
    // be earlier than this one, but not earlier than the start of the claim.
    if (aId == self_ && aTerm == claimedTerm_) {
      OnConfirmed(claimStart_);
    }
  }
  term_ = aTerm;
  leader_ = aId;
  leaderSeenAt_ = aNow;
}

void
Leadership::OnRead(MonoTime aStartTime)
{
  lastReadStart_ = aStartTime;
}

void
Leadership::OnConfirmed(MonoTime aStartTime)
{
  lastConfirmedStart_ = std::max(lastConfirmedStart_, aStartTime);
}

void
Leadership::OnFenced()
{
  fenced_ = true;
}

bool
Leadership::ShouldClaim(MonoTime aNow) const
{
  const auto spread = options_.claimSpread_ * (self_.value_ % 16) / 16;
  const Millis silence =
    term_ == 0 ? options_.firstClaimAfter_ : options_.claimAfter_;
  const MonoTime due = leaderSeenAt_ + silence + spread;
  // The read must have started about when the leader was due, so that the
  // silence is the leader's and not due to an unreadable store.
  return !IsLeader() && aNow >= due &&
         lastReadStart_ >= due - options_.renewInterval_;
}

bool
Leadership::ShouldRenew(MonoTime aNow) const
{
  return IsLeader() && aNow - lastConfirmedStart_ >= options_.renewInterval_;
}

MonoTime
Leadership::AuthorityUntil() const
{
  return IsLeader() ? lastConfirmedStart_ + options_.authority_ : MonoTime();
}

bool
Leadership::EarlierRunsEnded(MonoTime aNow) const
{
  return aNow - previousLeaderSeenAt_ >=
         options_.authority_ + options_.runsExpiry_;
}

} // namespace cornelfront
