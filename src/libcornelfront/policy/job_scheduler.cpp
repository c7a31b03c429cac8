#include "cornelfront/job_scheduler.h"

#include "policy/job_scheduler_pvt.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cornelfront {
namespace {

constexpr std::array<std::string_view, 4> kJobOutcomes = {
  "completed",
  "failed",
  "refused",
  "given_up",
};

constexpr Millis kExpiryInterval{ 250 };

/// Returns a number in [0, 1) that depends on both ids only: rendezvous hashing
/// (Thaler and Ravishankar, 1998). 0 if the entry has no id.
double
PreferenceOf(MemberId aEntry, MemberId aSidecar)
{
  if (aEntry == MemberId{}) {
    return 0.0;
  }
  // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
  uint64_t mixed = aEntry.value_ ^ (aSidecar.value_ * 0x9e3779b97f4a7c15U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  mixed ^= mixed >> 31U;
  constexpr double kRange = 18446744073709551616.0; // 2^64
  return static_cast<double>(mixed) / kRange;
}

} // namespace

std::string_view
ToString(JobOutcome aOutcome)
{
  return kJobOutcomes.at(static_cast<size_t>(aOutcome));
}

JobScheduler::JobScheduler(JobSchedulerOptions aOptions)
  : options_(std::move(aOptions))
  , crashes_(options_.crashes_)
{
}

void
JobScheduler::Submit(JobSubmissionId aSubmissionId,
                     const JobDescription& aJob,
                     const JobQueue& aQueue,
                     MonoTime aDeadline,
                     MonoTime aNow,
                     Millis aAge)
{
  DetectSuspension(aNow);
  if (aAge > options_.maxRequestAge_) {
    RejectOld(aSubmissionId, aJob.id_);
    return;
  }
  if (Reattach(aSubmissionId, aJob.id_, aDeadline)) {
    return;
  }
  const JobInstance instance{ aJob.id_ };
  Job& job = jobs_[instance];
  job.submissionId_ = aSubmissionId;
  job.spec_ = aJob;
  job.queue_ = aQueue;
  job.submitted_ = aNow;
  job.deadline_ = aDeadline;
  submissions_[aSubmissionId] = instance;
  for (const StepSpec& step : aJob.steps_) {
    job.steps_.push_back(
      { .tasks_ = std::vector<Task>(step.count_,
                                    Task{ .run_ = HighestUsedRun(aJob.id_) }),
        .openTasks_ = step.count_ });
  }
  if (RefuseIfInfeasible(job, aNow)) {
    return;
  }
  UnblockSteps(job);
  UpdateLatestStart(job);
  PlaceJob(job, aNow);
}

bool
JobScheduler::RefuseIfInfeasible(Job& aJob, MonoTime aNow)
{
  if (!IsFeasible(aJob)) {
    Finish(aJob,
           JobOutcome::Refused,
           "no upstream of " + aJob.queue_.service_ + " can run it",
           options_.refusalRetryAfter_);
    return true;
  }
  const double wait = AdmissionWaitMs(aJob);
  const double untilDeadline =
    ToMs(std::chrono::duration_cast<Millis>(aJob.deadline_ - aNow));
  const double admitted =
    std::min(LongestAdmittedWaitMs(
               options_.admission_, SlackMs(aJob), aJob.queue_.priority_),
             untilDeadline);
  if (wait <= admitted) {
    return false;
  }
  Finish(aJob,
         JobOutcome::Refused,
         "predicted wait of " + std::to_string(std::lround(wait)) +
           " ms exceeds " + std::to_string(std::lround(admitted)) + " ms",
         std::max(FromMs(wait), options_.refusalRetryAfter_));
  return true;
}

uint32_t
JobScheduler::HighestUsedRun(const std::string& aJob) const
{
  const auto found = usedRuns_.find(aJob);
  return found == usedRuns_.end() ? 0 : found->second.highestRun_;
}

void
JobScheduler::RaiseUsedRuns(const std::string& aJob,
                            uint32_t aRun,
                            MonoTime aNow)
{
  UsedRuns& used = usedRuns_[aJob];
  used = { std::max(used.highestRun_, aRun), aNow };
}

void
JobScheduler::RejectOld(JobSubmissionId aSubmissionId, const std::string& aJob)
{
  Job* job = FindJob({ aJob });
  const bool holds = job != nullptr && !job->stored_;
  actions_.emplace_back(
    AnswerJob{ .submissionId_ = aSubmissionId,
               .outcome_ = holds ? JobOutcome::GivenUp : JobOutcome::Refused,
               .reason_ = "the request had waited here for too long",
               .retryAfter_ = options_.refusalRetryAfter_ });
  if (holds) {
    // Its client is told to come back, and may do so elsewhere.
    Finish(*job, JobOutcome::GivenUp, "submitted again, too late");
  }
}

bool
JobScheduler::Reattach(JobSubmissionId aSubmissionId,
                       const std::string& aJob,
                       MonoTime aDeadline)
{
  const JobInstance instance{ aJob };
  Job* job = FindJob(instance);
  if (job == nullptr || job->stored_) {
    return false;
  }
  actions_.emplace_back(AnswerJob{ .submissionId_ = job->submissionId_,
                                   .outcome_ = JobOutcome::GivenUp,
                                   .reason_ = "submitted again" });
  submissions_.erase(job->submissionId_);
  job->submissionId_ = aSubmissionId;
  job->deadline_ = aDeadline;
  submissions_[aSubmissionId] = instance;
  return true;
}

void
JobScheduler::OnClientDisconnected(JobSubmissionId aSubmissionId, MonoTime aNow)
{
  DetectSuspension(aNow);
  const auto found = submissions_.find(aSubmissionId);
  if (found != submissions_.end()) {
    RemoveJob(jobs_.at(found->second));
  }
}

bool
JobScheduler::Cancel(const std::string& aJob, MonoTime aNow)
{
  DetectSuspension(aNow);
  std::vector<JobInstance> instances;
  for (auto job = jobs_.lower_bound({ aJob });
       job != jobs_.end() && job->first.job_ == aJob;
       ++job) {
    instances.push_back(job->first);
  }
  for (const JobInstance& instance : instances) {
    Job& job = jobs_.at(instance);
    if (job.stored_) {
      KeepEnds(instance, std::exchange(job.unsaved_, {}));
      RemoveJob(job);
    } else {
      Finish(job, JobOutcome::GivenUp, "cancelled");
    }
  }
  return !instances.empty();
}

void
JobScheduler::SetZonesOut(std::set<std::string> aZones, MonoTime aNow)
{
  DetectSuspension(aNow);
  zonesOut_ = std::move(aZones);
  RetryParked();
  PlaceWaiting(aNow);
}

void
JobScheduler::OnSidecarLinked(MemberId aSidecar,
                              const std::string& aZone,
                              MonoTime aNow)
{
  DetectSuspension(aNow);
  Sidecar& sidecar = sidecars_[aSidecar];
  sidecar.zone_ = aZone;
  sidecar.linked_ = true;
  sidecar.preference_ = PreferenceOf(options_.self_, aSidecar);
  sidecar.report_ = {};
  sidecar.ordersSent_ = 0;
  sidecar.unreported_.clear();
}

void
JobScheduler::OnSidecarReplaced(MemberId aSidecar,
                                MemberId aReplacement,
                                MonoTime aNow)
{
  DetectSuspension(aNow);
  lateOrders_.OnReplaced(aSidecar, aReplacement);
  const auto old = sidecars_.find(aSidecar);
  if (old == sidecars_.end()) {
    return;
  }
  // Until the replacement is linked, it counts as lost from now on.
  sidecars_[aReplacement].lostAt_ = aNow;
  for (const auto& [key, run] : old->second.runs_) {
    sidecars_[aReplacement].runs_[key] = { .upstreamNumber_ =
                                             run.upstreamNumber_,
                                           .inherited_ = true };
    Task* task = FindTask(key.task_);
    if (task != nullptr && task->sidecar_ == aSidecar) {
      task->sidecar_ = aReplacement;
    }
  }
  sidecars_.erase(aSidecar);
}

void
JobScheduler::OnHeldRuns(MemberId aSidecar,
                         const HeldRuns& aHeld,
                         RunEnd aMissingEnd,
                         MonoTime aNow)
{
  DetectSuspension(aNow);
  for (const RunReport& report : aHeld.reports_) {
    OnRunEnd(aSidecar, report, aNow);
  }
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar == sidecars_.end()) {
    return;
  }
  std::map<RunKey, OrderedRun> missing = sidecar->second.runs_;
  for (const RunKey& key : aHeld.runs_) {
    missing.erase(key);
  }
  for (const auto& [key, run] : missing) {
    const RunEnd end = run.inherited_ ? RunEnd::Lost : aMissingEnd;
    if (end == RunEnd::Lost) {
      RecordLostOrder(aSidecar, key, run, true, aNow);
    }
    OnRunEnd(aSidecar, { .key_ = key, .end_ = end }, aNow);
  }
  for (const RunKey& key : aHeld.runs_) {
    AdoptRun(aSidecar, key, aNow);
  }
}

