#include "cornelfront/run_table.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace cornelfront {
namespace {

/// Step by which a run is renumbered when the upstream knows a higher number
/// from an earlier owner of the same job.
constexpr uint32_t kRenumberStep = 100;

/// Ends that one look can list; a full list may hide others.
constexpr size_t kMaxEndsPerLook = 500;

Millis
Since(MonoTime aThen, MonoTime aNow)
{
  return std::chrono::duration_cast<Millis>(aNow - aThen);
}

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
RunTable::OnForgetEnds(const ForgetEnds& aEnds)
{
  const std::set<RunKey> keys(aEnds.runs_.begin(), aEnds.runs_.end());
  std::erase_if(
    kept_, [&](const auto& aKept) { return keys.contains(aKept.second.key_); });
}

uint64_t
RunTable::AcknowledgedEnds() const
{
  return kept_.empty() ? newestEnd_ : kept_.begin()->first - 1;
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
  // The same order twice starts the run once.
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
      // A smaller one behind it would starve it.
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
  // An earlier order without an answer may still be carried out.
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
      // After an order without an answer it is this run that has ended.
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

uint64_t
RunTable::BeginLook()
{
  return ++looks_;
}

bool
RunTable::OnLook(uint64_t aLookBegin, const UpstreamLook& aLook, MonoTime aNow)
{
  if (aLookBegin < incarnationLook_) {
    return false;
  }
  upstreamHeard_ = aNow;
  NoteRunning(aLook, aNow);
  NoteEnded(aLook, aNow);
  NoteMissing(aLookBegin, aLook, aNow);
  return true;
}

void
RunTable::NoteRunning(const UpstreamLook& aLook, MonoTime aNow)
{
  std::set<RunKey> listed;
  for (const RunningEntry& entry : aLook.running_) {
    listed.insert(entry.key_);
    const auto run = FindUpstreamRun(entry.key_);
    if (run == runs_.end()) {
      // Emplace keeps the time at which a stop was last sent.
      strays_.emplace(entry.key_, MonoTime());
      continue;
    }
    if (run->second.state_ == State::Uncertain) {
      NoteStarted(run->first, run->second, aNow);
    }
    CheckStall(run->first, run->second, entry.percent_, aNow);
  }
  std::erase_if(strays_, [&](const auto& aStray) {
    return !listed.contains(aStray.first);
  });
}

void
RunTable::CheckStall(const RunKey& aKey,
                     Run& aRun,
                     int32_t aPercent,
                     MonoTime aNow)
{
  if (aRun.state_ != State::Running ||
      Since(aRun.stallTold_, aNow) < options_.stallRepeat_) {
    return;
  }
  const Millis age = Since(aRun.started_, aNow);
  if (age <= options_.stallFloor_ ||
      age <= options_.stallFactor_ * aRun.estimate_) {
    return;
  }
  constexpr int32_t kWhole = 100;
  const int32_t left = kWhole - aPercent;
  // left / percent * age is the time that the rest takes at this pace.
  if (left * age > aPercent * aRun.estimate_) {
    aRun.stallTold_ = aNow;
    owners_[aRun.owner_].unsent_.stalled_.push_back({ aKey, age, aPercent });
  }
}

void
RunTable::NoteEnded(const UpstreamLook& aLook, MonoTime aNow)
{
  for (const EndedEntry& entry : aLook.ended_) {
    if (entry.number_ <= newestEnd_) {
      continue;
    }
    newestEnd_ = entry.number_;
    const auto run = FindUpstreamRun(entry.key_);
    const bool matters =
      entry.end_ == RunEnd::Done || entry.end_ == RunEnd::Failed;
    if (run == runs_.end() ? matters : run->second.term_ > 0) {
      Keep(entry, run, aNow);
    }
    if (run != runs_.end()) {
      Finish(run, entry.end_, aNow);
    }
  }
  LimitKept();
}

/// Keeps the end of a run of a stored job, or of one that a predecessor of
/// this process may have started, until the leader has taken note of it.
void
RunTable::Keep(const EndedEntry& aEnd, Runs::iterator aRun, MonoTime aNow)
{
  RunReport report{ .key_ = aEnd.key_, .end_ = aEnd.end_ };
  if (aRun != runs_.end()) {
    report = MakeReport(aRun->first, aRun->second, aEnd.end_, aNow);
  }
  report.kept_ = true;
  if (kept_.empty()) {
    keptSince_ = aNow;
  }
  kept_[aEnd.number_] = report;
  if (aRun == runs_.end() && leader_) {
    Tell(*leader_, report, aNow);
  }
}

void
RunTable::LimitKept()
{
  if (!kept_.empty() &&
      newestEnd_ - kept_.begin()->first >= options_.maxKeptEnds_) {
    kept_.clear();
  }
}

void
RunTable::NoteMissing(uint64_t aLookBegin,
                      const UpstreamLook& aLook,
                      MonoTime aNow)
{
  if (aLook.ended_.size() >= kMaxEndsPerLook) {
    return;
  }
  std::set<RunKey> listed;
  for (const RunningEntry& entry : aLook.running_) {
    listed.insert(entry.key_);
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    const Run& state = run->second;
    const bool shown =
      listed.contains({ run->first.task_, state.upstreamRun_ });
    const bool running =
      state.state_ == State::Running && state.firstLook_ <= aLookBegin;
    const bool neverStarts = state.state_ == State::Uncertain &&
                             state.firstLook_ <= aLookBegin &&
                             aLook.clock_ > state.deadline_;
    if (!shown && running) {
      run = Finish(run, RunEnd::Lost, aNow);
    } else if (!shown && neverStarts) {
      run = Finish(run, RunEnd::NotStarted, aNow);
    } else {
      ++run;
    }
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

void
RunTable::CheckLeader(MonoTime aNow)
{
  if (lapseBegun_) {
    if (Since(*lapseBegun_, aNow) >= options_.leaseEnd_) {
      DropKeptEnds();
      lapseBegun_.reset();
    }
    return;
  }
  const bool silent = leader_
                        ? Since(leaderHeard_, aNow) >= options_.leaderSilence_
                        : Since(keptSince_, aNow) >= options_.unknownLeader_;
  if (!kept_.empty() && silent) {
    lapseBegun_ = aNow;
  }
}

void
RunTable::DropKeptEnds()
{
  kept_.clear();
  for (auto& [id, owner] : owners_) {
    std::erase_if(owner.unsent_.reports_,
                  [](const RunReport& aReport) { return aReport.kept_; });
    std::erase_if(owner.recent_,
                  [](const auto& aRecent) { return aRecent.second.kept_; });
  }
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

std::map<MemberId, RunTable::News>
RunTable::TakeNews()
{
  std::map<MemberId, News> news;
  for (auto& [id, owner] : owners_) {
    if (!owner.unsent_.Empty()) {
      news[id] = std::exchange(owner.unsent_, {});
    }
  }
  return news;
}

HeldRuns
RunTable::Held(MemberId aOwner) const
{
  HeldRuns held;
  for (const auto& [key, run] : runs_) {
    if (run.owner_ == aOwner) {
      held.runs_.push_back(key);
    }
  }
  if (leader_ == aOwner) {
    held.term_ = term_;
  }
  if (leader_ == aOwner || !leader_) {
    for (const auto& [number, report] : kept_) {
      held.reports_.push_back(report);
    }
  }
  const auto owner = owners_.find(aOwner);
  if (owner != owners_.end()) {
    for (const auto& [when, report] : owner->second.recent_) {
      held.reports_.push_back(report);
    }
  }
  return held;
}

UpstreamReport
RunTable::Report(MonoTime aNow) const
{
  UpstreamReport report;
  if (!upstream_) {
    return report;
  }
  report.service_ = upstream_->service_;
  report.upstream_ = upstream_->id_;
  report.ready_ = !upstream_->draining_ && !closed_ && !lapseBegun_ &&
                  Since(upstreamHeard_, aNow) <= options_.upstreamDoubt_;
  report.capacity_ = upstream_->capacity_;
  report.labels_ = upstream_->labels_;
  report.committed_ = RoomInUse();
  for (const auto& [key, run] : runs_) {
    if (run.state_ == State::Waiting) {
      report.committed_ += run.room_;
      report.backlog_.at(run.priority_) += Backlog(run);
    }
  }
  return report;
}

Room
RunTable::RoomInUse() const
{
  Room used;
  for (const auto& [key, run] : runs_) {
    if (run.state_ != State::Waiting) {
      used += run.room_;
    }
  }
  return used;
}

int64_t
RunTable::Backlog(const Run& aRun) const
{
  return aRun.room_.cpu_ * aRun.estimate_.count();
}

RunTable::Runs::iterator
RunTable::Finish(Runs::iterator aRun, RunEnd aEnd, MonoTime aNow)
{
  const auto report = MakeReport(aRun->first, aRun->second, aEnd, aNow);
  Tell(aRun->second.owner_, report, aNow);
  return runs_.erase(aRun);
}

RunReport
RunTable::MakeReport(const RunKey& aKey,
                     const Run& aRun,
                     RunEnd aEnd,
                     MonoTime aNow) const
{
  RunReport report{ .key_ = aKey, .end_ = aEnd };
  if (aRun.state_ == State::Running) {
    report.runTime_ = Since(aRun.started_, aNow);
    report.waited_ = Since(aRun.queued_, aRun.started_);
  } else {
    report.waited_ = Since(aRun.queued_, aNow);
  }
  report.kept_ = aRun.term_ > 0;
  return report;
}

void
RunTable::Tell(MemberId aOwner, const RunReport& aReport, MonoTime aNow)
{
  Owner& owner = owners_[aOwner];
  owner.unsent_.reports_.push_back(aReport);
  owner.recent_.emplace_back(aNow, aReport);
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

RunTable::Runs::iterator
RunTable::FindUpstreamRun(const RunKey& aKey)
{
  // Keys are ordered by task, so the runs of one task are neighbours.
  for (auto run = runs_.lower_bound({ aKey.task_, 0 });
       run != runs_.end() && run->first.task_ == aKey.task_;
       ++run) {
    if (run->second.upstreamRun_ == aKey.run_) {
      return run;
    }
  }
  return runs_.end();
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
  // What can't meet its objective any more must not take others with it.
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
