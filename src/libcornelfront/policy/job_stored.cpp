/// \file
/// JobScheduler: stored jobs and leadership over them.

#include "cornelfront/job_scheduler.h"

#include "policy/job_scheduler_pvt.h"

#include <algorithm>
#include <utility>

namespace cornelfront {
namespace {

/// An earlier leader may have used run numbers without a trace in the store, so
/// each term has its own.
constexpr uint32_t kRunNumbersPerTerm = 1000;

} // namespace

void
JobScheduler::BecomeLeader(uint64_t aTerm, MonoTime aNow)
{
  DetectSuspension(aNow);
  term_ = aTerm;
  authorityUntil_ = {};
  takingOver_ = true;
}

void
JobScheduler::BecomeFollower(MonoTime aNow)
{
  DetectSuspension(aNow);
  term_ = 0;
  authorityUntil_ = {};
  unsaved_.clear();
  saving_.clear();
  keptEnds_.clear();
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    if (!job->second.stored_) {
      ++job;
      continue;
    }
    Unqueue(job->second);
    job = jobs_.erase(job);
  }
  // The new leader takes over these runs; this process must not act on them.
  for (auto& [id, sidecar] : sidecars_) {
    std::erase_if(sidecar.runs_, [this](const auto& aRun) {
      return !jobs_.contains(InstanceOf(aRun.first.task_));
    });
  }
}

void
JobScheduler::SetAuthority(MonoTime aUntil, MonoTime aNow)
{
  DetectSuspension(aNow);
  const bool had = HasAuthority(aNow);
  authorityUntil_ = aUntil;
  StopRunsWithoutAuthority(aNow);
  if (!had && HasAuthority(aNow)) {
    ReleaseHeld();
    PlaceWaiting(aNow);
  }
}

void
JobScheduler::StopRunsWithoutAuthority(MonoTime aNow)
{
  if (term_ == 0 || HasAuthority(aNow)) {
    return;
  }
  for (auto& [instance, job] : jobs_) {
    for (uint32_t s = 0; job.stored_ && s < job.steps_.size(); ++s) {
      auto& tasks = job.steps_[s].tasks_;
      for (uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].state_ == TaskState::Sent && !tasks[i].stopSent_) {
          StopRun({ instance.job_, instance.occurrence_, s, i }, tasks[i]);
        }
      }
    }
  }
}

void
JobScheduler::SetRegisteredSidecars(std::set<MemberId> aSidecars)
{
  registeredSidecars_ = std::move(aSidecars);
  RetryParked();
}

void
JobScheduler::SetTakingOver(bool aTakingOver, MonoTime aNow)
{
  DetectSuspension(aNow);
  takingOver_ = aTakingOver;
  if (!takingOver_) {
    for (auto& [instance, job] : jobs_) {
      job.fromEarlierLeader_ = false;
    }
    ReleaseHeld();
    PlaceWaiting(aNow);
  }
}

void
JobScheduler::Restore(const JobDescription& aJob,
                      uint32_t aOccurrence,
                      const JobQueue& aQueue,
                      const JobProgress& aProgress,
                      Millis aAge,
                      bool aFromEarlierLeader,
                      MonoTime aNow)
{
  DetectSuspension(aNow);
  const JobInstance instance{ aJob.id_, aOccurrence };
  if (jobs_.contains(instance)) {
    return;
  }
  Job& job = jobs_[instance];
  job.spec_ = aJob;
  job.queue_ = aQueue;
  job.occurrence_ = aOccurrence;
  job.stored_ = true;
  job.fromEarlierLeader_ = aFromEarlierLeader;
  job.submitted_ = aNow - std::max(aAge, Millis(0));
  job.deadline_ = MonoTime::max();
  for (size_t s = 0; s < aJob.steps_.size(); ++s) {
    const uint32_t count = aJob.steps_[s].count_;
    Step step{ .tasks_ = std::vector<Task>(count), .openTasks_ = count };
    for (size_t i = 0; i < count; ++i) {
      Task& task = step.tasks_[i];
      if (s < aProgress.size() && i < aProgress[s].size()) {
        task.failedRuns_ = aProgress[s][i].failedRuns_;
        task.endedRun_ = aProgress[s][i].endedRun_;
        if (aProgress[s][i].done_) {
          task.state_ = TaskState::Done;
          --step.openTasks_;
        }
      }
      task.run_ = task.endedRun_;
      if (aFromEarlierLeader) {
        task.run_ = std::max(task.run_,
                             static_cast<uint32_t>(term_ * kRunNumbersPerTerm));
      }
    }
    job.steps_.push_back(std::move(step));
  }
  UnblockSteps(job);
  UpdateLatestStart(job);
  ReplayKeptEnds(instance, aNow);
  Job* restored = FindJob(instance);
  if (restored != nullptr && !FailIfOutOfAttempts(*restored)) {
    PlaceJob(*restored, aNow);
  }
}

