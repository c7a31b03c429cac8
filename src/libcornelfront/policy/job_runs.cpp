/// \file
/// JobScheduler: reactions to ended and stalled runs, and the statistics from
/// them.

#include "cornelfront/job_scheduler.h"

#include "policy/job_scheduler_pvt.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {
namespace {

/// Weights of the newest value in exponentially smoothed figures.
constexpr double kDurationWeight = 0.05;
constexpr double kSlownessWeight = 0.15;
constexpr double kFailureWeight = 0.25;

/// Share of failed runs above which an upstream is avoided.
constexpr double kMaxFailedShare = 0.6;

double
Smooth(double aOld, double aNew, double aWeight)
{
  return aOld + (aNew - aOld) * aWeight;
}

/// True if the upstream may run other tasks than before.
bool
MayRunOthers(const UpstreamReport& aBefore, const UpstreamReport& aNow)
{
  return aBefore.ready_ != aNow.ready_ || aBefore.service_ != aNow.service_ ||
         aBefore.capacity_ != aNow.capacity_ || aBefore.labels_ != aNow.labels_;
}

} // namespace

void
JobScheduler::OnReports(MemberId aSidecar,
                        const RunReports& aReports,
                        MonoTime aNow)
{
  DetectSuspension(aNow);
  const auto found = sidecars_.find(aSidecar);
  if (found == sidecars_.end()) {
    return;
  }
  Sidecar& sidecar = found->second;
  if (sidecar.report_.upstream_ != aReports.upstream_.upstream_) {
    sidecar.slowness_ = 1.0;
    sidecar.failures_ = 0.0;
    sidecar.avoidUntil_ = {};
  }
  if (MayRunOthers(sidecar.report_, aReports.upstream_)) {
    RetryParked();
  }
  sidecar.report_ = aReports.upstream_;
  sidecar.reportedAt_ = aNow;
  while (!sidecar.unreported_.empty() && sidecar.unreported_.front().number_ <=
                                           aReports.upstream_.ordersReceived_) {
    sidecar.unreported_.pop_front();
  }
  for (const RunReport& report : aReports.reports_) {
    OnRunEnd(aSidecar, report, aNow);
  }
  for (const RunKey& key : aReports.started_) {
    if (Job* job = FindJob(InstanceOf(key.task_))) {
      job->hasStarted_ = true;
    }
  }
  for (const StalledRun& stalled : aReports.stalled_) {
    OnStalled(aSidecar, stalled);
  }
  PlaceWaiting(aNow);
}

void
JobScheduler::OnRunEnd(MemberId aSidecar,
                       const RunReport& aReport,
                       MonoTime aNow)
{
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar == sidecars_.end()) {
    return;
  }
  const bool known = EraseOrdered(sidecar->second, aReport);
  if (aReport.found_) {
    NoteFoundEnd(aReport.key_, aNow);
  }
  const JobTaskId& taskId = aReport.key_.task_;
  Job* job = FindJob(InstanceOf(taskId));
  Task* found = FindTask(taskId);
  const bool current =
    known && found != nullptr && found->state_ == TaskState::Sent &&
    found->sidecar_ == aSidecar && found->run_ == aReport.key_.run_;
  if (!current) {
    OnStoredEnd(aSidecar, aReport, aNow);
    return;
  }
  Task& task = *found;
  RecordUnsaved(*job, aSidecar, aReport, task);
  UpdateStatistics(aSidecar, *job, aReport, aNow);
  if (aReport.end_ != RunEnd::Done) {
    actions_.emplace_back(
      RunEndEvent{ aSidecar, aReport, task.failedRuns_.size() });
  }
  // An order that had no answer may begin the task in a later incarnation.
  const bool late =
    lateOrders_.LimitOf(taskId).where_ != StartLimit::Where::Anywhere;
  job->mayHaveRun_ |= late || aReport.end_ != RunEnd::NotStarted;
  if (aReport.end_ == RunEnd::Done) {
    Millis& longest = job->steps_[taskId.step_].longestRun_;
    longest = std::max(longest, aReport.runTime_);
    OnTaskDone(*job, taskId, aNow);
    return;
  }
  task.state_ = TaskState::Ready;
  task.avoidedSidecars_.insert(aSidecar);
  const bool returned = aReport.end_ == RunEnd::NotStarted;
  task.returned_ += returned ? 1 : 0;
  task.couldNotRunAlone_ |= returned && task.alone_;
  task.returnedThere_ += returned && task.limited_ ? 1 : 0;
  if (aReport.end_ == RunEnd::Failed) {
    OnTaskFailed(*job, aReport.key_, aNow);
    return;
  }
  if (job->spec_.steps_[taskId.step_].gang_) {
    RestartGang(*job, taskId.step_);
  }
  PlaceJob(*job, aNow);
}

