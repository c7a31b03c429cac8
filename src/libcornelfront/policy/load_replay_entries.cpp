/// \file
/// LoadReplayer: arrivals, and the entries that decide on them.

#include "policy/load_replay_pvt.h"

#include "cornelfront/visitor.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace cornelfront {
double
LoadReplayer::RateFactor(const LoadKind& aKind) const
{
  double factor = 1.0;
  for (const LoadFault& fault : pattern_.faults_) {
    const MonoTime begin = kReplayStart + fault.at_;
    const bool active =
      events_.Now() >= begin && events_.Now() < begin + fault.duration_;
    if (fault.kind_ == LoadFaultKind::Burst && active &&
        (fault.job_.empty() || fault.job_ == aKind.name_)) {
      factor *= fault.factor_;
    }
  }
  return factor;
}

void
LoadReplayer::ScheduleArrival(size_t aKind)
{
  const LoadKind& kind = pattern_.kinds_[aKind];
  if (kind.jobsPerSecond_ <= 0) {
    return;
  }
  const double rate = kind.jobsPerSecond_ * RateFactor(kind);
  const double seconds = std::exponential_distribution<double>(rate)(random_);
  const auto delay = std::chrono::duration_cast<MonoClock::duration>(
    std::chrono::duration<double>(seconds));
  const MonoTime at = events_.Now() + delay;
  if (at >= kReplayStart + pattern_.duration_) {
    return;
  }
  events_.At(at, [this, aKind] {
    Submit(MakeJob(aKind));
    ScheduleArrival(aKind);
  });
}

ClientJobPtr
LoadReplayer::MakeJob(size_t aKind)
{
  const LoadKind& kind = pattern_.kinds_[aKind];
  auto job = std::make_shared<ClientJob>();
  job->kind_ = aKind;
  std::array<char, 17> id{};
  std::snprintf(id.data(),
                id.size(),
                "%016llx",
                static_cast<unsigned long long>(++lastJob_));
  job->id_ = id.data();
  job->submitted_ = events_.Now();
  job->cpu_ = kind.cpu_;
  const double mean = ToMs(kind.runTime_) * LogNormal(kind.jobSpread_);
  constexpr double kWidthSpread = 0.4;
  const auto tasks =
    std::max<int64_t>(1, std::llround(kind.tasks_ * LogNormal(kWidthSpread)));
  for (int64_t i = 0; i < tasks; ++i) {
    job->runTimes_.push_back(RoundMs(mean * LogNormal(kind.taskSpread_)));
  }
  job->estimate_ = RoundMs(mean * LogNormal(kind.estimateSpread_));
  LoadOutcomes& window = WindowOf(*job);
  ++window.submitted_;
  ++result_.kinds_[aKind].outcomes_.submitted_;
  ++result_.total_.submitted_;
  return job;
}

