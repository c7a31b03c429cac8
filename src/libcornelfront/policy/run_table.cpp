/// \file
/// RunTable: orders of owners, and starts and stops of runs.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace cornelfront {
namespace {

/// Added to a run's number when the upstream knows a higher number from an
/// earlier owner of the same job.
constexpr uint32_t kRenumberStep = 100;

constexpr std::array<std::string_view, 6> kStopReasons = {
  "ordered",   "abandoned", "owner_lost",
  "suspended", "orphaned",  "upstream_leaving",
};

} // namespace

std::string_view
ToString(StopReason aReason)
{
  return kStopReasons.at(static_cast<size_t>(aReason));
}

StartAnswer
CheckIncarnation(StartAnswer aAnswer,
                 std::optional<UpstreamTime> aAnswerClock,
                 UpstreamTime aKnown)
{
  const bool other = aAnswerClock && *aAnswerClock < aKnown;
  return other && aAnswer == StartAnswer::Started ? StartAnswer::Unknown
                                                  : aAnswer;
}

std::string
ToString(const RunKey& aKey)
{
  return ToString(aKey.task_) + '#' + std::to_string(aKey.run_);
}

RunTable::RunTable(RunTableOptions aOptions)
  : options_(aOptions)
{
}

void
RunTable::DetectSuspension(MonoTime aNow)
{
  const auto pause = standstill_.OnCall(aNow);
  if (pause > Standstill::kLongestPause) {
    firstPollSinceStandstill_ = polls_ + 1;
  }
  if (pause <= options_.suspensionThreshold_) {
    return;
  }
  suspension_ = { .length_ = std::chrono::duration_cast<Millis>(pause),
                  .runs_ = runs_.size() };
  resumedAt_ = aNow;
  ExtendLeases(pause);
  StopAll(aNow);
}

std::optional<Suspension>
RunTable::TakeSuspension(MonoTime aNow)
{
  DetectSuspension(aNow);
  return std::exchange(suspension_, std::nullopt);
}

void
RunTable::SetClosed(bool aClosed, MonoTime aNow)
{
  DetectSuspension(aNow);
  closed_ = aClosed;
  if (closed_) {
    FinishWaiting(aNow);
  }
}

void
RunTable::OnOwnerLinked(MemberId aOwner, MonoTime aNow, Millis aAge)
{
  DetectSuspension(aNow);
  owners_[aOwner].unlinkedAt_.reset();
  NoteHeard(aOwner, aNow, aAge);
}

void
RunTable::OnOwnerUnlinked(MemberId aOwner, MonoTime aNow)
{
  DetectSuspension(aNow);
  const auto owner = owners_.find(aOwner);
  if (owner != owners_.end() && !owner->second.unlinkedAt_) {
    owner->second.unlinkedAt_ = aNow;
  }
}

void
RunTable::NoteHeard(MemberId aOwner, MonoTime aNow, Millis aAge)
{
  MonoTime& heardAt = owners_[aOwner].heardAt_;
  heardAt = std::max(heardAt, aNow - aAge);
  if (leader_ == aOwner) {
    UpdateLeaderHeard();
  }
}

void
RunTable::UpdateLeaderHeard()
{
  const auto owner = owners_.find(*leader_);
  if (owner != owners_.end()) {
    leaderHeardAt_ = std::max(
      leaderHeardAt_, std::min(owner->second.heardAt_, authorityUntil_));
  }
}

bool
RunTable::IsLeaderLost(MonoTime aNow) const
{
  return leader_
           ? Since(leaderHeardAt_, aNow) >= options_.leaderTimeout_
           : Since(unacknowledgedSince_, aNow) >= options_.firstLeaderTimeout_;
}

void
RunTable::OnOwnerHeard(MemberId aOwner, MonoTime aNow, Millis aAge)
{
  DetectSuspension(aNow);
  if (owners_.contains(aOwner)) {
    NoteHeard(aOwner, aNow, aAge);
  }
}

