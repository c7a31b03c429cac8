/// \file
/// RunTable: results of polls of the upstream, and the ends that the leader has
/// not acknowledged yet.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelfront {
namespace {

/// Maximum number of ends in one poll result; a full list may hide further
/// ends.
constexpr size_t kMaxEndsPerPoll = 500;
/// Polls without an answer whose times are remembered.
constexpr size_t kMaxOpenPolls = 64;

} // namespace

void
RunTable::OnAcknowledgeEnds(const AcknowledgeEnds& aEnds)
{
  const std::set<RunKey> keys(aEnds.runs_.begin(), aEnds.runs_.end());
  std::erase_if(unacknowledged_, [&](const auto& aUnacknowledged) {
    return keys.contains(aUnacknowledged.second.key_);
  });
}

uint64_t
RunTable::AcknowledgedEnds() const
{
  return unacknowledged_.empty() ? newestEnd_
                                 : unacknowledged_.begin()->first - 1;
}

uint64_t
RunTable::BeginPoll()
{
  openPolls_[++polls_] = standstill_.LastCall();
  if (openPolls_.size() > kMaxOpenPolls) {
    openPolls_.erase(openPolls_.begin());
  }
  return polls_;
}

MonoTime
RunTable::AnsweredAt(uint64_t aPollNumber, MonoTime aNow)
{
  MonoTime time = aNow;
  if (aPollNumber < firstPollSinceStandstill_) {
    const auto poll = openPolls_.find(aPollNumber);
    const Millis age = standstill_.AgeOfNews();
    time = std::max(poll == openPolls_.end() ? MonoTime() : poll->second,
                    age > Millis(0) ? aNow - age : MonoTime());
  }
  openPolls_.erase(openPolls_.begin(), openPolls_.upper_bound(aPollNumber));
  return time;
}

bool
RunTable::OnPollResult(uint64_t aPollNumber,
                       const UpstreamPollResult& aPollResult,
                       MonoTime aNow)
{
  DetectSuspension(aNow);
  if (aPollNumber < firstIncarnationPoll_ || !upstream_) {
    return false;
  }
  WithdrawCrash();
  upstreamHeardAt_ = std::max(upstreamHeardAt_, AnsweredAt(aPollNumber, aNow));
  if (!runsKnown_) {
    OnFirstAnswer();
    // A predecessor of this process may have sent orders until just now.
    OnDeadlineSent({ aPollResult.clock_.value_ + options_.leaseExpiry_ });
  }
  runsKnown_ = true;
  answeredPoll_ = aPollNumber;
  ProcessRunning(aPollResult, aNow);
  ProcessEnded(aPollResult, aNow);
  ProcessMissing(aPollNumber, aPollResult, aNow);
  DiscardVoidEnds(aPollResult.clock_, aNow);
  if (!lateOrders_.Orders().empty()) {
    lateOrders_.OnPollResult(aPollNumber, aPollResult.clock_, upstreamHeardAt_);
    lateOrdersChanged_ = true;
  }
  NoteLeavingAnswer(aPollResult, aNow);
  ConcludeDeparture(aNow);
  return true;
}

void
RunTable::ProcessRunning(const UpstreamPollResult& aPollResult, MonoTime aNow)
{
  std::set<RunKey> listed;
  for (const RunningEntry& entry : aPollResult.running_) {
    listed.insert(entry.key_);
    const auto run = FindUpstreamRun(entry.key_);
    if (run == runs_.end()) {
      // A known orphan keeps its stop.
      const Stop stop{ .reason_ = StopReason::Orphaned, .requestedAt_ = aNow };
      if (orphans_.try_emplace(entry.key_, stop).second) {
        foundOrphans_.push_back(entry.key_);
        lateOrdersChanged_ = true;
      }
      continue;
    }
    if (run->second.state_ == State::Uncertain) {
      MarkRunning(run->first, run->second, aNow);
    }
    CheckStall(run->first, run->second, entry.percent_, aNow);
  }
  const size_t gone = std::erase_if(orphans_, [&](const auto& aOrphan) {
    return !listed.contains(aOrphan.first);
  });
  lateOrdersChanged_ |= gone > 0;
}

void
RunTable::CheckStall(const RunKey& aKey,
                     Run& aRun,
                     int32_t aPercent,
                     MonoTime aNow)
{
  if (aRun.state_ != State::Running ||
      Since(aRun.stallReportedAt_, aNow) < options_.stallRepeatInterval_) {
    return;
  }
  const Millis age = Since(aRun.started_, aNow);
  if (age <= options_.stallFloor_ ||
      age <= options_.stallFactor_ * aRun.estimate_) {
    return;
  }
  constexpr int32_t kHundredPercent = 100;
  const int32_t left = kHundredPercent - aPercent;
  // left / percent * age is the expected time for the rest at the pace so far.
  if (left * age > aPercent * aRun.estimate_) {
    aRun.stallReportedAt_ = aNow;
    owners_[aRun.owner_].unsent_.stalled_.push_back({ aKey, age, aPercent });
  }
}

