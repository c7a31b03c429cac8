/// \file
/// JobScheduler: placement of tasks on upstreams, and the queue of waiting
/// jobs.

#include "cornelfront/job_scheduler.h"

#include "policy/job_scheduler_pvt.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace cornelfront {
namespace {

/// Cost in milliseconds of a fully utilised upstream, so that otherwise equal
/// upstreams are filled evenly.
constexpr double kUtilisationMs = 10.0;

bool
Contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

} // namespace

void
JobScheduler::PlaceJob(Job& aJob, MonoTime aNow)
{
  Unqueue(aJob);
  if (!MayPlace(aJob, aNow)) {
    held_.insert(RankOf(aJob));
    return;
  }
  if (FailIfCrashing(aJob)) {
    return;
  }
  aJob.obstacles_ = {};
  for (uint32_t step = 0; step < aJob.steps_.size(); ++step) {
    PlaceStep(aJob, step, aNow);
  }
  const PlacementObstacles& obstacles = aJob.obstacles_;
  const bool onlyNoUpstream =
    obstacles.noUpstream_ && !obstacles.limited_ && obstacles.blocked_.empty();
  if (onlyNoUpstream && HasNotRun(aJob) && IsTakenOut(aJob)) {
    Finish(aJob,
           JobOutcome::Refused,
           "all zones that can run it are out of service",
           options_.refusalRetryAfter_);
    return;
  }
  Enqueue(aJob);
}

void
JobScheduler::Enqueue(Job& aJob)
{
  const WaitRank rank = RankOf(aJob);
  for (const BlockedNeed& blocked : aJob.obstacles_.blocked_) {
    if (blocked.open_.empty()) {
      waiting_.Add(blocked.need_, rank);
    } else {
      waiting_.SetApart(blocked.need_, rank, blocked.open_);
    }
  }
  if (aJob.obstacles_.limited_) {
    limited_.insert(rank);
  }
  if (aJob.obstacles_.noUpstream_) {
    parked_.insert(rank);
  }
}

void
JobScheduler::Unqueue(const Job& aJob)
{
  const WaitRank rank = RankOf(aJob);
  waiting_.Erase(rank);
  parked_.erase(rank);
  unparked_.erase(rank);
  held_.erase(rank);
  limited_.erase(rank);
}

void
JobScheduler::RetryParked()
{
  waiting_.OnUpstreamsChanged();
  unparked_.merge(parked_);
}

void
JobScheduler::ReleaseHeld()
{
  for (const WaitRank& rank : std::exchange(held_, {})) {
    const Job& job = jobs_.at(rank.instance_);
    for (size_t i = 0; i < job.steps_.size(); ++i) {
      const auto& tasks = job.steps_[i].tasks_;
      const bool ready =
        std::any_of(tasks.begin(), tasks.end(), [](const Task& aTask) {
          return aTask.state_ == TaskState::Ready;
        });
      if (ready) {
        waiting_.Add(NeedOf(job, job.spec_.steps_[i]), rank);
      }
    }
    if (HasLimits()) {
      limited_.insert(rank);
    }
  }
}

bool
JobScheduler::MayPlace(const Job& aJob, MonoTime aNow) const
{
  return !aJob.stored_ || (HasAuthority(aNow) && !replayingEnds_ &&
                           !(takingOver_ && aJob.fromEarlierLeader_));
}

void
JobScheduler::AlignRunNumbers(Step& aStep, bool aGang)
{
  // Ends that an earlier leader's runs had may have been handed over since. All
  // members of a gang run under the same number.
  uint32_t highest = 0;
  for (Task& task : aStep.tasks_) {
    if (task.state_ == TaskState::Ready) {
      task.run_ = std::max(task.run_, task.endedRun_);
    }
    highest = std::max(highest, task.run_);
  }
  for (Task& task : aStep.tasks_) {
    if (aGang && task.state_ == TaskState::Ready) {
      task.run_ = highest;
    }
  }
}