bool
JobScheduler::EraseOrdered(Sidecar& aSidecar, const RunReport& aReport)
{
  const auto run = aSidecar.runs_.find(aReport.key_);
  if (run == aSidecar.runs_.end()) {
    return false;
  }
  // Each entry numbers runs from 1, so a found end under this number may be
  // that of another entry's run, which a predecessor of the sidecar started. Of
  // the runs that the sidecar got itself it sends reports of its own.
  const OrderedRun& ordered = run->second;
  if (aReport.found_ &&
      (!ordered.inherited_ || ordered.upstreamNumber_ != aReport.key_.run_)) {
    return false;
  }
  aSidecar.runs_.erase(run);
  return true;
}

void
JobScheduler::NoteFoundEnd(const RunKey& aKey, MonoTime aNow)
{
  const Job* job = FindJob(InstanceOf(aKey.task_));
  if (job != nullptr && job->stored_) {
    // OnStoredEnd counts it, and the store keeps its number.
    return;
  }
  if (Task* task = FindTask(aKey.task_)) {
    task->endedRun_ = std::max(task->endedRun_, aKey.run_);
  }
  RaiseUsedRuns(aKey.task_.job_, aKey.run_, aNow);
}

void
JobScheduler::OnTaskDone(Job& aJob, const JobTaskId& aTaskId, MonoTime aNow)
{
  Step& step = aJob.steps_[aTaskId.step_];
  const StepSpec& spec = aJob.spec_.steps_[aTaskId.step_];
  if (spec.longRunning_) {
    step.tasks_[aTaskId.index_].state_ = TaskState::Ready;
    PlaceJob(aJob, aNow);
    return;
  }
  if (spec.gang_) {
    for (Task& task : step.tasks_) {
      task.state_ = TaskState::Done;
    }
    step.openTasks_ = 0;
  } else {
    step.tasks_[aTaskId.index_].state_ = TaskState::Done;
    --step.openTasks_;
  }
  if (step.openTasks_ > 0) {
    // Its upstream may take another task of the step.
    waiting_.Wake(RankOf(aJob));
    return;
  }
  const bool finished =
    std::all_of(aJob.steps_.begin(), aJob.steps_.end(), [](const Step& aStep) {
      return aStep.openTasks_ == 0;
    });
  if (finished) {
    Finish(aJob, JobOutcome::Completed, "");
    return;
  }
  UnblockSteps(aJob);
  UpdateLatestStart(aJob);
  PlaceJob(aJob, aNow);
}

void
JobScheduler::OnTaskFailed(Job& aJob, const RunKey& aKey, MonoTime aNow)
{
  const JobTaskId& taskId = aKey.task_;
  const StepSpec& spec = aJob.spec_.steps_[taskId.step_];
  Task& task = aJob.steps_[taskId.step_].tasks_[taskId.index_];
  if (!spec.longRunning_) {
    task.failedRuns_.insert(aKey.run_);
    if (task.failedRuns_.size() >= aJob.queue_.attempts_) {
      Finish(aJob,
             JobOutcome::Failed,
             DescribeFailures(taskId, task.failedRuns_.size()));
      return;
    }
  }
  // The end of an earlier run does not affect the members that run now.
  if (spec.gang_ && aKey.run_ >= task.run_) {
    RestartGang(aJob, taskId.step_);
  }
  PlaceJob(aJob, aNow);
}

void
JobScheduler::RestartGang(Job& aJob, uint32_t aStep)
{
  Step& step = aJob.steps_[aStep];
  uint32_t highest = 0;
  for (uint32_t i = 0; i < step.tasks_.size(); ++i) {
    Task& task = step.tasks_[i];
    highest = std::max(highest, task.run_);
    if (task.state_ == TaskState::Sent && !task.stopSent_) {
      StopRun({ aJob.spec_.id_, aJob.occurrence_, aStep, i }, task);
    }
  }
  // All members of a gang run under the same run number.
  for (Task& task : step.tasks_) {
    if (task.state_ != TaskState::Sent) {
      task.run_ = highest;
    }
  }
}