void
JobScheduler::SetQueue(const JobInstance& aInstance,
                       const JobQueue& aQueue,
                       MonoTime aNow)
{
  DetectSuspension(aNow);
  Job* job = FindJob(aInstance);
  if (job == nullptr || !job->stored_ || job->queue_ == aQueue) {
    return;
  }
  // Its place among the waiting jobs depends on the queue's priority.
  Unqueue(*job);
  job->queue_ = aQueue;
  UpdateLatestStart(*job);
  if (!FailIfOutOfAttempts(*job)) {
    PlaceJob(*job, aNow);
  }
}

bool
JobScheduler::FailIfOutOfAttempts(Job& aJob)
{
  for (uint32_t s = 0; s < aJob.steps_.size(); ++s) {
    const auto& tasks = aJob.steps_[s].tasks_;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      const size_t failures = tasks[i].failedRuns_.size();
      if (tasks[i].state_ != TaskState::Done &&
          failures >= aJob.queue_.attempts_) {
        Finish(aJob,
               JobOutcome::Failed,
               DescribeFailures({ aJob.spec_.id_, aJob.occurrence_, s, i },
                                failures));
        return true;
      }
    }
  }
  return false;
}

std::vector<JobInstance>
JobScheduler::InstancesOfKeptEnds() const
{
  std::vector<JobInstance> instances;
  for (const auto& [instance, ends] : keptEnds_) {
    instances.push_back(instance);
  }
  return instances;
}

void
JobScheduler::KeepEnds(const JobInstance& aInstance,
                       const std::vector<UnacknowledgedEnd>& aEnds)
{
  for (const UnacknowledgedEnd& end : aEnds) {
    KeepEnd(aInstance,
            { end.sidecar_, { .key_ = end.key_, .unacknowledged_ = true } });
  }
}

void
JobScheduler::KeepEnd(const JobInstance& aInstance, const KeptEnd& aEnd)
{
  auto& ends = keptEnds_[aInstance];
  const bool known =
    std::any_of(ends.begin(), ends.end(), [&](const KeptEnd& aKept) {
      return aKept.sidecar_ == aEnd.sidecar_ &&
             aKept.report_.key_ == aEnd.report_.key_;
    });
  if (!known) {
    ends.push_back(aEnd);
  }
}

void
JobScheduler::AcknowledgeKeptEnds(const JobInstance& aInstance)
{
  const auto kept = keptEnds_.extract(aInstance);
  if (kept.empty()) {
    return;
  }
  std::vector<UnacknowledgedEnd> ends;
  for (const KeptEnd& end : kept.mapped()) {
    ends.push_back({ end.sidecar_, end.report_.key_ });
  }
  OnSaved(ends);
}

void
JobScheduler::ReplayKeptEnds(const JobInstance& aInstance, MonoTime aNow)
{
  const auto kept = keptEnds_.extract(aInstance);
  if (kept.empty()) {
    return;
  }
  replayingEnds_ = true;
  for (const KeptEnd& end : kept.mapped()) {
    OnStoredEnd(end.sidecar_, end.report_, aNow);
  }
  replayingEnds_ = false;
}

void
JobScheduler::OnTakenOver(MemberId aSidecar,
                          const HeldRuns& aHeld,
                          MonoTime aNow)
{
  DetectSuspension(aNow);
  if (!sidecars_.contains(aSidecar)) {
    return;
  }
  for (const RunReport& report : aHeld.reports_) {
    OnRunEnd(aSidecar, report, aNow);
  }
  for (const RunKey& key : aHeld.runs_) {
    AdoptRun(aSidecar, key, aNow);
  }
}

void
JobScheduler::AdoptRun(MemberId aSidecar, const RunKey& aKey, MonoTime aNow)
{
  const bool known =
    !sidecars_.at(aSidecar)
       .runs_.try_emplace(aKey, OrderedRun{ .upstreamNumber_ = aKey.run_ })
       .second;
  Task* task = FindTask(aKey.task_);
  Job* job = FindJob(InstanceOf(aKey.task_));
  const bool current = known && task != nullptr &&
                       task->state_ == TaskState::Sent &&
                       task->sidecar_ == aSidecar && task->run_ == aKey.run_;
  if (current && !task->stopSent_) {
    return;
  }
  // A stop that was sent before or during the loss of the link may be lost too.
  const bool wanted =
    !known && task != nullptr && job->stored_ && aKey.run_ > task->endedRun_ &&
    (task->state_ == TaskState::Ready || task->state_ == TaskState::Blocked);
  if (!wanted) {
    actions_.emplace_back(
      SendStops{ aSidecar, { .runs_ = { aKey }, .abandoned_ = !current } });
    return;
  }
  task->state_ = TaskState::Sent;
  task->run_ = aKey.run_;
  task->sidecar_ = aSidecar;
  task->sentAt_ = aNow;
  task->stopSent_ = false;
  job->anySent_ = true;
  job->mayHaveRun_ = true;
}

