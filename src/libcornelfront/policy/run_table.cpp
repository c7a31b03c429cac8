/// \file
/// RunTable: orders of owners, and starts and stops of runs.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cornelfront {
namespace {

/// Added to a run's number when the upstream knows a higher number from an
/// earlier owner of the same job.
constexpr uint32_t kRenumberStep = 100;

} // namespace

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
RunTable::OnUpstream(const UpstreamInfo& aInfo, MonoTime aNow)
{
  const bool sameIncarnation = upstream_ && upstream_->id_ == aInfo.id_ &&
                               upstream_->bornMs_ == aInfo.bornMs_;
  if (!sameIncarnation) {
    FinishAll(RunEnd::Lost, aNow);
    strays_.clear();
    newestEnd_ = 0;
    kept_.clear();
    lapseBegun_.reset();
    upstreamHeard_ = aNow;
    incarnationLook_ = looks_ + 1;
  }
  upstream_ = aInfo;
  if (aInfo.draining_) {
    FinishWaiting(aNow);
  }
}

void
RunTable::OnUpstreamGone(MonoTime aNow)
{
  FinishAll(RunEnd::Lost, aNow);
  strays_.clear();
  upstream_.reset();
}

bool
RunTable::OnUpstreamReplaced(uint64_t aLookBegin, MonoTime aNow)
{
  if (aLookBegin < incarnationLook_) {
    return false;
  }
  OnUpstreamGone(aNow);
  return true;
}

void
RunTable::SetClosed(bool aClosed, MonoTime aNow)
{
  closed_ = aClosed;
  if (closed_) {
    FinishWaiting(aNow);
  }
}

void
RunTable::OnOwnerLink(MemberId aOwner, MonoTime aNow)
{
  owners_[aOwner].heard_ = aNow;
  if (leader_ == aOwner) {
    leaderHeard_ = aNow;
  }
}

void
RunTable::OnOwnerHeard(MemberId aOwner, MonoTime aNow)
{
  const auto owner = owners_.find(aOwner);
  if (owner != owners_.end()) {
    OnOwnerLink(aOwner, aNow);
  }
}

void
RunTable::OnOrders(MemberId aOwner, const StartRuns& aOrders, MonoTime aNow)
{
  OnOwnerLink(aOwner, aNow);
  const bool accepts = Accepts(aOrders);
  term_ = std::max(term_, aOrders.term_);
  for (const RunOrder& order : aOrders.runs_) {
    const RunKey key{ aOrders.Task(order), order.run_ };
    const auto sameTask = runs_.lower_bound({ key.task_, 0 });
    const bool known =
      sameTask != runs_.end() && sameTask->first.task_ == key.task_;
    if (!accepts || known) {
      const RunReport report{ .key_ = key };
      owners_[aOwner].unsent_.reports_.push_back(report);
      continue;
    }
    runs_[key] = { .owner_ = aOwner,
                   .term_ = aOrders.term_,
                   .upstreamRun_ = order.run_,
                   .payload_ = aOrders.payload_,
                   .room_ = aOrders.room_,
                   .priority_ =
                     std::min<uint8_t>(aOrders.priority_, kPriorities - 1),
                   .estimate_ = aOrders.estimate_,
                   .queued_ = aNow,
                   .goal_ = aNow + aOrders.startGoal_,
                   .startBy_ = aNow + aOrders.startWithin_,
                   .sequence_ = nextSequence_++ };
  }
}

bool
RunTable::Accepts(const StartRuns& aOrders) const
{
  const bool current =
    aOrders.term_ == 0 || (registered_ && aOrders.term_ >= term_);
  return current && upstream_ && !upstream_->draining_ && !closed_ &&
         upstream_->service_ == aOrders.service_;
}

bool
RunTable::OnTakeOver(MemberId aLeader, uint64_t aTerm, MonoTime aNow)
{
  if (aTerm < term_) {
    return false;
  }
  term_ = aTerm;
  leader_ = aLeader;
  OnOwnerLink(aLeader, aNow);
  for (auto& [key, run] : runs_) {
    if (run.term_ > 0) {
      run.owner_ = aLeader;
      run.term_ = aTerm;
      if (run.state_ == State::Running) {
        owners_[aLeader].unsent_.started_.push_back(key);
      }
    }
  }
  return true;
}

void
RunTable::OnStop(MemberId aOwner, const StopRuns& aStop, MonoTime aNow)
{
  OnOwnerHeard(aOwner, aNow);
  for (const RunKey& key : aStop.runs_) {
    const auto run = runs_.find(key);
    if (run != runs_.end()) {
      WantStop(run, aNow);
    }
  }
}

void
RunTable::StopAll(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const auto next = std::next(run);
    WantStop(run, aNow);
    run = next;
  }
}

std::vector<StartOrder>
RunTable::TakeStarts(MonoTime aNow)
{
  std::vector<StartOrder> starts;
  if (!upstream_ || upstream_->draining_ || closed_ || lapseBegun_ ||
      aNow < fullUntil_) {
    return starts;
  }
  // The upstream starts a run once even if it gets the same order twice.
  for (auto run = runs_.begin(); run != runs_.end(); ++run) {
    if (run->second.state_ == State::Uncertain && !run->second.stopWanted_ &&
        run->second.unanswered_ <= options_.startRepeats_) {
      SendStart(run, starts);
    }
  }
  Room used = RoomInUse();
  for (const auto run : WaitingInOrder(aNow)) {
    Room with = used;
    with += run->second.room_;
    if (!upstream_->capacity_.Holds(with)) {
      // Starting a smaller run from behind it would starve this one.
      break;
    }
    used = with;
    SendStart(run, starts);
  }
  return starts;
}