void
JobScheduler::PlaceStep(Job& aJob, uint32_t aStep, MonoTime aNow)
{
  const StepSpec& spec = aJob.spec_.steps_[aStep];
  Step& step = aJob.steps_[aStep];
  const bool running =
    std::any_of(step.tasks_.begin(), step.tasks_.end(), [](const Task& aTask) {
      return aTask.state_ == TaskState::Sent;
    });
  if (spec.gang_ && running) {
    return;
  }
  AlignRunNumbers(step, spec.gang_);
  // One member under the number of its late order would be alone.
  const bool gangIsHeld = spec.gang_ && HasLimitedTask(aJob, aStep);
  StepPlacement placement;
  for (uint32_t index = 0; index < step.tasks_.size(); ++index) {
    if (step.tasks_[index].state_ != TaskState::Ready) {
      continue;
    }
    if (placement.full_ && !HasLimits()) {
      break;
    }
    const JobTaskId id{ aJob.spec_.id_, aJob.occurrence_, aStep, index };
    const StartLimit limit = LimitOf(id);
    if (gangIsHeld || limit.where_ == StartLimit::Where::Nowhere) {
      aJob.obstacles_.limited_ = true;
    } else if (limit.where_ == StartLimit::Where::OnlyAt) {
      PlaceLimitedTask(aJob, id, limit, placement, aNow);
    } else {
      PlaceFreeTask(aJob, id, limit, placement, aNow);
    }
  }
  for (auto& [target, send] : placement.sends_) {
    const auto& [id, alone] = target;
    DescribeStep(aJob, aStep, send.orders_, aNow);
    if (alone) {
      send.orders_.resources_ = sidecars_.at(id).report_.capacity_;
    }
    send.sidecar_ = id;
    actions_.emplace_back(std::move(send));
  }
}

void
JobScheduler::PlaceLimitedTask(Job& aJob,
                               const JobTaskId& aTaskId,
                               const StartLimit& aLimit,
                               StepPlacement& aPlacement,
                               MonoTime aNow)
{
  const StepSpec& spec = aJob.spec_.steps_[aTaskId.step_];
  const Task& task = aJob.steps_[aTaskId.step_].tasks_[aTaskId.index_];
  const PlacementNeed need =
    NeedOf(aJob, spec, MustRunAlone(aTaskId, spec, task));
  std::vector<Candidate> only;
  if (task.returnedThere_ < options_.maxReturned_) {
    AddCandidate(only,
                 sidecars_.find(aLimit.sidecar_),
                 need,
                 spec,
                 ExpectedRunMs(aJob, spec),
                 aNow);
    CountTasksThere(only, aJob, aTaskId.step_);
  }
  Candidate* chosen = ChooseCandidate(only, aJob, aTaskId, false, need);
  if (chosen == nullptr) {
    aJob.obstacles_.limited_ = true;
    return;
  }
  PlaceTask(aJob, aTaskId, *chosen, need, aLimit, aPlacement.sends_, aNow);
}

void
JobScheduler::PlaceFreeTask(Job& aJob,
                            const JobTaskId& aTaskId,
                            const StartLimit& aLimit,
                            StepPlacement& aPlacement,
                            MonoTime aNow)
{
  const StepSpec& spec = aJob.spec_.steps_[aTaskId.step_];
  const Task& task = aJob.steps_[aTaskId.step_].tasks_[aTaskId.index_];
  const bool alone = MustRunAlone(aTaskId, spec, task);
  if (!alone && aPlacement.full_) {
    return;
  }
  if (!aPlacement.candidates_) {
    aPlacement.candidates_ = FindCandidates(aJob, spec, aNow);
    std::erase_if(*aPlacement.candidates_, [&](const Candidate& aCandidate) {
      return IsReservedForOther(aCandidate.sidecar_->first, aJob);
    });
    CountTasksThere(*aPlacement.candidates_, aJob, aTaskId.step_);
  }
  std::vector<Candidate>& candidates = *aPlacement.candidates_;
  const PlacementNeed need = NeedOf(aJob, spec, alone);
  Candidate* chosen = ChooseCandidate(candidates, aJob, aTaskId, alone, need);
  if (chosen == nullptr) {
    RecordBlocked(aJob, need, candidates);
    aPlacement.full_ |= !alone;
    return;
  }
  PlaceTask(aJob, aTaskId, *chosen, need, aLimit, aPlacement.sends_, aNow);
}