double
LoadReplayer::ToMs(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

Millis
LoadReplayer::RoundMs(double aMs)
{
  return Millis(std::max<int64_t>(1, std::llround(aMs)));
}

LoadOutcomes&
LoadReplayer::WindowOf(const ClientJob& aJob)
{
  const auto index =
    static_cast<size_t>((aJob.submitted_ - kReplayStart) / kReplayWindow);
  return result_.windows_[std::min(index, result_.windows_.size() - 1)];
}

void
LoadReplayer::Submit(const ClientJobPtr& aJob)
{
  const size_t first =
    std::uniform_int_distribution<size_t>(0, entries_.size() - 1)(random_);
  for (size_t i = 0; i < entries_.size(); ++i) {
    SimulatedEntry& entry = *entries_[(first + i) % entries_.size()];
    if (entry.up_) {
      SubmitTo(entry, aJob);
      return;
    }
  }
  Count(*aJob, &LoadOutcomes::failed_);
}

void
LoadReplayer::SubmitTo(SimulatedEntry& aEntry, const ClientJobPtr& aJob)
{
  const LoadKind& kind = pattern_.kinds_[aJob->kind_];
  const JobDescription description{
    .id_ = aJob->id_,
    .steps_ = { { .count_ = static_cast<uint32_t>(aJob->runTimes_.size()),
                  .resources_ = { .cpu_ = aJob->cpu_ },
                  .estimate_ = aJob->estimate_ } },
    .bestEffort_ = true
  };
  const JobQueue queue{ .name_ = kind.name_,
                        .service_ = "service",
                        .priority_ = kind.priority_,
                        .attempts_ = kind.attempts_,
                        .stretch_ = kind.stretch_,
                        .slo_ = kind.slo_ };
  const JobSubmissionId submission = ++lastSubmission_;
  aEntry.open_[submission] = aJob;
  jobs_[aJob->id_] = aJob;
  aEntry.scheduler_->Submit(submission,
                            description,
                            queue,
                            aJob->submitted_ + kind.clientTimeout_,
                            events_.Now());
  Perform(aEntry);
}

void
LoadReplayer::TickEntry(SimulatedEntry& aEntry)
{
  if (aEntry.up_) {
    aEntry.scheduler_->Tick(events_.Now());
    Perform(aEntry);
  }
  events_.After(kReplayEntryTick, [this, &aEntry] { TickEntry(aEntry); });
}

void
LoadReplayer::Perform(SimulatedEntry& aEntry)
{
  for (JobAction& action : aEntry.scheduler_->TakeActions()) {
    std::visit(
      Visitor{ [&](SendRuns& aSend) { SendOrders(aEntry, aSend); },
               [&](SendStops& aSend) { SendStop(aEntry, aSend); },
               [&](const AnswerJob& aAnswer) { OnAnswer(aEntry, aAnswer); },
               [](const auto&) {} },
      action);
  }
}

SimulatedSidecar*
LoadReplayer::FindSidecar(MemberId aId)
{
  const auto found =
    std::find_if(sidecars_.begin(), sidecars_.end(), [&](const auto& aSidecar) {
      return aSidecar->id_ == aId;
    });
  return found == sidecars_.end() ? nullptr : found->get();
}

void
LoadReplayer::SendOrders(SimulatedEntry& aEntry, SendRuns& aSend)
{
  events_.After(
    pattern_.linkDelay_,
    [this,
     from = aEntry.id_,
     sidecar = FindSidecar(aSend.sidecar_),
     orders = std::move(aSend.orders_)] { OnOrders(from, sidecar, orders); });
}

SimulatedSidecar::Owner*
LoadReplayer::FindOwner(SimulatedSidecar& aSidecar, MemberId aId)
{
  const auto found = aSidecar.owners_.find(aId);
  return found == aSidecar.owners_.end() ? nullptr : &found->second;
}

void
LoadReplayer::OnOrders(MemberId aFrom,
                       SimulatedSidecar* aSidecar,
                       const StartRuns& aOrders)
{
  const auto owner =
    aSidecar == nullptr ? nullptr : FindOwner(*aSidecar, aFrom);
  if (owner == nullptr || !aSidecar->up_) {
    return;
  }
  owner->ordersReceived_ += aOrders.runs_.size();
  owner->schedule_.OnOrders(events_.Now());
  aSidecar->table_->OnOrders(aFrom, aOrders, events_.Now());
  SendPending(*aSidecar);
}

void
LoadReplayer::SendStop(const SimulatedEntry& aEntry, const SendStops& aSend)
{
  events_.After(pattern_.linkDelay_,
                [this,
                 from = aEntry.id_,
                 sidecar = FindSidecar(aSend.sidecar_),
                 stops = aSend.stops_] {
                  if (sidecar != nullptr && sidecar->up_) {
                    sidecar->table_->OnStop(from, stops, events_.Now());
                    SendPending(*sidecar);
                  }
                });
}

void
LoadReplayer::OnAnswer(SimulatedEntry& aEntry, const AnswerJob& aAnswer)
{
  const auto found = aEntry.open_.find(aAnswer.submissionId_);
  if (found == aEntry.open_.end()) {
    return;
  }
  const ClientJobPtr job = found->second;
  aEntry.open_.erase(found);
  const LoadKind& kind = pattern_.kinds_[job->kind_];
  const Millis time =
    std::chrono::duration_cast<Millis>(events_.Now() - job->submitted_);
  switch (aAnswer.outcome_) {
    case JobOutcome::Completed:
      Count(*job,
            time <= ObjectiveOf(*job, kind) ? &LoadOutcomes::inTime_
                                            : &LoadOutcomes::late_);
      return;
    case JobOutcome::Refused:
      if (pattern_.refusedReturn_ && !job->returned_ &&
          time + aAnswer.retryAfter_ < kind.clientTimeout_) {
        job->returned_ = true;
        events_.After(aAnswer.retryAfter_, [this, job] { Submit(job); });
        return;
      }
      Count(*job, &LoadOutcomes::refused_);
      return;
    default:
      Count(*job, &LoadOutcomes::failed_);
      return;
  }
}

Millis
LoadReplayer::ObjectiveOf(const ClientJob& aJob, const LoadKind& aKind)
{
  const Millis longest =
    *std::max_element(aJob.runTimes_.begin(), aJob.runTimes_.end());
  return RoundMs(ToMs(longest) * aKind.stretch_) + aKind.slo_;
}

void
LoadReplayer::Count(const ClientJob& aJob, uint64_t LoadOutcomes::*aOutcome)
{
  jobs_.erase(aJob.id_);
  ++(WindowOf(aJob).*aOutcome);
  ++(result_.kinds_[aJob.kind_].outcomes_.*aOutcome);
  ++(result_.total_.*aOutcome);
}

} // namespace cornelfront