void
RunTable::OnOrders(MemberId aOwner, const StartRuns& aOrders, MonoTime aNow)
{
  DetectSuspension(aNow);
  if (aOrders.startTimeout_ > Millis(0) && !owners_.contains(aOwner)) {
    OnOwnerLinked(aOwner, aNow);
  }
  const bool accepts = Accepts(aOrders, aNow);
  term_ = std::max(term_, aOrders.term_);
  for (const RunOrder& order : aOrders.runs_) {
    const RunKey key{ aOrders.Task(order), order.run_ };
    const bool known =
      HasTask(runs_, key.task_) || HasTask(formerRuns_, key.task_);
    if (!accepts || known || IsHeldHere(key.task_, aNow) ||
        !NumberFor(key.task_, order, aNow)) {
      const RunReport report{ .key_ = key };
      owners_[aOwner].unsent_.reports_.push_back(report);
      continue;
    }
    runs_[key] = { .owner_ = aOwner,
                   .term_ = aOrders.term_,
                   .upstreamRunNumber_ = *NumberFor(key.task_, order, aNow),
                   .numberIsFixed_ = order.upstreamNumber_ != 0,
                   .payload_ = aOrders.payload_,
                   .resources_ = aOrders.resources_,
                   .priority_ =
                     std::min<uint8_t>(aOrders.priority_, kPriorities - 1),
                   .estimate_ = aOrders.estimate_,
                   .queuedAt_ = aNow,
                   .latestStart_ = aNow + aOrders.timeToLatestStart_,
                   .startBy_ = aNow + aOrders.startTimeout_,
                   .onlyIfFree_ = order.onlyIfFree_,
                   .sequence_ = nextSequence_++ };
    lateOrdersChanged_ |= HasOtherNumber(*runs_.find(key));
  }
}

std::optional<uint32_t>
RunTable::NumberFor(const JobTaskId& aTask,
                    const RunOrder& aOrder,
                    MonoTime aNow) const
{
  const uint32_t fixed = aOrder.upstreamNumber_;
  const OpenOrder* late = lateOrders_.Find(aTask, aNow);
  if (late == nullptr) {
    return fixed != 0 ? fixed : aOrder.run_;
  }
  const bool same = fixed == 0 || fixed == late->number_;
  return same ? std::optional(late->number_) : std::nullopt;
}

bool
RunTable::Accepts(const StartRuns& aOrders, MonoTime aNow) const
{
  if (resumedAt_ && aNow <= *resumedAt_) {
    return false;
  }
  const bool current =
    aOrders.term_ == 0 || (registered_ && aOrders.term_ >= term_);
  return current && upstream_ && !upstream_->draining_ && !closed_ &&
         upstream_->service_ == aOrders.service_;
}

bool
RunTable::OnTakeOver(MemberId aLeader,
                     const TakeOver& aTakeOver,
                     MonoTime aNow,
                     Millis aAge)
{
  DetectSuspension(aNow);
  if (aTakeOver.term_ < term_) {
    return false;
  }
  if (aTakeOver.term_ > term_ || leader_ != aLeader) {
    authorityUntil_ = {};
  }
  term_ = aTakeOver.term_;
  leader_ = aLeader;
  OnOwnerLinked(aLeader, aNow, aAge);
  OnLeaderAuthority(
    aLeader, { aTakeOver.term_, aTakeOver.authority_ }, aNow, aAge);
  for (auto& [key, run] : runs_) {
    if (run.term_ > 0) {
      run.owner_ = aLeader;
      run.term_ = term_;
      if (run.state_ == State::Running) {
        owners_[aLeader].unsent_.started_.push_back(key);
      }
    }
  }
  for (auto& [key, run] : formerRuns_) {
    if (run.owner_ && run.term_ > 0) {
      run.owner_ = aLeader;
    }
  }
  return true;
}

void
RunTable::OnLeaderAuthority(MemberId aLeader,
                            const LeaderAuthority& aAuthority,
                            MonoTime aNow,
                            Millis aAge)
{
  DetectSuspension(aNow);
  if (leader_ == aLeader && term_ == aAuthority.term_) {
    authorityUntil_ = std::max(authorityUntil_, aNow - aAge + aAuthority.left_);
    UpdateLeaderHeard();
  }
}

void
RunTable::OnStop(MemberId aOwner,
                 const StopRuns& aStop,
                 MonoTime aNow,
                 Millis aAge)
{
  DetectSuspension(aNow);
  // An older stop ends the lease no sooner than one of this age.
  const Millis age = aAge + std::clamp(aStop.age_, Millis(0), options_.lease_);
  for (const RunKey& key : aStop.runs_) {
    const auto run = runs_.find(key);
    if (run != runs_.end() && run->second.owner_ == aOwner) {
      RequestStop(run,
                  aStop.abandoned_ ? StopReason::Abandoned
                                   : StopReason::Ordered,
                  aNow - age,
                  aNow);
    }
  }
}

void
RunTable::StopAll(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const auto next = std::next(run);
    RequestStop(run, StopReason::Suspended, aNow, aNow);
    run = next;
  }
}

