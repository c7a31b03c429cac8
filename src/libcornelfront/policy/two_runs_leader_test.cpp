/// \file
/// Leadership in the model for two_runs_test.cpp; follows StoredJobs, but no
/// job is stored.

#include "policy/two_runs_model_test.h"

#include <algorithm>

namespace cornelfront::two_runs {
namespace {

// Values of StoredJobs.
constexpr Millis kCheckInterval{ 200 };
constexpr Millis kClaimInterval{ 2000 };
constexpr Millis kAuthorityStep{ 500 };

/// Time until the store has taken an append, and until others read it.
constexpr Millis kMaxAppendTime{ 5 };
/// Time for which a process that starts reads the store.
constexpr Millis kMaxReadTime{ 50 };

} // namespace

void
World::AppendLeaderRecord(const LeaderRecord& aRecord,
                          bool aClaim,
                          std::function<void(bool)> aReply)
{
  const auto append = [this, aRecord, aClaim, reply = std::move(aReply)] {
    const bool accepted =
      aClaim ? aRecord.term_ > leader_.term_ : aRecord == leader_;
    if (accepted) {
      leader_ = aRecord;
      counts_.takeOvers_ += aClaim ? 1 : 0;
      for (const auto& entry : entries_) {
        if (entry) {
          entry->Post(
            random_.Between(Millis(1), kMaxAppendTime),
            [entry = entry.get(), aRecord] { entry->OnLeaderRecord(aRecord); });
        }
      }
    }
    reply(accepted);
  };
  events_.After(random_.Between(Millis(1), kMaxAppendTime), append);
}

void
EntryProcess::StartReading()
{
  if (!world_.Options().leaderTakesOver_) {
    return;
  }
  Post(world_.random_.Between(Millis(1), kMaxReadTime), [this] {
    readsStore_ = true;
    if (world_.Leader().term_ > 0) {
      OnLeaderRecord(world_.Leader());
    }
  });
}

void
EntryProcess::OnLeaderRecord(const LeaderRecord& aRecord)
{
  if (!readsStore_) {
    return;
  }
  const MonoTime now = Now();
  if (aRecord.term_ != leadership_.Term()) {
    leadership_.OnLeader(aRecord.term_, aRecord.id_, now);
  } else {
    leadership_.OnLeaderActive(now);
  }
  if (leads_ && !leadership_.IsLeader()) {
    StopLeading(now);
  } else if (!leads_ && leadership_.IsLeader()) {
    StartLeading(now);
  } else if (leads_) {
    AcknowledgeKeptEnds();
    PerformActions();
  }
}

void
EntryProcess::TickLeader()
{
  if (!readsStore_) {
    return;
  }
  const MonoTime now = Now();
  leadership_.OnRead(now);
  if (leadership_.ShouldClaim(now) && !claiming_ &&
      now - claimedAt_ >= kClaimInterval) {
    Claim(now);
  }
  if (!leads_) {
    return;
  }
  if (leadership_.ShouldRenew(now) && !renewing_) {
    Renew(now);
  }
  scheduler_.SetAuthority(leadership_.AuthorityUntil(), now);
  const MonoTime until = leadership_.AuthorityUntil();
  if (until - announcedAuthority_ >= kAuthorityStep) {
    announcedAuthority_ = until;
    SendToAll(LeaderAuthority{ leadership_.Term(), AuthorityLeft(now) });
  }
  if (now - checkedAt_ < kCheckInterval) {
    return;
  }
  checkedAt_ = now;
  CheckTakeover(now);
  AcknowledgeKeptEnds();
}

void
EntryProcess::Append(bool aClaim,
                     uint64_t aTerm,
                     std::function<void(bool aAccepted)> aReply)
{
  const auto answer = [weak = weak_from_this(),
                       reply = std::move(aReply)](bool aAccepted) {
    if (const auto self = weak.lock()) {
      self->Post(Millis(1), [reply, aAccepted] { reply(aAccepted); });
    }
  };
  world_.AppendLeaderRecord({ aTerm, Id() }, aClaim, answer);
}

void
EntryProcess::Claim(MonoTime aNow)
{
  const uint64_t term = leadership_.Term() + 1;
  claiming_ = true;
  claimedAt_ = aNow;
  leadership_.OnClaim(term, aNow);
  Append(true, term, [this](bool) { claiming_ = false; });
}

void
EntryProcess::Renew(MonoTime aNow)
{
  renewing_ = true;
  const uint64_t term = leadership_.Term();
  Append(false, term, [this, term, aNow](bool aAccepted) {
    // A writer of an earlier term is gone.
    if (term != Term()) {
      return;
    }
    renewing_ = false;
    if (aAccepted) {
      leadership_.OnConfirmed(aNow);
      scheduler_.SetAuthority(leadership_.AuthorityUntil(), Now());
      return;
    }
    leadership_.OnFenced();
    StopLeading(Now());
  });
}

void
EntryProcess::StartLeading(MonoTime aNow)
{
  leads_ = true;
  takingOver_ = true;
  renewing_ = false;
  takenOverSidecars_.clear();
  const uint64_t term = leadership_.Term();
  world_.Record({ .entry_ = Machine() },
                "ENTRY LEADS, term " + std::to_string(term));
  scheduler_.BecomeLeader(term, aNow);
  scheduler_.SetAuthority(leadership_.AuthorityUntil(), aNow);
  std::set<MemberId> registered;
  for (const auto& [machine, id] : world_.RegisteredSidecars()) {
    registered.insert(id);
  }
  scheduler_.SetRegisteredSidecars(std::move(registered));
  announcedAuthority_ = leadership_.AuthorityUntil();
  SendToAll(TakeOver{ term, AuthorityLeft(aNow) });
  PerformActions();
}

void
EntryProcess::StopLeading(MonoTime aNow)
{
  world_.Record({ .entry_ = Machine() }, "entry leads no more");
  leads_ = false;
  scheduler_.BecomeFollower(aNow);
  PerformActions();
}

void
EntryProcess::OnTakenOver(MemberId aSidecar, const HeldRuns& aHeld)
{
  if (Term() == 0 || aHeld.term_ != Term()) {
    return;
  }
  scheduler_.OnTakenOver(aSidecar, aHeld, Now());
  takenOverSidecars_.insert(aSidecar);
  CheckTakeover(Now());
}

void
EntryProcess::CheckTakeover(MonoTime aNow)
{
  if (!takingOver_) {
    return;
  }
  const auto& sidecars = world_.RegisteredSidecars();
  const bool all =
    std::all_of(sidecars.begin(), sidecars.end(), [this](const auto& aSidecar) {
      return takenOverSidecars_.contains(aSidecar.second);
    });
  if (all || leadership_.EarlierRunsEnded(aNow)) {
    takingOver_ = false;
    scheduler_.SetTakingOver(false, aNow);
    PerformActions();
  }
}

/// No job is stored, so that no end is needed.
void
EntryProcess::AcknowledgeKeptEnds()
{
  for (const JobInstance& instance : scheduler_.InstancesOfKeptEnds()) {
    scheduler_.AcknowledgeKeptEnds(instance);
  }
}

template<class Body>
void
EntryProcess::SendToAll(const Body& aBody)
{
  for (const auto& [id, sidecar] : sidecars_) {
    if (sidecar.receivedHeldRuns_) {
      sidecar.link_->Send(Side::Entry, aBody);
    }
  }
}

Millis
EntryProcess::AuthorityLeft(MonoTime aNow) const
{
  const auto left =
    std::chrono::duration_cast<Millis>(leadership_.AuthorityUntil() - aNow);
  return std::max(left, Millis(0));
}

} // namespace cornelfront::two_runs