void
JobScheduler::PlaceTask(Job& aJob,
                        const JobTaskId& aTaskId,
                        Candidate& aChosen,
                        const PlacementNeed& aNeed,
                        const StartLimit& aLimit,
                        Sends& aSends,
                        MonoTime aNow)
{
  const StepSpec& spec = aJob.spec_.steps_[aTaskId.step_];
  Task& task = aJob.steps_[aTaskId.step_].tasks_[aTaskId.index_];
  const auto sidecar = aChosen.sidecar_;
  ++task.run_;
  task.state_ = TaskState::Sent;
  task.sidecar_ = sidecar->first;
  task.sentAt_ = aNow;
  task.stopSent_ = false;
  task.alone_ = aNeed.alone_;
  task.limited_ = aLimit.where_ == StartLimit::Where::OnlyAt;
  task.returnedThere_ = task.limited_ ? task.returnedThere_ : 0;
  aJob.anySent_ = true;
  // The view of an upstream is as old as its last report, and other entries may
  // have taken the resources since.
  const bool onlyIfFree = !task.limited_ && !spec.gang_ && !aNeed.alone_ &&
                          aChosen.waitMs_ <= 0.0 &&
                          task.returned_ < options_.maxReturned_;
  SendRuns& send = aSends[{ sidecar->first, aNeed.alone_ }];
  send.orders_.runs_.push_back({ .index_ = aTaskId.index_,
                                 .run_ = task.run_,
                                 .onlyIfFree_ = onlyIfFree,
                                 .upstreamNumber_ = aLimit.upstreamNumber_ });
  send.predictedWait_ = FromMs(aChosen.waitMs_);
  send.reportAge_ =
    std::chrono::duration_cast<Millis>(aNow - sidecar->second.reportedAt_);
  const uint32_t number =
    aLimit.upstreamNumber_ != 0 ? aLimit.upstreamNumber_ : task.run_;
  sidecar->second.runs_[{ aTaskId, task.run_ }] = { .upstreamNumber_ = number };
  RecordSent(sidecar->second,
             aNeed.alone_ ? sidecar->second.report_.capacity_ : spec.resources_,
             spec.estimate_);
  ++aChosen.tasksThere_;
  UpdateCosts(aChosen, aNeed, spec, ExpectedRunMs(aJob, spec));
}

PlacementNeed
JobScheduler::NeedOf(const Job& aJob, const StepSpec& aStep, bool aAlone)
{
  return { .service_ = aJob.queue_.service_,
           .requiredLabel_ = aStep.requiredLabel_,
           .resources_ = aStep.resources_,
           .priority_ = aJob.queue_.priority_,
           .stored_ = aJob.stored_,
           .alone_ = aAlone };
}

bool
JobScheduler::HasRoom(const PlacementNeed& aNeed, double aWaitMs) const
{
  // Best-effort tasks wait in sidecars. Only an order makes an upstream empty
  // for a run that has to be alone.
  return !aNeed.stored_ || aNeed.alone_ ||
         aWaitMs <= ToMs(options_.maxStoredWait_);
}