JobScheduler::Task*
JobScheduler::FindTask(const JobTaskId& aTaskId)
{
  Job* job = FindJob(InstanceOf(aTaskId));
  if (job == nullptr || aTaskId.step_ >= job->steps_.size() ||
      aTaskId.index_ >= job->steps_[aTaskId.step_].tasks_.size()) {
    return nullptr;
  }
  return &job->steps_[aTaskId.step_].tasks_[aTaskId.index_];
}

void
JobScheduler::OnSidecarLost(MemberId aSidecar, MonoTime aNow)
{
  DetectSuspension(aNow);
  const auto found = sidecars_.find(aSidecar);
  if (found == sidecars_.end()) {
    return;
  }
  found->second.linked_ = false;
  found->second.lostAt_ = aNow;
}

void
JobScheduler::Tick(MonoTime aNow)
{
  DetectSuspension(aNow);
  StopRunsWithoutAuthority(aNow);
  DecaySlowness(std::chrono::duration_cast<Millis>(aNow - lastTick_));
  lastTick_ = aNow;
  std::vector<MemberId> lost;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!sidecar.linked_ &&
        aNow - sidecar.lostAt_ >= options_.lostRunTimeout_) {
      lost.push_back(id);
    }
  }
  for (const MemberId id : lost) {
    const bool storedToo =
      aNow - sidecars_.at(id).lostAt_ >= options_.lostStoredRunTimeout_;
    MarkRunsLost(id, storedToo, aNow);
    if (sidecars_.at(id).runs_.empty()) {
      sidecars_.erase(id);
    }
  }
  crashes_.Expire(aNow);
  if (aNow - expiredAt_ >= kExpiryInterval) {
    expiredAt_ = aNow;
    std::erase_if(usedRuns_, [&](const auto& aRuns) {
      return aNow - aRuns.second.since_ > options_.usedRunRetention_;
    });
    PlaceJobsOf(lateOrders_.Expire(aNow), aNow);
  }
  std::vector<JobInstance> expired;
  for (const auto& [id, job] : jobs_) {
    if (aNow >= job.deadline_) {
      expired.push_back(id);
    }
  }
  for (const JobInstance& id : expired) {
    GiveUp(jobs_.at(id), "the client's deadline has passed");
  }
  PlaceWaiting(aNow);
}