bool
RunTable::MayStart(MonoTime aNow) const
{
  return upstream_ && !upstream_->draining_ && !closed_ && runsKnown_ &&
         aNow >= fullUntil_ && MayExtendByStart(aNow);
}

bool
RunTable::IsQuiet(MonoTime aNow) const
{
  return Since(upstreamHeardAt_, aNow) > options_.upstreamQuietAfter_;
}

bool
RunTable::IsToBeRepeated(const Run& aRun, MonoTime aNow) const
{
  return aRun.state_ == State::Uncertain && !aRun.stop_ &&
         aRun.unanswered_ <= options_.maxStartRepeats_ && aNow < aRun.startBy_;
}

bool
RunTable::AwaitsAnswer(MonoTime aNow) const
{
  if (!MayStart(aNow)) {
    return false;
  }
  const bool quiet = IsQuiet(aNow);
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& aRun) {
    const Run& run = aRun.second;
    return (run.state_ == State::Waiting && quiet) ||
           (IsToBeRepeated(run, aNow) && answeredPoll_ < run.firstPoll_);
  });
}

std::vector<StartRequest>
RunTable::TakeStarts(MonoTime aNow)
{
  DetectSuspension(aNow);
  CheckOwners(aNow);
  ReturnLate(aNow);
  std::vector<StartRequest> starts;
  const bool suspect =
    Since(upstreamHeardAt_, aNow) > options_.upstreamSuspectAfter_;
  if (!MayStart(aNow) || suspect) {
    ReturnWaiting(aNow);
    return starts;
  }
  if (IsQuiet(aNow)) {
    return starts;
  }
  // The upstream starts a run once even if it gets the same order twice.
  for (auto run = runs_.begin(); run != runs_.end(); ++run) {
    if (IsToBeRepeated(run->second, aNow) &&
        run->second.firstPoll_ <= answeredPoll_ &&
        !IsHeldHere(run->first.task_, aNow) && LeaseFits(run->second)) {
      SendStart(run, starts, aNow);
    }
  }
  Resources used = ResourcesInUse();
  size_t openStored = OpenStoredRuns();
  for (const auto run : WaitingInOrder(aNow)) {
    const bool stored = run->second.term_ > 0;
    if ((stored && openStored >= options_.maxOpenStoredRuns_) ||
        IsHeldHere(run->first.task_, aNow) || !LeaseFits(run->second)) {
      continue;
    }
    openStored += stored ? 1 : 0;
    Resources with = used;
    with += run->second.resources_;
    if (!upstream_->capacity_.CanFit(with)) {
      // Starting a smaller run from behind it would starve this one.
      break;
    }
    used = with;
    SendStart(run, starts, aNow);
  }
  ReturnWaiting(aNow);
  return starts;
}

void
RunTable::ReturnWaiting(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool returned =
      run->second.state_ == State::Waiting && run->second.onlyIfFree_;
    run = returned ? Finish(run, RunEnd::NotStarted, aNow) : std::next(run);
  }
}

void
RunTable::SendStart(Runs::iterator aRun,
                    std::vector<StartRequest>& aStarts,
                    MonoTime aNow)
{
  lateOrdersChanged_ |= reportedKnowledge_ == UpstreamKnowledge::None;
  aRun->second.state_ = State::Starting;
  aRun->second.firstPoll_ = polls_ + 1;
  aRun->second.orderedAt_ = aNow;
  orderedUntil_ = aNow + options_.startTimeout_;
  aRun->second.closingPoll_ = 0;
  aStarts.push_back({ .key_ = aRun->first,
                      .upstreamRunNumber_ = aRun->second.upstreamRunNumber_,
                      .payload_ = aRun->second.payload_ });
}

void
RunTable::MarkRunning(const RunKey& aKey, Run& aRun, MonoTime aNow)
{
  aRun.state_ = State::Running;
  aRun.started_ = aNow;
  if (aRun.term_ > 0) {
    owners_[aRun.owner_].unsent_.started_.push_back(aKey);
  }
}

void
RunTable::RevertStart(Run& aRun)
{
  // An earlier order that was not answered may still be carried out.
  aRun.state_ = aRun.unanswered_ > 0 ? State::Uncertain : State::Waiting;
  if (aRun.unanswered_ > 0) {
    aRun.unanswered_ = options_.maxStartRepeats_ + 1;
  }
}

