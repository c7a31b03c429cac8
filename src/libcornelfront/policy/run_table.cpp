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
constexpr size_t kMaxGone = 16;

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

HeartbeatSender
RunTable::IdentifySender(const UpstreamInfo& aInfo, MonoTime aNow) const
{
  const auto sender = std::make_pair(aInfo.id_, aInfo.startedMs_);
  if (std::find(gone_.begin(), gone_.end(), sender) != gone_.end()) {
    return HeartbeatSender::Outdated;
  }
  if (!upstream_) {
    return HeartbeatSender::Successor;
  }
  if (upstream_->id_ == aInfo.id_ &&
      upstream_->startedMs_ == aInfo.startedMs_) {
    return HeartbeatSender::Current;
  }
  const bool later = aInfo.startedMs_ > upstream_->startedMs_;
  const bool leaseExpired =
    Since(upstreamHeardAt_, aNow) > options_.upstreamTimeout_;
  return later || leaseExpired ? HeartbeatSender::Successor
                               : HeartbeatSender::Outdated;
}

void
RunTable::OnUpstream(const UpstreamInfo& aInfo, MonoTime aNow)
{
  const bool sameIncarnation =
    IdentifySender(aInfo, aNow) == HeartbeatSender::Current;
  if (!sameIncarnation) {
    FinishReplaced(!upstream_ || upstream_->id_ == aInfo.id_
                     ? Replacement::SameId
                     : Replacement::OtherId,
                   aNow);
    orphans_.clear();
    newestEnd_ = 0;
    unacknowledged_.clear();
    leaseLapseStart_.reset();
    upstreamHeardAt_ = aNow;
    firstIncarnationPoll_ = polls_ + 1;
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
  orphans_.clear();
  upstream_.reset();
}

bool
RunTable::OnUpstreamLeft(const UpstreamDeparture& aDeparture, MonoTime aNow)
{
  if (!upstream_ || upstream_->id_ != aDeparture.id_ ||
      aDeparture.startedMs_.value_or(upstream_->startedMs_) !=
        upstream_->startedMs_) {
    return false;
  }
  if (aDeparture.startedMs_) {
    RecordGone();
  }
  OnUpstreamGone(aNow);
  return true;
}

bool
RunTable::OnUpstreamReplaced(uint64_t aPollNumber,
                             Replacement aReplacement,
                             MonoTime aNow)
{
  if (aPollNumber < firstIncarnationPoll_) {
    return false;
  }
  if (upstream_) {
    RecordGone();
  }
  FinishReplaced(aReplacement, aNow);
  orphans_.clear();
  upstream_.reset();
  upstreamHeardAt_ = aNow;
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
RunTable::OnOwnerLinked(MemberId aOwner, MonoTime aNow)
{
  owners_[aOwner].heardAt_ = aNow;
  if (leader_ == aOwner) {
    leaderHeardAt_ = aNow;
  }
}

void
RunTable::OnOwnerHeard(MemberId aOwner, MonoTime aNow)
{
  const auto owner = owners_.find(aOwner);
  if (owner != owners_.end()) {
    OnOwnerLinked(aOwner, aNow);
  }
}

void
RunTable::OnOrders(MemberId aOwner, const StartRuns& aOrders, MonoTime aNow)
{
  OnOwnerLinked(aOwner, aNow);
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
                   .upstreamRunNumber_ = order.run_,
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
  OnOwnerLinked(aLeader, aNow);
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
      RequestStop(run, aNow);
    }
  }
}

void
RunTable::StopAll(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    const auto next = std::next(run);
    RequestStop(run, aNow);
    run = next;
  }
}

bool
RunTable::MayStart(MonoTime aNow) const
{
  return upstream_ && !upstream_->draining_ && !closed_ && !leaseLapseStart_ &&
         aNow >= fullUntil_;
}