std::vector<JobAction>
JobScheduler::TakeActions()
{
  for (const JobInstance& instance : unsaved_) {
    Save(jobs_.at(instance), std::nullopt, "");
  }
  unsaved_.clear();
  return std::exchange(actions_, {});
}

size_t
JobScheduler::Pending(const std::string& aQueue) const
{
  return static_cast<size_t>(
    std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& aJob) {
      return aJob.second.queue_.name_ == aQueue && !aJob.second.anySent_ &&
             !aJob.second.stored_;
    }));
}

bool
JobScheduler::HasReadyUpstream() const
{
  return std::any_of(
    sidecars_.begin(), sidecars_.end(), [](const auto& aSidecar) {
      return aSidecar.second.linked_ && aSidecar.second.report_.ready_;
    });
}

bool
JobScheduler::HasOpenRuns(MemberId aSidecar) const
{
  const auto found = sidecars_.find(aSidecar);
  return found != sidecars_.end() && !found->second.runs_.empty();
}

void
JobScheduler::DetectSuspension(MonoTime aNow)
{
  if (standstill_.OnCall(aNow) <= options_.suspensionThreshold_) {
    return;
  }
  std::vector<JobInstance> ids;
  for (const auto& [id, job] : jobs_) {
    if (!job.stored_) {
      ids.push_back(id);
    }
  }
  for (const JobInstance& id : ids) {
    GiveUp(jobs_.at(id), "this process was suspended");
  }
}