void
JobScheduler::RecordBlocked(Job& aJob,
                            const PlacementNeed& aNeed,
                            const std::vector<Candidate>& aCandidates) const
{
  if (!aNeed.stored_ && aCandidates.empty()) {
    aJob.obstacles_.noUpstream_ = true;
    return;
  }
  BlockedNeed blocked{ .need_ = aNeed };
  for (const Candidate& candidate : aCandidates) {
    if (HasRoom(aNeed, candidate.waitMs_)) {
      blocked.open_.push_back(candidate.sidecar_->first);
    }
  }
  aJob.obstacles_.blocked_.push_back(std::move(blocked));
}

void
JobScheduler::CountTasksThere(std::vector<Candidate>& aCandidates,
                              const Job& aJob,
                              uint32_t aStep)
{
  if (aJob.spec_.steps_[aStep].maxPerUpstream_ == 0) {
    return;
  }
  std::map<MemberId, uint32_t> counts;
  for (const Task& task : aJob.steps_[aStep].tasks_) {
    if (task.state_ == TaskState::Sent) {
      ++counts[task.sidecar_];
    }
  }
  for (Candidate& candidate : aCandidates) {
    const auto found = counts.find(candidate.sidecar_->first);
    candidate.tasksThere_ = found == counts.end() ? 0 : found->second;
  }
}

void
JobScheduler::DescribeStep(const Job& aJob,
                           uint32_t aStep,
                           StartRuns& aOrders,
                           MonoTime aNow) const
{
  const StepSpec& spec = aJob.spec_.steps_[aStep];
  aOrders.job_ = aJob.spec_.id_;
  aOrders.occurrence_ = aJob.occurrence_;
  aOrders.step_ = aStep;
  aOrders.term_ = aJob.stored_ ? term_ : 0;
  aOrders.payload_ = aJob.spec_.payload_;
  aOrders.service_ = aJob.queue_.service_;
  aOrders.resources_ = spec.resources_;
  aOrders.priority_ = aJob.queue_.priority_;
  aOrders.estimate_ = FromMs(ExpectedRunMs(aJob, spec));
  aOrders.timeToLatestStart_ = std::max(
    Millis(0), std::chrono::duration_cast<Millis>(aJob.latestStart_ - aNow));
  aOrders.startTimeout_ =
    std::min(options_.startTimeout_,
             std::chrono::duration_cast<Millis>(aJob.deadline_ - aNow));
}

void
JobScheduler::PlaceWaiting(MonoTime aNow)
{
  PlaceLimited(aNow);
  if ((waiting_.Empty() && unparked_.empty()) ||
      aNow - placedAt_ < options_.placeInterval_) {
    return;
  }
  placedAt_ = aNow;
  PlaceAll(std::exchange(unparked_, {}), aNow);
  waiting_.BeginPass(
    [&](const PlacementNeed& aNeed) { return FindOpenings(aNeed, aNow); });
  PlaceReserved(aNow);
  PlaceWaiting(false, aNow);
  PlaceWaiting(true, aNow);
  UpdateReservations(aNow);
}

void
JobScheduler::PlaceReserved(MonoTime aNow)
{
  // Others, which may go before a job that is late, find no room where its
  // upstream is the only one that has some.
  for (const auto& [service, reservation] : reservations_) {
    if (reservation.active_ && waiting_.IsInPass(reservation.for_)) {
      PlaceJob(jobs_.at(reservation.for_.instance_), aNow);
    }
  }
}

void
JobScheduler::UpdateReservations(MonoTime aNow)
{
  if (aNow - reservedAt_ < options_.reserveInterval_) {
    return;
  }
  reservedAt_ = aNow;
  const auto before = std::exchange(reservations_, {});
  for (const WaitingJobs::Waiting& first : waiting_.FirstOfServices()) {
    const WaitRank& rank = first.rank_;
    if (!first.need_.stored_ ||
        aNow - rank.submitted_ < options_.reserveAfter_) {
      continue;
    }
    const std::string& service = first.need_.service_;
    const auto found = before.find(service);
    const bool goesOn = found != before.end() && found->second.for_ == rank &&
                        aNow - found->second.since_ < 2 * options_.reserveTime_;
    if (goesOn) {
      Reservation& kept = reservations_[service];
      kept = found->second;
      kept.active_ = aNow - kept.since_ < options_.reserveTime_ &&
                     MayBeSent(kept.sidecar_, first.need_);
    } else if (const auto soonest = FindSoonest(first.need_)) {
      reservations_[service] = { *soonest, rank, aNow, true };
    }
  }
}