void
RunTable::OnStartAnswer(const RunKey& aKey,
                        StartAnswer aAnswer,
                        UpstreamTime aDeadline,
                        MonoTime aNow)
{
  DetectSuspension(aNow);
  const auto found = runs_.find(aKey);
  if (found == runs_.end() || found->second.state_ != State::Starting) {
    return;
  }
  Run& run = found->second;
  lateOrdersChanged_ |= HasOtherNumber(*found);
  switch (aAnswer) {
    case StartAnswer::Started:
      MarkRunning(aKey, run, aNow);
      run.firstPoll_ = polls_ + 1;
      return;
    case StartAnswer::Unknown:
      run.state_ = State::Uncertain;
      run.deadline_ = std::max(run.deadline_, aDeadline);
      ++run.unanswered_;
      lateOrdersChanged_ = true;
      return;
    case StartAnswer::Full:
      fullUntil_ = aNow + options_.fullBackoff_;
      RevertStart(run);
      break;
    case StartAnswer::DeadlinePassed:
      RevertStart(run);
      break;
    case StartAnswer::Fenced:
      run.state_ = run.unanswered_ > 0 ? State::Uncertain : State::Waiting;
      break;
    case StartAnswer::RunNumberUsed:
      OnNumberUsed(found, aNow);
      return;
    case StartAnswer::Refused:
    case StartAnswer::NotSent:
      RevertStart(run);
      if (run.state_ == State::Waiting) {
        Finish(found, RunEnd::NotStarted, aNow);
      }
      return;
  }
  if (run.stop_ && run.state_ == State::Waiting) {
    Finish(found, RunEnd::NotStarted, aNow);
  }
}

void
RunTable::OnNumberUsed(Runs::iterator aRun, MonoTime aNow)
{
  Run& run = aRun->second;
  const JobTaskId& task = aRun->first.task_;
  const bool late = lateOrders_.Find(task, aNow) != nullptr;
  lateOrders_.OnNumberUsed(task, run.upstreamRunNumber_);
  lateOrdersChanged_ |= late;
  RevertStart(run);
  if (run.state_ != State::Waiting) {
    // The run that has ended may be this one, which the next poll shows.
    run.numberUsed_ = true;
  } else if (late || run.numberIsFixed_ || run.stop_) {
    Finish(aRun, RunEnd::NotStarted, aNow);
  } else {
    run.upstreamRunNumber_ += kRenumberStep;
    lateOrdersChanged_ = true;
  }
}

void
RunTable::Tick(MonoTime aNow)
{
  DetectSuspension(aNow);
  CheckOwners(aNow);
  if (!departure_ && HasLapsedInSilence(aNow)) {
    SuspectCrash();
    FinishGone(aNow);
  }
  ConcludeDeparture(aNow);
  FinishFormerRuns(aNow);
  ReturnLate(aNow);
  // What has been listed ends with its time also if nothing else changes.
  CloseDueOrders(aNow);
  lateOrdersChanged_ |= lateOrderReport_.Size() > 0;
}

void
RunTable::ReturnLate(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool late =
      run->second.state_ == State::Waiting && aNow >= run->second.startBy_;
    run = late ? Finish(run, RunEnd::NotStarted, aNow) : std::next(run);
  }
}

void
RunTable::CheckOwners(MonoTime aNow)
{
  for (auto& [id, owner] : owners_) {
    while (!owner.recentReports_.empty() &&
           Since(owner.recentReports_.front().first, aNow) >
             options_.reportRetention_) {
      owner.recentReports_.pop_front();
    }
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    const auto next = std::next(run);
    if (IsOwnerLost(run->second, aNow)) {
      RequestStop(run, StopReason::OwnerLost, aNow, aNow);
    }
    run = next;
  }
  std::erase_if(owners_, [&](const auto& aOwner) {
    const bool holdsRuns =
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& aRun) {
        return aRun.second.owner_ == aOwner.first;
      });
    // An owner that links again takes what is neither held nor reported for not
    // started.
    return !holdsRuns && aOwner.second.recentReports_.empty() &&
           Since(aOwner.second.heardAt_, aNow) > options_.reportRetention_;
  });
}

bool
RunTable::IsOwnerLost(const Run& aRun, MonoTime aNow) const
{
  const Millis silence = OwnerSilence(aRun, aNow);
  if (aRun.term_ > 0) {
    return silence >= options_.leaderTimeout_;
  }
  const auto owner = owners_.find(aRun.owner_);
  const bool unlinked =
    owner != owners_.end() && owner->second.unlinkedAt_ &&
    Since(*owner->second.unlinkedAt_, aNow) > options_.unlinkedTimeout_;
  return unlinked || silence > options_.ownerTimeout_;
}