JobScheduler::Job*
JobScheduler::FindJob(const JobInstance& aInstance)
{
  const auto found = jobs_.find(aInstance);
  return found == jobs_.end() ? nullptr : &found->second;
}

void
JobScheduler::UnblockSteps(Job& aJob)
{
  for (size_t i = 0; i < aJob.steps_.size(); ++i) {
    const auto& after = aJob.spec_.steps_[i].dependsOn_;
    const bool ready =
      std::all_of(after.begin(), after.end(), [&](uint32_t aEarlier) {
        return aJob.steps_[aEarlier].openTasks_ == 0;
      });
    if (!ready) {
      continue;
    }
    for (Task& task : aJob.steps_[i].tasks_) {
      if (task.state_ == TaskState::Blocked) {
        task.state_ = TaskState::Ready;
      }
    }
  }
}

void
JobScheduler::GiveUp(Job& aJob, const std::string& aReason)
{
  Finish(aJob,
         HasNotRun(aJob) ? JobOutcome::Refused : JobOutcome::GivenUp,
         aReason,
         options_.refusalRetryAfter_);
}

bool
JobScheduler::HasNotRun(const Job& aJob)
{
  const bool outstanding =
    std::any_of(aJob.steps_.begin(), aJob.steps_.end(), [](const Step& aStep) {
      return std::any_of(
        aStep.tasks_.begin(), aStep.tasks_.end(), [](const Task& aTask) {
          return aTask.state_ == TaskState::Sent;
        });
    });
  return !aJob.mayHaveRun_ && !outstanding;
}

void
JobScheduler::Finish(Job& aJob,
                     JobOutcome aOutcome,
                     const std::string& aReason,
                     Millis aRetryAfter)
{
  if (aJob.stored_) {
    unsaved_.erase(InstanceOf(aJob));
    Save(aJob, aOutcome, aReason);
    RemoveJob(aJob);
    return;
  }
  actions_.emplace_back(AnswerJob{ .submissionId_ = aJob.submissionId_,
                                   .outcome_ = aOutcome,
                                   .reason_ = aReason,
                                   .retryAfter_ = aRetryAfter });
  RemoveJob(aJob);
}

/// The sidecar of a run that is dropped may be lost with an order of it.
void
JobScheduler::RecordIfUnlinked(MemberId aSidecar, const RunKey& aKey)
{
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar == sidecars_.end() || sidecar->second.linked_) {
    return;
  }
  const auto run = sidecar->second.runs_.find(aKey);
  if (run != sidecar->second.runs_.end()) {
    RecordLostOrder(aSidecar,
                    aKey,
                    run->second,
                    run->second.inherited_,
                    standstill_.LastCall());
  }
}

void
JobScheduler::RemoveJob(Job& aJob)
{
  std::map<MemberId, StopRuns> stops;
  uint32_t highestRun = 0;
  for (uint32_t s = 0; s < aJob.steps_.size(); ++s) {
    auto& tasks = aJob.steps_[s].tasks_;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      highestRun = std::max({ highestRun, tasks[i].run_, tasks[i].endedRun_ });
      if (tasks[i].state_ == TaskState::Sent) {
        const RunKey key{ { aJob.spec_.id_, aJob.occurrence_, s, i },
                          tasks[i].run_ };
        RecordIfUnlinked(tasks[i].sidecar_, key);
        stops[tasks[i].sidecar_].runs_.push_back(key);
      }
    }
  }
  for (auto& [id, stop] : stops) {
    stop.abandoned_ = true;
    stop.age_ = standstill_.AgeOfNews();
    actions_.emplace_back(SendStops{ id, std::move(stop) });
  }
  const JobInstance id = InstanceOf(aJob);
  Unqueue(aJob);
  unsaved_.erase(id);
  if (!aJob.stored_) {
    submissions_.erase(aJob.submissionId_);
    if (highestRun > 0) {
      RaiseUsedRuns(aJob.spec_.id_, highestRun, standstill_.LastCall());
    }
  }
  jobs_.erase(id);
}

} // namespace cornelfront
