/// \file
/// RunTable: reports to the owners of runs.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <utility>

namespace cornelfront {

std::map<MemberId, RunTable::Updates>
RunTable::TakeUpdates()
{
  std::map<MemberId, Updates> updates;
  for (auto& [id, owner] : owners_) {
    if (!owner.unsent_.Empty()) {
      updates[id] = std::exchange(owner.unsent_, {});
    }
  }
  return updates;
}

HeldRuns
RunTable::MakeHeldRuns(MemberId aOwner) const
{
  HeldRuns held;
  for (const auto& [key, run] : runs_) {
    if (run.owner_ == aOwner) {
      held.runs_.push_back(key);
    }
  }
  for (const auto& [key, run] : formerRuns_) {
    if (run.owner_ == aOwner) {
      held.runs_.push_back(key);
    }
  }
  if (leader_ == aOwner) {
    held.term_ = term_;
  }
  if (leader_ == aOwner || !leader_) {
    for (const auto& [number, report] : unacknowledged_) {
      held.reports_.push_back(report);
    }
  }
  const auto owner = owners_.find(aOwner);
  if (owner != owners_.end()) {
    for (const auto& [when, report] : owner->second.recentReports_) {
      held.reports_.push_back(report);
    }
  }
  return held;
}

UpstreamReport
RunTable::MakeUpstreamReport(MonoTime aNow) const
{
  UpstreamReport report;
  if (!upstream_) {
    return report;
  }
  report.service_ = upstream_->service_;
  report.upstream_ = upstream_->id_;
  report.ready_ =
    !upstream_->draining_ && !closed_ && runsKnown_ && MayExtendByStart(aNow) &&
    Since(upstreamHeardAt_, aNow) <= options_.upstreamSuspectAfter_;
  report.capacity_ = upstream_->capacity_;
  report.labels_ = upstream_->labels_;
  report.committed_ = ResourcesInUse();
  for (const auto& [key, run] : runs_) {
    if (run.state_ == State::Waiting) {
      report.committed_ += run.resources_;
      report.backlog_.at(run.priority_) += Backlog(run);
    }
  }
  return report;
}

Resources
RunTable::ResourcesInUse() const
{
  Resources used;
  for (const auto& [key, run] : runs_) {
    if (run.state_ != State::Waiting) {
      used += run.resources_;
    }
  }
  return used;
}

int64_t
RunTable::Backlog(const Run& aRun) const
{
  return aRun.resources_.cpu_ * aRun.estimate_.count();
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
    report.waited_ = Since(aRun.queuedAt_, aRun.started_);
  } else {
    report.waited_ = Since(aRun.queuedAt_, aNow);
  }
  report.unacknowledged_ = aRun.term_ > 0;
  return report;
}

void
RunTable::QueueReport(MemberId aOwner, const RunReport& aReport, MonoTime aNow)
{
  Owner& owner = owners_[aOwner];
  owner.unsent_.reports_.push_back(aReport);
  owner.recentReports_.emplace_back(aNow, aReport);
}

} // namespace cornelfront