void
RunTable::ProcessEnded(const UpstreamPollResult& aPollResult, MonoTime aNow)
{
  for (const EndedEntry& entry : aPollResult.ended_) {
    if (entry.number_ <= newestEnd_) {
      continue;
    }
    newestEnd_ = entry.number_;
    lateOrders_.OnNumberUsed(entry.key_.task_, entry.key_.run_);
    const auto run = FindUpstreamRun(entry.key_);
    const bool isRelevant =
      entry.end_ == RunEnd::Done || entry.end_ == RunEnd::Failed;
    if (run == runs_.end() ? isRelevant : run->second.term_ > 0) {
      RecordEnd(entry, run, aNow);
    }
    if (run != runs_.end()) {
      Finish(run, entry.end_, aNow);
    }
  }
}

/// Records the end of a run of a stored job, or of one that a predecessor of
/// this process may have started, until the leader has acknowledged it.
void
RunTable::RecordEnd(const EndedEntry& aEnd, Runs::iterator aRun, MonoTime aNow)
{
  RunReport report{ .key_ = aEnd.key_, .end_ = aEnd.end_ };
  if (aRun != runs_.end()) {
    report = MakeReport(aRun->first, aRun->second, aEnd.end_, aNow);
  }
  report.unacknowledged_ = true;
  report.found_ = aRun == runs_.end();
  if (unacknowledged_.empty()) {
    unacknowledgedSince_ = aNow;
  }
  unacknowledged_[aEnd.number_] = report;
  if (aRun != runs_.end()) {
    return;
  }
  foundEnds_.push_back(report);
  if (leader_) {
    QueueReport(*leader_, report, aNow);
  }
}

bool
RunTable::MustLetLeaseLapse(MonoTime aNow) const
{
  if (unacknowledged_.empty()) {
    return false;
  }
  const bool full = newestEnd_ - unacknowledged_.begin()->first >=
                    options_.maxUnacknowledgedEnds_;
  return full || IsLeaderLost(aNow);
}

size_t
RunTable::OpenStoredRuns() const
{
  const auto started =
    std::count_if(runs_.begin(), runs_.end(), [](const auto& aRun) {
      return aRun.second.term_ > 0 && aRun.second.state_ != State::Waiting;
    });
  return unacknowledged_.size() + static_cast<size_t>(started);
}

void
RunTable::ProcessMissing(uint64_t aPollNumber,
                         const UpstreamPollResult& aPollResult,
                         MonoTime aNow)
{
  if (aPollResult.ended_.size() >= kMaxEndsPerPoll) {
    return;
  }
  std::set<RunKey> listed;
  for (const RunningEntry& entry : aPollResult.running_) {
    listed.insert(entry.key_);
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    const Run& state = run->second;
    const bool shown = listed.contains(UpstreamKey(run->first, state));
    const bool running =
      state.state_ == State::Running && state.firstPoll_ <= aPollNumber;
    const bool neverStarts = state.state_ == State::Uncertain &&
                             state.firstPoll_ <= aPollNumber &&
                             aPollResult.clock_ > state.deadline_;
    if (shown || !(running || neverStarts)) {
      ++run;
    } else if (aNow < state.mayRunElsewhereUntil_) {
      run = MakeFormer(run, state.mayRunElsewhereUntil_, aNow);
    } else {
      const RunEnd end = running ? RunEnd::Lost : RunEnd::NotStarted;
      run = Finish(run, end, aNow);
    }
  }
}

/// To acknowledge an end that no leader has stored, without a lapse, would let
/// the next leader start its task again.
void
RunTable::DiscardVoidEnds(UpstreamTime aClock, MonoTime aNow)
{
  const UpstreamTime lapsed{ latestDeadline_.value_ + options_.lapseDelay_ };
  if (!MustLetLeaseLapse(aNow) || aClock <= lapsed) {
    return;
  }
  unacknowledged_.clear();
  for (auto& [id, owner] : owners_) {
    std::erase_if(owner.unsent_.reports_, [](const RunReport& aReport) {
      return aReport.unacknowledged_;
    });
    std::erase_if(owner.recentReports_, [](const auto& aRecent) {
      return aRecent.second.unacknowledged_;
    });
  }
}

std::vector<RunKey>
RunTable::TakeFoundOrphans()
{
  return std::exchange(foundOrphans_, {});
}

std::vector<RunReport>
RunTable::TakeFoundEnds()
{
  return std::exchange(foundEnds_, {});
}

RunTable::Runs::iterator
RunTable::FindUpstreamRun(const RunKey& aKey)
{
  // Keys are ordered by task, so the runs of one task are adjacent.
  for (auto run = runs_.lower_bound({ aKey.task_, 0 });
       run != runs_.end() && run->first.task_ == aKey.task_;
       ++run) {
    if (run->second.upstreamRunNumber_ == aKey.run_) {
      return run;
    }
  }
  return runs_.end();
}

} // namespace cornelfront
