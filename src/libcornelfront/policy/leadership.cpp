#include "cornelfront/leadership.h"

namespace cornelfront {

Leadership::Leadership(MemberId aSelf,
                       LeadershipOptions aOptions,
                       MonoTime aNow)
  : self_(aSelf)
  , options_(aOptions)
  , leaderSeen_(aNow)
  , earlierSeen_(aNow)
{
}

void
Leadership::OnLeader(uint64_t aTerm, MemberId aId, MonoTime aNow)
{
  if (aTerm < term_) {
    return;
  }
  if (aTerm > term_) {
    earlierSeen_ = leaderSeen_;
    fenced_ = false;
    confirmed_ = aNow;
  }
  term_ = aTerm;
  leader_ = aId;
  leaderSeen_ = aNow;
}

void
Leadership::OnRead(MonoTime aBegun)
{
  read_ = aBegun;
}

void
Leadership::OnConfirmed(MonoTime aBegun)
{
  confirmed_ = std::max(confirmed_, aBegun);
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
  const MonoTime due = leaderSeen_ + silence + spread;
  // The read must have started about when the leader was due, so that the
  // silence is the leader's and not due to an unreadable store.
  return !Leads() && aNow >= due && read_ >= due - options_.renewEvery_;
}

bool
Leadership::ShouldRenew(MonoTime aNow) const
{
  return Leads() && aNow - confirmed_ >= options_.renewEvery_;
}

bool
Leadership::HasAuthority(MonoTime aNow) const
{
  return Leads() && aNow - confirmed_ < options_.authority_;
}

bool
Leadership::EarlierRunsEnded(MonoTime aNow) const
{
  return aNow - earlierSeen_ >= options_.authority_ + options_.runsEnd_;
}

} // namespace cornelfront