std::optional<MemberId>
JobScheduler::FindSoonest(const PlacementNeed& aNeed) const
{
  std::optional<MemberId> soonest;
  double shortest = 0.0;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!MayBeSent(id, aNeed)) {
      continue;
    }
    const double wait = PredictedWaitMs(sidecar, aNeed);
    if (!soonest || wait < shortest) {
      soonest = id;
      shortest = wait;
    }
  }
  return soonest;
}

bool
JobScheduler::IsReservedForOther(MemberId aSidecar, const Job& aJob) const
{
  if (!aJob.stored_ || reservations_.empty()) {
    return false;
  }
  const auto found = reservations_.find(aJob.queue_.service_);
  return found != reservations_.end() && found->second.active_ &&
         found->second.sidecar_ == aSidecar &&
         found->second.for_ < RankOf(aJob) &&
         waiting_.Holds(found->second.for_);
}

Openings
JobScheduler::FindOpenings(const PlacementNeed& aNeed, MonoTime aNow) const
{
  Openings openings;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!MayBeSent(id, aNeed)) {
      continue;
    }
    openings.anyUpstream_ = true;
    const bool mayStart = !aNeed.stored_ || HasAuthority(aNow);
    if (mayStart && HasRoom(aNeed, PredictedWaitMs(sidecar, aNeed))) {
      openings.open_.push_back(id);
    }
  }
  return openings;
}

void
JobScheduler::PlaceLimited(MonoTime aNow)
{
  if (limited_.empty() ||
      aNow - limitedPlacedAt_ < options_.placeLimitedInterval_) {
    return;
  }
  limitedPlacedAt_ = aNow;
  const std::set<WaitRank> tried = limited_;
  PlaceAll(tried, aNow);
}

void
JobScheduler::PlaceAll(const std::set<WaitRank>& aJobs, MonoTime aNow)
{
  for (const WaitRank& rank : aJobs) {
    PlaceJob(jobs_.at(rank.instance_), aNow);
  }
}

void
JobScheduler::PlaceWaiting(bool aLate, MonoTime aNow)
{
  constexpr int kMaxTried = 64;
  for (int i = 0; i < kMaxTried; ++i) {
    const auto rank = waiting_.Next(aLate, aNow);
    if (!rank) {
      return;
    }
    PlaceJob(jobs_.at(rank->instance_), aNow);
  }
}

void
JobScheduler::RecordSent(Sidecar& aSidecar,
                         const Resources& aResources,
                         Millis aEstimate)
{
  aSidecar.unreported_.push_back(
    { .number_ = ++aSidecar.ordersSent_,
      .resources_ = aResources,
      .work_ = aResources.cpu_ * aEstimate.count() });
}

std::vector<JobScheduler::Candidate>
JobScheduler::FindCandidates(const Job& aJob,
                             const StepSpec& aStep,
                             MonoTime aNow)
{
  const PlacementNeed need = NeedOf(aJob, aStep);
  const double run = ExpectedRunMs(aJob, aStep);
  std::vector<Candidate> candidates;
  candidates.reserve(sidecars_.size());
  for (auto it = sidecars_.begin(); it != sidecars_.end(); ++it) {
    AddCandidate(candidates, it, need, aStep, run, aNow);
  }
  ChooseIsolating(candidates);
  return candidates;
}