void
JobScheduler::Save(Job& aJob,
                   std::optional<JobOutcome> aOutcome,
                   std::string aReason)
{
  actions_.emplace_back(SaveJob{ .instance_ = InstanceOf(aJob),
                                 .progress_ = ProgressOf(aJob),
                                 .outcome_ = aOutcome,
                                 .reason_ = std::move(aReason),
                                 .ends_ = std::exchange(aJob.unsaved_, {}) });
}

void
JobScheduler::OnSaved(const std::vector<UnacknowledgedEnd>& aEnds)
{
  std::map<MemberId, AcknowledgeEnds> acknowledgements;
  for (const UnacknowledgedEnd& end : aEnds) {
    saving_.erase(end.key_);
    acknowledgements[end.sidecar_].runs_.push_back(end.key_);
  }
  for (auto& [id, ends] : acknowledgements) {
    actions_.emplace_back(SendAcknowledgement{ id, std::move(ends) });
  }
}

JobProgress
JobScheduler::Progress(const JobInstance& aInstance) const
{
  const auto found = jobs_.find(aInstance);
  return found == jobs_.end() ? JobProgress{} : ProgressOf(found->second);
}

JobProgress
JobScheduler::ProgressOf(const Job& aJob)
{
  JobProgress progress;
  for (const Step& step : aJob.steps_) {
    auto& tasks = progress.emplace_back();
    for (const Task& task : step.tasks_) {
      tasks.push_back({ .done_ = task.state_ == TaskState::Done,
                        .failedRuns_ = task.failedRuns_,
                        .endedRun_ = task.endedRun_ });
    }
  }
  return progress;
}

bool
JobScheduler::HasStarted(const JobInstance& aInstance) const
{
  const auto found = jobs_.find(aInstance);
  return found != jobs_.end() && found->second.hasStarted_;
}

void
JobScheduler::RecordUnsaved(Job& aJob,
                            MemberId aSidecar,
                            const RunReport& aReport,
                            Task& aTask)
{
  // The end of a lost run is not known for certain; it may yet be reported with
  // another end.
  if (!aJob.stored_ || aReport.end_ == RunEnd::NotStarted ||
      aReport.end_ == RunEnd::Lost) {
    return;
  }
  aTask.endedRun_ = std::max(aTask.endedRun_, aReport.key_.run_);
  if (aReport.unacknowledged_) {
    aJob.unsaved_.push_back({ aSidecar, aReport.key_ });
    saving_.insert(aReport.key_);
  }
  unsaved_.insert(InstanceOf(aJob));
}

bool
JobScheduler::CountsStoredEnd(const Job& aJob, const RunReport& aReport)
{
  const JobTaskId& taskId = aReport.key_.task_;
  const Task& task = aJob.steps_[taskId.step_].tasks_[taskId.index_];
  if (task.state_ == TaskState::Done) {
    return false;
  }
  const bool done = aReport.end_ == RunEnd::Done;
  const bool failed = aReport.end_ == RunEnd::Failed;
  const bool endsTask = done || failed;
  if (!endsTask || aJob.spec_.steps_[taskId.step_].longRunning_) {
    // Such an end only matters to a task that does not run again yet.
    return aReport.key_.run_ > task.endedRun_ && task.state_ != TaskState::Sent;
  }
  // The end of an earlier run counts even if the task runs again, since
  // sidecars report ends in any order.
  return done || !task.failedRuns_.contains(aReport.key_.run_);
}

void
JobScheduler::OnStoredEnd(MemberId aSidecar,
                          const RunReport& aReport,
                          MonoTime aNow)
{
  if (!aReport.unacknowledged_ || term_ == 0) {
    return;
  }
  const JobTaskId& taskId = aReport.key_.task_;
  Job* job = FindJob(InstanceOf(taskId));
  if (job == nullptr) {
    KeepEnd(InstanceOf(taskId), { aSidecar, aReport });
    return;
  }
  Task* task = FindTask(taskId);
  const bool done = aReport.end_ == RunEnd::Done;
  const bool failed = aReport.end_ == RunEnd::Failed;
  if (task == nullptr || !job->stored_ || !CountsStoredEnd(*job, aReport)) {
    if (!saving_.contains(aReport.key_)) {
      actions_.emplace_back(
        SendAcknowledgement{ aSidecar, { { aReport.key_ } } });
    }
    return;
  }
  RecordUnsaved(*job, aSidecar, aReport, *task);
  if (done) {
    if (task->state_ == TaskState::Sent && !task->stopSent_) {
      StopRun(taskId, *task);
    }
    OnTaskDone(*job, taskId, aNow);
  } else if (failed) {
    OnTaskFailed(*job, aReport.key_, aNow);
  }
}

} // namespace cornelfront