void
JobScheduler::UpdateStatistics(MemberId aSidecar,
                               const Job& aJob,
                               const RunReport& aReport,
                               MonoTime aNow)
{
  Sidecar& sidecar = sidecars_.at(aSidecar);
  const bool failed = aReport.end_ == RunEnd::Failed;
  if (failed || aReport.end_ == RunEnd::Done) {
    sidecar.failures_ =
      Smooth(sidecar.failures_, failed ? 1.0 : 0.0, kFailureWeight);
    if (sidecar.failures_ > kMaxFailedShare) {
      actions_.emplace_back(
        EjectionEvent{ aSidecar, sidecar.failures_, options_.ejectionTime_ });
      sidecar.avoidUntil_ = aNow + options_.ejectionTime_;
      sidecar.failures_ = kMaxFailedShare;
    }
  }
  if (aReport.end_ != RunEnd::Done) {
    return;
  }
  const auto run = static_cast<double>(aReport.runTime_.count());
  Durations& durations = durations_[aJob.queue_.name_];
  if (!durations.known_) {
    durations = { .meanMs_ = run, .known_ = true };
  }
  const double ratio = run / std::max(durations.meanMs_, 1.0);
  durations.meanMs_ = Smooth(durations.meanMs_, run, kDurationWeight);
  sidecar.slowness_ = Smooth(sidecar.slowness_, ratio, kSlownessWeight);
  sidecar.meanRunMs_ = Smooth(sidecar.meanRunMs_, run, kDurationWeight);
}

void
JobScheduler::MarkRunsLost(MemberId aSidecar, bool aStoredToo, MonoTime aNow)
{
  const std::map<RunKey, OrderedRun> runs = sidecars_.at(aSidecar).runs_;
  for (const auto& [key, run] : runs) {
    const Job* job = FindJob(InstanceOf(key.task_));
    if (aStoredToo || job == nullptr || !job->stored_) {
      RecordLostOrder(aSidecar, key, run, run.inherited_, aNow);
      OnRunEnd(aSidecar, { .key_ = key, .end_ = RunEnd::Lost }, aNow);
    }
  }
}

void
JobScheduler::OnStalled(MemberId aSidecar, const StalledRun& aStalled)
{
  const JobTaskId& taskId = aStalled.key_.task_;
  Job* job = FindJob(InstanceOf(taskId));
  Task* task = FindTask(taskId);
  const auto sidecar = sidecars_.find(aSidecar);
  if (task == nullptr || sidecar == sidecars_.end() ||
      task->state_ != TaskState::Sent || task->sidecar_ != aSidecar ||
      task->run_ != aStalled.key_.run_ || task->stopSent_ ||
      task->stalls_ >= options_.maxStalls_ ||
      job->spec_.steps_[taskId.step_].longRunning_ ||
      !IsUpstreamSlow(sidecar->second, job->steps_[taskId.step_], aStalled)) {
    return;
  }
  actions_.emplace_back(
    StallEvent{ aSidecar, aStalled, sidecar->second.slowness_ });
  sidecar->second.slowness_ =
    std::max(sidecar->second.slowness_, options_.stalledSlowness_);
  ++task->stalls_;
  StopRun(taskId, *task);
}

bool
JobScheduler::IsUpstreamSlow(const Sidecar& aSidecar,
                             const Step& aStep,
                             const StalledRun& aStalled) const
{
  // Progress of up to 1 % may be a rounding artifact.
  if (aStalled.percent_ <= 1 || aSidecar.slowness_ >= options_.slowRunFactor_) {
    return true;
  }
  constexpr double kHundredPercent = 100.0;
  const double total =
    ToMs(aStalled.age_) * kHundredPercent / aStalled.percent_;
  return aStep.longestRun_.count() > 0 &&
         total > ToMs(aStep.longestRun_) * options_.slowRunFactor_;
}

void
JobScheduler::DecaySlowness(Millis aElapsed)
{
  const double kept = std::exp(-ToMs(aElapsed) / ToMs(options_.slownessDecay_));
  for (auto& [id, sidecar] : sidecars_) {
    sidecar.slowness_ = 1.0 + (sidecar.slowness_ - 1.0) * kept;
  }
}

void
JobScheduler::StopRun(const JobTaskId& aTaskId, Task& aTask)
{
  aTask.stopSent_ = true;
  actions_.emplace_back(
    SendStops{ aTask.sidecar_, { { { aTaskId, aTask.run_ } } } });
}

} // namespace cornelfront
