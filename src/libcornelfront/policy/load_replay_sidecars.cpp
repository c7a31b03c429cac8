/// \file
/// LoadReplayer: sidecars and their upstreams.

#include "policy/load_replay_pvt.h"

#include <algorithm>

namespace cornelfront {
namespace {

/// One-way delay between a sidecar and its upstream.
constexpr Millis kUpstreamDelay{ 1 };

} // namespace

void
LoadReplayer::TickSidecar(SimulatedSidecar& aSidecar)
{
  if (aSidecar.up_) {
    for (const auto& entry : entries_) {
      if (entry->up_) {
        aSidecar.table_->OnOwnerHeard(entry->id_, events_.Now());
      }
    }
    Poll(aSidecar);
    aSidecar.table_->Tick(events_.Now());
    SendPending(aSidecar);
    ReportChanges(aSidecar);
  }
  events_.After(kReplaySidecarTick,
                [this, &aSidecar] { TickSidecar(aSidecar); });
}

void
LoadReplayer::ReportChanges(SimulatedSidecar& aSidecar)
{
  const UpstreamReport report =
    aSidecar.table_->MakeUpstreamReport(events_.Now());
  for (const auto& [id, owner] : aSidecar.owners_) {
    if (owner.schedule_.IsDue(report, aSidecar.owners_.size(), events_.Now())) {
      Report(aSidecar, id, {});
    }
  }
}

void
LoadReplayer::Report(SimulatedSidecar& aSidecar,
                     MemberId aEntry,
                     RunTable::Updates aUpdates)
{
  const auto owner = aSidecar.owners_.find(aEntry);
  if (owner == aSidecar.owners_.end()) {
    return;
  }
  RunReports message{ .reports_ = std::move(aUpdates.reports_),
                      .stalled_ = std::move(aUpdates.stalled_),
                      .started_ = std::move(aUpdates.started_),
                      .upstream_ =
                        aSidecar.table_->MakeUpstreamReport(events_.Now()) };
  message.upstream_.ordersReceived_ = owner->second.ordersReceived_;
  owner->second.schedule_.OnSent(message.upstream_, events_.Now());
  ++result_.reports_;
  for (const RunReport& report : message.reports_) {
    result_.returned_ += report.end_ == RunEnd::NotStarted ? 1 : 0;
  }
  events_.After(pattern_.linkDelay_,
                [this, aEntry, from = aSidecar.id_, message] {
                  OnReport(aEntry, from, message);
                });
}

void
LoadReplayer::OnReport(MemberId aEntry,
                       MemberId aFrom,
                       const RunReports& aMessage)
{
  const auto entry =
    std::find_if(entries_.begin(), entries_.end(), [&](const auto& aKnown) {
      return aKnown->id_ == aEntry && aKnown->up_;
    });
  if (entry != entries_.end()) {
    (*entry)->scheduler_->OnReports(aFrom, aMessage, events_.Now());
    Perform(**entry);
  }
}

void
LoadReplayer::SendPending(SimulatedSidecar& aSidecar)
{
  for (const StopRequest& stop : aSidecar.table_->TakeStops(events_.Now())) {
    events_.After(kUpstreamDelay, [this, &aSidecar, key = stop.key_] {
      EndTask(aSidecar, key, RunEnd::Stopped);
    });
  }
  for (const StartRequest& start : aSidecar.table_->TakeStarts(events_.Now())) {
    events_.After(kUpstreamDelay,
                  [this, &aSidecar, start, upstream = aSidecar.upstream_] {
                    if (aSidecar.up_ && aSidecar.upstream_ == upstream) {
                      StartTask(aSidecar, start);
                    }
                  });
  }
  for (auto& [id, updates] : aSidecar.table_->TakeUpdates()) {
    Report(aSidecar, id, std::move(updates));
  }
}

void
LoadReplayer::StartTask(SimulatedSidecar& aSidecar, const StartRequest& aStart)
{
  ++result_.starts_;
  const auto job = jobs_.find(aStart.key_.task_.job_);
  Millis time{ 1 };
  if (job != jobs_.end()) {
    const double pace = aSidecar.slowness_ / aSidecar.speed_;
    time =
      RoundMs(ToMs(job->second->runTimes_[aStart.key_.task_.index_]) * pace);
  }
  const RunKey key{ aStart.key_.task_, aStart.upstreamRunNumber_ };
  aSidecar.running_[key] = { events_.Now(), time };
  events_.After(time, [this, &aSidecar, key, upstream = aSidecar.upstream_] {
    if (aSidecar.up_ && aSidecar.upstream_ == upstream) {
      EndTask(aSidecar, key, RunEnd::Done);
    }
  });
  events_.After(kUpstreamDelay,
                [this, &aSidecar, aStart, upstream = aSidecar.upstream_] {
                  if (aSidecar.up_ && aSidecar.upstream_ == upstream) {
                    aSidecar.table_->OnStartAnswer(
                      aStart.key_, StartAnswer::Started, {}, events_.Now());
                    SendPending(aSidecar);
                  }
                });
}

void
LoadReplayer::EndTask(SimulatedSidecar& aSidecar,
                      const RunKey& aKey,
                      RunEnd aEnd)
{
  if (aSidecar.running_.erase(aKey) == 0) {
    return;
  }
  aSidecar.ended_.push_back(
    { .number_ = aSidecar.nextEnd_++, .key_ = aKey, .end_ = aEnd });
  events_.After(kUpstreamDelay, [this, &aSidecar] {
    if (aSidecar.up_) {
      Poll(aSidecar);
      SendPending(aSidecar);
    }
  });
}

void
LoadReplayer::Poll(SimulatedSidecar& aSidecar)
{
  const uint64_t acknowledged = aSidecar.table_->AcknowledgedEnds();
  std::erase_if(aSidecar.ended_, [&](const EndedEntry& aEntry) {
    return aEntry.number_ <= acknowledged;
  });
  UpstreamPollResult result{ .ended_ = aSidecar.ended_ };
  for (const auto& [key, task] : aSidecar.running_) {
    constexpr int64_t kHundredPercent = 100;
    const auto percent =
      kHundredPercent * (events_.Now() - task.start_) / task.time_;
    result.running_.push_back(
      { .key_ = key, .percent_ = static_cast<int32_t>(percent) });
  }
  aSidecar.table_->OnPollResult(
    aSidecar.table_->BeginPoll(), result, events_.Now());
}

} // namespace cornelfront
