/// \file
/// RunTable: results of polls of the upstream, and the ends that the leader has
/// not acknowledged yet.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <set>

namespace cornelfront {
namespace {

/// Maximum number of ends in one poll result; a full list may hide further
/// ends.
constexpr size_t kMaxEndsPerLook = 500;

} // namespace

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
      // Emplace keeps the time of the last stop request of a known run.
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
  // left / percent * age is the expected time for the rest at the pace so far.
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

/// Records the end of a run of a stored job, or of one that a predecessor of
/// this process may have started, until the leader has acknowledged it.
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

RunTable::Runs::iterator
RunTable::FindUpstreamRun(const RunKey& aKey)
{
  // Keys are ordered by task, so the runs of one task are adjacent.
  for (auto run = runs_.lower_bound({ aKey.task_, 0 });
       run != runs_.end() && run->first.task_ == aKey.task_;
       ++run) {
    if (run->second.upstreamRun_ == aKey.run_) {
      return run;
    }
  }
  return runs_.end();
}

} // namespace cornelfront