void
JobScheduler::AddCandidate(std::vector<Candidate>& aCandidates,
                           Sidecars::iterator aSidecar,
                           const PlacementNeed& aNeed,
                           const StepSpec& aStep,
                           double aRunMs,
                           MonoTime aNow)
{
  if (aSidecar == sidecars_.end()) {
    return;
  }
  const auto& [id, sidecar] = *aSidecar;
  if (MayBeSent(id, aNeed)) {
    aCandidates.push_back(
      { .sidecar_ = aSidecar, .avoided_ = aNow < sidecar.avoidUntil_ });
    UpdateCosts(aCandidates.back(), aNeed, aStep, aRunMs);
  }
}

void
JobScheduler::UpdateCosts(Candidate& aCandidate,
                          const PlacementNeed& aNeed,
                          const StepSpec& aStep,
                          double aRunMs) const
{
  const Sidecar& sidecar = aCandidate.sidecar_->second;
  aCandidate.waitMs_ = PredictedWaitMs(sidecar, aNeed);
  aCandidate.costMs_ =
    aCandidate.waitMs_ + PlacementCostMs(sidecar, aStep, aRunMs);
}

JobScheduler::Candidate*
JobScheduler::ChooseCandidate(std::vector<Candidate>& aCandidates,
                              const Job& aJob,
                              const JobTaskId& aTaskId,
                              bool aIsolatingOnly,
                              const PlacementNeed& aNeed) const
{
  const uint32_t step = aTaskId.step_;
  const Task& task = aJob.steps_[step].tasks_[aTaskId.index_];
  const uint32_t limit = aJob.spec_.steps_[step].maxPerUpstream_;
  Candidate* best = nullptr;
  bool bestAvoided = true;
  for (Candidate& candidate : aCandidates) {
    const MemberId id = candidate.sidecar_->first;
    const bool avoided =
      candidate.avoided_ || task.avoidedSidecars_.contains(id);
    const bool better =
      best == nullptr || std::tie(avoided, candidate.costMs_) <
                           std::tie(bestAvoided, best->costMs_);
    const bool atLimit = limit > 0 && candidate.tasksThere_ >= limit;
    if (!better || atLimit || !HasRoom(aNeed, candidate.waitMs_) ||
        (aIsolatingOnly && !candidate.isolates_)) {
      continue;
    }
    best = &candidate;
    bestAvoided = avoided;
  }
  return best;
}

bool
JobScheduler::MayBeSent(MemberId aId, const PlacementNeed& aNeed) const
{
  const auto found = sidecars_.find(aId);
  return found != sidecars_.end() && IsEligible(found->second, aNeed) &&
         (!aNeed.stored_ || registeredSidecars_.contains(aId));
}

bool
JobScheduler::IsEligible(const Sidecar& aSidecar,
                         const PlacementNeed& aNeed) const
{
  return CanRun(aSidecar, aNeed) && !zonesOut_.contains(aSidecar.zone_);
}

bool
JobScheduler::Suits(const Sidecar& aSidecar, const PlacementNeed& aNeed)
{
  const UpstreamReport& report = aSidecar.report_;
  return aSidecar.linked_ && report.service_ == aNeed.service_ &&
         report.capacity_.CanFit(aNeed.resources_) &&
         (aNeed.requiredLabel_.empty() ||
          Contains(report.labels_, aNeed.requiredLabel_));
}

bool
JobScheduler::CanRun(const Sidecar& aSidecar, const PlacementNeed& aNeed)
{
  return aSidecar.report_.ready_ && Suits(aSidecar, aNeed);
}

double
JobScheduler::PredictedWaitMs(const Sidecar& aSidecar,
                              const PlacementNeed& aNeed)
{
  const UpstreamReport& report = aSidecar.report_;
  if (FreeSlots(aSidecar, aNeed.resources_) > 0) {
    return 0.0;
  }
  const int64_t work = WorkAhead(aSidecar, aNeed.priority_);
  const auto cpu =
    static_cast<double>(std::max<int64_t>(report.capacity_.cpu_, 1));
  // Resources for one task become free each time this share of the work is
  // done.
  const double next =
    static_cast<double>(aNeed.resources_.cpu_) * aSidecar.meanRunMs_ / cpu;
  return next + static_cast<double>(work) * aSidecar.slowness_ / cpu;
}