void
RunTable::SendStart(Runs::iterator aRun, std::vector<StartOrder>& aStarts)
{
  aRun->second.state_ = State::Starting;
  aRun->second.firstLook_ = looks_ + 1;
  aStarts.push_back({ .key_ = aRun->first,
                      .upstreamRun_ = aRun->second.upstreamRun_,
                      .payload_ = aRun->second.payload_ });
}

void
RunTable::NoteStarted(const RunKey& aKey, Run& aRun, MonoTime aNow)
{
  aRun.state_ = State::Running;
  aRun.started_ = aNow;
  if (aRun.term_ > 0) {
    owners_[aRun.owner_].unsent_.started_.push_back(aKey);
  }
}

void
RunTable::Withdraw(Run& aRun)
{
  // An earlier order that was not answered may still be carried out.
  aRun.state_ = aRun.unanswered_ > 0 ? State::Uncertain : State::Waiting;
  if (aRun.unanswered_ > 0) {
    aRun.unanswered_ = options_.startRepeats_ + 1;
  }
}

void
RunTable::OnStartAnswer(const RunKey& aKey,
                        StartAnswer aAnswer,
                        UpstreamClock aDeadline,
                        MonoTime aNow)
{
  const auto found = runs_.find(aKey);
  if (found == runs_.end() || found->second.state_ != State::Starting) {
    return;
  }
  Run& run = found->second;
  switch (aAnswer) {
    case StartAnswer::Started:
      NoteStarted(aKey, run, aNow);
      run.firstLook_ = looks_ + 1;
      return;
    case StartAnswer::Unknown:
      run.state_ = State::Uncertain;
      run.deadline_ = std::max(run.deadline_, aDeadline);
      ++run.unanswered_;
      return;
    case StartAnswer::Full:
      fullUntil_ = aNow + options_.fullPause_;
      Withdraw(run);
      break;
    case StartAnswer::TooLate:
      Withdraw(run);
      break;
    case StartAnswer::OldNumber:
      // After an unanswered order, the run that has ended is this one.
      if (run.unanswered_ == 0) {
        run.upstreamRun_ += kRenumberStep;
      }
      Withdraw(run);
      break;
    case StartAnswer::Refused:
    case StartAnswer::NotSent:
      Withdraw(run);
      if (run.state_ == State::Waiting) {
        Finish(found, RunEnd::NotStarted, aNow);
      }
      return;
  }
  if (run.stopWanted_ && run.state_ == State::Waiting) {
    Finish(found, RunEnd::NotStarted, aNow);
  }
}

void
RunTable::Tick(MonoTime aNow)
{
  CheckOwners(aNow);
  CheckLeader(aNow);
  if (upstream_ && Since(upstreamHeard_, aNow) > options_.upstreamSilence_) {
    FinishAll(RunEnd::Lost, aNow);
  }
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
    while (!owner.recent_.empty() && Since(owner.recent_.front().first, aNow) >
                                       options_.reportRetention_) {
      owner.recent_.pop_front();
    }
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    const auto next = std::next(run);
    const auto owner = owners_.find(run->second.owner_);
    const Millis silence = owner == owners_.end()
                             ? options_.leaderSilence_
                             : Since(owner->second.heard_, aNow);
    const bool lost = run->second.term_ > 0 ? silence >= options_.leaderSilence_
                                            : silence > options_.ownerSilence_;
    if (lost) {
      WantStop(run, aNow);
    }
    run = next;
  }
  std::erase_if(owners_, [&](const auto& aOwner) {
    const bool holdsRuns =
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& aRun) {
        return aRun.second.owner_ == aOwner.first;
      });
    return !holdsRuns &&
           Since(aOwner.second.heard_, aNow) > options_.reportRetention_;
  });
}

std::vector<RunKey>
RunTable::TakeStops(MonoTime aNow)
{
  std::vector<RunKey> stops;
  for (auto& [key, run] : runs_) {
    const bool due = run.stopWanted_ && run.state_ != State::Waiting &&
                     Since(run.stopSent_, aNow) >= options_.stopRepeat_;
    if (due) {
      run.stopSent_ = aNow;
      stops.push_back({ key.task_, run.upstreamRun_ });
    }
  }
  for (auto& [key, sent] : strays_) {
    if (Since(sent, aNow) >= options_.stopRepeat_) {
      sent = aNow;
      stops.push_back(key);
    }
  }
  return stops;
}

RunTable::Runs::iterator
RunTable::Finish(Runs::iterator aRun, RunEnd aEnd, MonoTime aNow)
{
  const auto report = MakeReport(aRun->first, aRun->second, aEnd, aNow);
  Tell(aRun->second.owner_, report, aNow);
  return runs_.erase(aRun);
}

void
RunTable::FinishAll(RunEnd aEnd, MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool waiting = run->second.state_ == State::Waiting;
    run = Finish(run, waiting ? RunEnd::NotStarted : aEnd, aNow);
  }
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
RunTable::WantStop(Runs::iterator aRun, MonoTime aNow)
{
  if (aRun->second.state_ == State::Waiting) {
    Finish(aRun, RunEnd::NotStarted, aNow);
  } else {
    aRun->second.stopWanted_ = true;
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
    return std::make_tuple(aNow > aRun.goal_, aRun.priority_, aRun.sequence_);
  };
  std::sort(
    waiting.begin(), waiting.end(), [&](const auto& aA, const auto& aB) {
      return rank(aA->second) < rank(aB->second);
    });
  return waiting;
}

} // namespace cornelfront