std::vector<StartRequest>
RunTable::TakeStarts(MonoTime aNow)
{
  std::vector<StartRequest> starts;
  if (!MayStart(aNow)) {
    ReturnWaiting(aNow);
    return starts;
  }
  // The upstream starts a run once even if it gets the same order twice.
  for (auto run = runs_.begin(); run != runs_.end(); ++run) {
    if (run->second.state_ == State::Uncertain && !run->second.stopRequested_ &&
        run->second.unanswered_ <= options_.maxStartRepeats_) {
      SendStart(run, starts);
    }
  }
  Resources used = ResourcesInUse();
  for (const auto run : WaitingInOrder(aNow)) {
    Resources with = used;
    with += run->second.resources_;
    if (!upstream_->capacity_.CanFit(with)) {
      // Starting a smaller run from behind it would starve this one.
      break;
    }
    used = with;
    SendStart(run, starts);
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
RunTable::SendStart(Runs::iterator aRun, std::vector<StartRequest>& aStarts)
{
  aRun->second.state_ = State::Starting;
  aRun->second.firstPoll_ = polls_ + 1;
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
  const auto found = runs_.find(aKey);
  if (found == runs_.end() || found->second.state_ != State::Starting) {
    return;
  }
  Run& run = found->second;
  switch (aAnswer) {
    case StartAnswer::Started:
      MarkRunning(aKey, run, aNow);
      run.firstPoll_ = polls_ + 1;
      return;
    case StartAnswer::Unknown:
      run.state_ = State::Uncertain;
      run.deadline_ = std::max(run.deadline_, aDeadline);
      ++run.unanswered_;
      return;
    case StartAnswer::Full:
      fullUntil_ = aNow + options_.fullBackoff_;
      RevertStart(run);
      break;
    case StartAnswer::DeadlinePassed:
      RevertStart(run);
      break;
    case StartAnswer::RunNumberUsed:
      // After an unanswered order, the run that has ended is this one.
      if (run.unanswered_ == 0) {
        run.upstreamRunNumber_ += kRenumberStep;
      }
      RevertStart(run);
      break;
    case StartAnswer::Refused:
    case StartAnswer::NotSent:
      RevertStart(run);
      if (run.state_ == State::Waiting) {
        Finish(found, RunEnd::NotStarted, aNow);
      }
      return;
  }
  if (run.stopRequested_ && run.state_ == State::Waiting) {
    Finish(found, RunEnd::NotStarted, aNow);
  }
}

void
RunTable::Tick(MonoTime aNow)
{
  CheckOwners(aNow);
  CheckLeader(aNow);
  if (Since(upstreamHeardAt_, aNow) > options_.upstreamTimeout_) {
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
    while (!owner.recentReports_.empty() &&
           Since(owner.recentReports_.front().first, aNow) >
             options_.reportRetention_) {
      owner.recentReports_.pop_front();
    }
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    const auto next = std::next(run);
    const auto owner = owners_.find(run->second.owner_);
    const Millis silence = owner == owners_.end()
                             ? options_.leaderTimeout_
                             : Since(owner->second.heardAt_, aNow);
    const bool lost = run->second.term_ > 0 ? silence >= options_.leaderTimeout_
                                            : silence > options_.ownerTimeout_;
    if (lost) {
      RequestStop(run, aNow);
    }
    run = next;
  }
  std::erase_if(owners_, [&](const auto& aOwner) {
    const bool holdsRuns =
      std::any_of(runs_.begin(), runs_.end(), [&](const auto& aRun) {
        return aRun.second.owner_ == aOwner.first;
      });
    return !holdsRuns &&
           Since(aOwner.second.heardAt_, aNow) > options_.reportRetention_;
  });
}

std::vector<RunKey>
RunTable::TakeStops(MonoTime aNow)
{
  std::vector<RunKey> stops;
  for (auto& [key, run] : runs_) {
    const bool due = run.stopRequested_ && run.state_ != State::Waiting &&
                     Since(run.stopSent_, aNow) >= options_.stopRepeatInterval_;
    if (due) {
      run.stopSent_ = aNow;
      stops.push_back({ key.task_, run.upstreamRunNumber_ });
    }
  }
  for (auto& [key, sent] : orphans_) {
    if (Since(sent, aNow) >= options_.stopRepeatInterval_) {
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
  QueueReport(aRun->second.owner_, report, aNow);
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
RunTable::RecordGone()
{
  // A heartbeat without a start time does not tell incarnations apart.
  if (upstream_->startedMs_ == 0) {
    return;
  }
  gone_.emplace_back(upstream_->id_, upstream_->startedMs_);
  if (gone_.size() > kMaxGone) {
    gone_.pop_front();
  }
}

void
RunTable::FinishReplaced(Replacement aReplacement, MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    Run& state = run->second;
    const bool waiting = state.state_ == State::Waiting;
    // A poll that was answered after the start has shown who answered the
    // start.
    const bool wasThere = state.state_ == State::Running &&
                          state.firstPoll_ <= answeredPoll_ &&
                          state.unanswered_ == 0;
    if (waiting || wasThere || aReplacement == Replacement::OtherId) {
      run = Finish(run, waiting ? RunEnd::NotStarted : RunEnd::Lost, aNow);
      continue;
    }
    if (state.state_ != State::Running) {
      state.state_ = State::Running;
      state.started_ = aNow;
    }
    state.firstPoll_ = polls_ + 1;
    ++run;
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
RunTable::RequestStop(Runs::iterator aRun, MonoTime aNow)
{
  if (aRun->second.state_ == State::Waiting) {
    Finish(aRun, RunEnd::NotStarted, aNow);
  } else {
    aRun->second.stopRequested_ = true;
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