double
JobScheduler::PlacementCostMs(const Sidecar& aSidecar,
                              const StepSpec& aStep,
                              double aRunMs) const
{
  const UpstreamReport& report = aSidecar.report_;
  double run = aRunMs * aSidecar.slowness_;
  if (!aStep.preferredRack_.empty() &&
      !Contains(report.labels_, aStep.preferredRack_)) {
    run *= options_.otherRackFactor_;
  }
  const double utilisation =
    static_cast<double>(CommittedResources(aSidecar).cpu_) /
    static_cast<double>(std::max<int64_t>(report.capacity_.cpu_, 1));
  const double distance =
    aSidecar.zone_ == options_.zone_
      ? 0.0
      : static_cast<double>(options_.otherZonePenalty_.count());
  return run + distance + utilisation * kUtilisationMs +
         aSidecar.preference_ * ToMs(options_.preferenceRange_);
}

double
JobScheduler::ExpectedRunMs(const Job& aJob, const StepSpec& aStep) const
{
  const auto estimate = static_cast<double>(aStep.estimate_.count());
  const auto found = durations_.find(aJob.queue_.name_);
  if (found == durations_.end() || !found->second.known_) {
    return estimate;
  }
  return estimate > 0 ? (estimate + found->second.meanMs_) / 2
                      : found->second.meanMs_;
}

std::vector<double>
JobScheduler::CriticalPathsMs(const Job& aJob) const
{
  const auto& steps = aJob.spec_.steps_;
  std::vector<double> criticalPaths(steps.size(), 0.0);
  // Steps depend on earlier ones only, so the values of all later steps are
  // final.
  for (size_t i = steps.size(); i-- > 0;) {
    criticalPaths[i] += ExpectedRunMs(aJob, steps[i]);
    for (const uint32_t earlier : steps[i].dependsOn_) {
      criticalPaths[earlier] =
        std::max(criticalPaths[earlier], criticalPaths[i]);
    }
  }
  return criticalPaths;
}

double
JobScheduler::SlackMs(const Job& aJob) const
{
  const std::vector<double> criticalPaths = CriticalPathsMs(aJob);
  const double criticalPath =
    *std::max_element(criticalPaths.begin(), criticalPaths.end());
  return criticalPath * (aJob.queue_.stretch_ - 1.0) + ToMs(aJob.queue_.slo_);
}

MonoTime
JobScheduler::LatestStartOf(const Job& aJob) const
{
  const std::vector<double> criticalPaths = CriticalPathsMs(aJob);
  const double longest =
    *std::max_element(criticalPaths.begin(), criticalPaths.end());
  double left = 0.0;
  for (size_t i = 0; i < criticalPaths.size(); ++i) {
    const auto& tasks = aJob.steps_[i].tasks_;
    const bool open =
      std::any_of(tasks.begin(), tasks.end(), [](const Task& aTask) {
        return aTask.state_ != TaskState::Done &&
               aTask.state_ != TaskState::Blocked;
      });
    left = open ? std::max(left, criticalPaths[i]) : left;
  }
  return aJob.submitted_ + FromMs(longest + SlackMs(aJob) - left);
}

void
JobScheduler::UpdateLatestStart(Job& aJob)
{
  Unqueue(aJob);
  aJob.latestStart_ = LatestStartOf(aJob);
}