Millis
RunTable::OwnerSilence(const Run& aRun, MonoTime aNow) const
{
  if (aRun.term_ > 0 && leader_ == aRun.owner_) {
    return Since(leaderHeardAt_, aNow);
  }
  const auto owner = owners_.find(aRun.owner_);
  return owner == owners_.end() ? options_.leaderTimeout_
                                : Since(owner->second.heardAt_, aNow);
}

std::vector<StopRequest>
RunTable::TakeStops(MonoTime aNow)
{
  DetectSuspension(aNow);
  std::vector<StopRequest> stops;
  const auto take = [&](const RunKey& aKey, Stop& aStop) {
    if (auto stop = TakeStop(aKey, aStop, aNow)) {
      stops.push_back(std::move(*stop));
    }
  };
  for (auto& [key, run] : runs_) {
    if (run.stop_ && run.state_ != State::Waiting) {
      take(UpstreamKey(key, run), *run.stop_);
    }
  }
  for (auto& [key, stop] : orphans_) {
    take(key, stop);
  }
  return stops;
}

std::optional<StopRequest>
RunTable::TakeStop(const RunKey& aKey, Stop& aStop, MonoTime aNow) const
{
  if (Since(aStop.sentAt_, aNow) < options_.stopRepeatInterval_) {
    return std::nullopt;
  }
  aStop.sentAt_ = aNow;
  return StopRequest{ .key_ = aKey,
                      .reason_ = aStop.reason_,
                      .age_ = Since(aStop.requestedAt_, aNow) };
}

RunTable::Runs::iterator
RunTable::Finish(Runs::iterator aRun, RunEnd aEnd, MonoTime aNow)
{
  const auto report = MakeReport(aRun->first, aRun->second, aEnd, aNow);
  QueueReport(aRun->second.owner_, report, aNow);
  KeepLateOrder(*aRun, aEnd, aNow);
  return runs_.erase(aRun);
}

void
RunTable::KeepLateOrder(const Runs::value_type& aRun,
                        RunEnd aEnd,
                        MonoTime aNow)
{
  const auto& [key, run] = aRun;
  const auto term = OpenTerm(run);
  if (term && term->IsOpen(aNow, answeredPoll_)) {
    // A listed end, or one because of a deadline that has passed, shows that
    // this incarnation does not begin the run any more.
    const bool refusedHere = aEnd != RunEnd::Lost;
    const bool ended = refusedHere && aEnd != RunEnd::NotStarted;
    lateOrders_.Add(key.task_,
                    { .term_ = *term,
                      .deadline_ = run.deadline_,
                      .firstPoll_ = run.firstPoll_,
                      .refusedHere_ = refusedHere,
                      .number_ = run.upstreamRunNumber_,
                      .numberUsed_ = ended || run.numberUsed_ });
    lateOrdersChanged_ = true;
  }
  lateOrdersChanged_ |= run.keptPastRestart_ || HasOtherNumber(aRun);
}

void
RunTable::FinishWaiting(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool waiting = run->second.state_ == State::Waiting;
    run = waiting ? Finish(run, RunEnd::NotStarted, aNow) : std::next(run);
  }
}

void
RunTable::RequestStop(Runs::iterator aRun,
                      StopReason aReason,
                      MonoTime aSince,
                      MonoTime aNow)
{
  if (aRun->second.state_ == State::Waiting) {
    Finish(aRun, RunEnd::NotStarted, aNow);
    return;
  }
  std::optional<Stop>& stop = aRun->second.stop_;
  if (!stop) {
    stop = Stop{ .reason_ = aReason, .requestedAt_ = aSince };
  } else if (stop->reason_ == StopReason::Ordered) {
    stop->reason_ = aReason;
    stop->requestedAt_ = aSince;
  } else if (aReason != StopReason::Ordered) {
    stop->requestedAt_ = std::min(stop->requestedAt_, aSince);
  }
}

std::vector<RunTable::Runs::iterator>
RunTable::WaitingInOrder(MonoTime aNow)
{
  std::vector<Runs::iterator> waiting;
  for (auto run = runs_.begin(); run != runs_.end(); ++run) {
    if (run->second.state_ == State::Waiting) {
      waiting.push_back(run);
    }
  }
  // Runs that can no longer meet their objective go last, so that they do not
  // make others late.
  const auto rank = [aNow](const Run& aRun) {
    return std::make_tuple(
      aNow > aRun.latestStart_, aRun.priority_, aRun.sequence_);
  };
  std::sort(
    waiting.begin(), waiting.end(), [&](const auto& aA, const auto& aB) {
      return rank(aA->second) < rank(aB->second);
    });
  return waiting;
}

} // namespace cornelfront