double
JobScheduler::AdmissionWaitMs(const Job& aJob) const
{
  const StepSpec& step = aJob.spec_.steps_.front();
  const PlacementNeed need = NeedOf(aJob, step);
  int64_t slots = 0;
  double cpu = 0.0;
  double work = 0.0;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!IsEligible(sidecar, need)) {
      continue;
    }
    cpu += static_cast<double>(sidecar.report_.capacity_.cpu_);
    const int64_t free = FreeSlots(sidecar, step.resources_);
    slots += free;
    if (free == 0) {
      work += static_cast<double>(WorkAhead(sidecar, aJob.queue_.priority_));
    }
  }
  const int64_t missing = static_cast<int64_t>(step.count_) - slots;
  if (missing <= 0 || cpu <= 0.0) {
    return 0.0;
  }
  const double own = static_cast<double>(missing * step.resources_.cpu_) *
                     ExpectedRunMs(aJob, step);
  return (work + own) / cpu;
}

Resources
JobScheduler::CommittedResources(const Sidecar& aSidecar)
{
  Resources committed = aSidecar.report_.committed_;
  for (const Sidecar::Order& order : aSidecar.unreported_) {
    committed += order.resources_;
  }
  return committed;
}

int64_t
JobScheduler::FreeSlots(const Sidecar& aSidecar, const Resources& aResources)
{
  Resources free = aSidecar.report_.capacity_;
  free -= CommittedResources(aSidecar);
  int64_t slots = std::numeric_limits<int64_t>::max();
  const auto limit = [&slots](int64_t aFree, int64_t aNeeded) {
    if (aNeeded > 0) {
      slots = std::min(slots, std::max<int64_t>(aFree, 0) / aNeeded);
    }
  };
  limit(free.cpu_, aResources.cpu_);
  limit(free.memoryMb_, aResources.memoryMb_);
  limit(free.gpus_, aResources.gpus_);
  // A task that requests nothing always fits; the result is still bounded.
  return std::min<int64_t>(slots, kMaxTasksPerJob);
}

int64_t
JobScheduler::WorkAhead(const Sidecar& aSidecar, uint8_t aPriority)
{
  int64_t work = 0;
  for (size_t p = 0; p < kPriorities && p <= aPriority; ++p) {
    work += aSidecar.report_.backlog_.at(p);
  }
  for (const Sidecar::Order& order : aSidecar.unreported_) {
    work += order.work_;
  }
  return work;
}

bool
JobScheduler::IsFeasible(const Job& aJob) const
{
  const auto& steps = aJob.spec_.steps_;
  return std::all_of(steps.begin(), steps.end(), [&](const StepSpec& aStep) {
    const PlacementNeed need = NeedOf(aJob, aStep);
    return std::any_of(
      sidecars_.begin(), sidecars_.end(), [&](const auto& aSidecar) {
        return IsEligible(aSidecar.second, need);
      });
  });
}

bool
JobScheduler::IsTakenOut(const Job& aJob) const
{
  if (zonesOut_.empty()) {
    return false;
  }
  const auto& steps = aJob.spec_.steps_;
  return std::any_of(steps.begin(), steps.end(), [&](const StepSpec& aStep) {
    const PlacementNeed need = NeedOf(aJob, aStep);
    const auto canRun = [&](const auto& aSidecar) {
      return CanRun(aSidecar.second, need);
    };
    const auto inService = [&](const auto& aSidecar) {
      return IsEligible(aSidecar.second, need);
    };
    // A sidecar that has read it before this process is not ready any more.
    const auto suits = [&](const auto& aSidecar) {
      return Suits(aSidecar.second, need);
    };
    const auto suitsInService = [&](const auto& aSidecar) {
      return suits(aSidecar) && !zonesOut_.contains(aSidecar.second.zone_);
    };
    const bool allOut =
      std::any_of(sidecars_.begin(), sidecars_.end(), suits) &&
      std::none_of(sidecars_.begin(), sidecars_.end(), suitsInService);
    return allOut ||
           (std::any_of(sidecars_.begin(), sidecars_.end(), canRun) &&
            std::none_of(sidecars_.begin(), sidecars_.end(), inService));
  });
}

} // namespace cornelfront
