#include "cornelfront/service_dispatch.h"

#include <algorithm>

namespace cornelfront {

namespace {

/// Approximate limit on the total size of the task bodies in one StartTasks
/// message.
constexpr size_t kMaxBatchBytes = 1U << 20;

constexpr unsigned kSerialPrefixShift = 48;

constexpr Millis kMinRetryAfter{ 100 };

/// Back-off before a task that every candidate has refused is offered again;
/// doubles up to the maximum.
constexpr Millis kMinBackoff{ 10 };
constexpr Millis kMaxBackoff{ 320 };

/// Returns true if another sidecar may accept a task that was refused for this
/// reason.
bool
MayRetryElsewhere(TaskReason aReason)
{
  switch (aReason) {
    case TaskReason::ZoneOut:
    case TaskReason::StaleConfig:
    case TaskReason::Draining:
    case TaskReason::NoUpstream:
    case TaskReason::QueueFull:
    case TaskReason::NeverSeen:
    case TaskReason::UpstreamRefused:
    case TaskReason::UpstreamUnreachable:
    case TaskReason::LinkLost:
      return true;
    default:
      return false;
  }
}

/// Returns true if the answer counts as a failure of the upstream or its
/// sidecar.
bool
IsUpstreamFailure(const TaskAnswer& aAnswer)
{
  switch (aAnswer.outcome_) {
    case TaskOutcome::Failed:
    case TaskOutcome::MayHaveRun:
      return true;
    case TaskOutcome::NotRun:
      return MayRetryElsewhere(aAnswer.reason_);
    default:
      return false;
  }
}

} // namespace

ServiceDispatch::ServiceDispatch(ServiceDispatchOptions aOptions)
  : options_(std::move(aOptions))
  , router_(options_.router_)
{
}

TaskId
ServiceDispatch::NextId()
{
  const uint64_t prefix = uint64_t{ options_.serialPrefix_ }
                          << kSerialPrefixShift;
  return { options_.self_, prefix | nextSerial_++ };
}

void
ServiceDispatch::Push(TaskId aId, const Task& aTask)
{
  const JobSpec& spec = aTask.job_->spec_;
  queue_.Push({ .id_ = aId,
                .priority_ = spec.tasks_[aTask.index_].call_->priority_,
                .startBy_ = spec.startBy_,
                .arrival_ = aId.serial_ });
}

/// Registers the task under a new id.
TaskId
ServiceDispatch::Register(Task aTask)
{
  const TaskId id = NextId();
  aTask.state_ = TaskState::Queued;
  aTask.sidecar_ = {};
  aTask.job_->openTasks_[aTask.index_] = id;
  tasks_.emplace(id, std::move(aTask));
  return id;
}

void
ServiceDispatch::Submit(JobSpec aJob,
                        JobRunner::Done aDone,
                        MonoTime aNow,
                        DispatchEffects& aEffects)
{
  auto job = std::make_shared<Job>();
  job->spec_ = std::move(aJob);
  job->done_ = std::move(aDone);
  const size_t count = job->spec_.tasks_.size();
  job->answers_.resize(count);
  job->openTasks_.resize(count);
  job->remaining_ = count;
  jobs_[job->spec_.submission_] = job;
  for (uint32_t index = 0; index < count; ++index) {
    const TaskId id = Register({ .job_ = job, .index_ = index });
    Push(id, tasks_.at(id));
  }
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::Cancel(const std::string& aSubmission,
                        MonoTime aNow,
                        DispatchEffects& aEffects)
{
  const auto found = jobs_.find(aSubmission);
  if (found == jobs_.end()) {
    return;
  }
  const JobPtr job = found->second;
  FinishJob(job,
            FailureOf(*job,
                      { .outcome_ = TaskOutcome::NotRun,
                        .reason_ = TaskReason::Cancelled },
                      aNow),
            aEffects);
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::OnStatus(MemberId aSidecar,
                          const std::string& aZone,
                          uint64_t aLink,
                          const UpstreamStatus& aStatus,
                          MonoTime aNow,
                          DispatchEffects& aEffects)
{
  Sidecar& sidecar = sidecars_[aSidecar];
  sidecar.zone_ = aZone;
  sidecar.load_ = aStatus.load_;
  if (sidecar.link_ != aLink) {
    sidecar.link_ = aLink;
    if (!sidecar.tasks_.empty()) {
      ResolveTasks resolve;
      resolve.tasks_.assign(sidecar.tasks_.begin(), sidecar.tasks_.end());
      aEffects.sends_.push_back({ aSidecar, aLink, std::move(resolve) });
    }
  }
  if (aStatus.ready_) {
    router_.Upsert({ .id_ = aSidecar, .zone_ = aZone, .load_ = aStatus.load_ });
  } else {
    router_.Erase(aSidecar);
  }
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::OnLinkDown(MemberId aSidecar,
                            uint64_t aLink,
                            MonoTime aNow,
                            DispatchEffects& aEffects)
{
  const auto found = sidecars_.find(aSidecar);
  if (found == sidecars_.end() || found->second.link_ != aLink) {
    return;
  }
  Sidecar& sidecar = found->second;
  sidecar.link_ = 0;
  router_.Erase(aSidecar);
  for (const TaskId& id : sidecar.tasks_) {
    Task& task = tasks_.at(id);
    task.state_ = TaskState::Unresolved;
    task.answerDeadline_ = aNow + options_.resolveBound_;
  }
  estimates_.Remove(aSidecar);
  if (sidecar.tasks_.empty()) {
    sidecars_.erase(found);
  }
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::OnAnswers(MemberId aSidecar,
                           const TaskAnswers& aAnswers,
                           MonoTime aNow,
                           DispatchEffects& aEffects)
{
  for (const TaskAnswer& answer : aAnswers.answers_) {
    const auto found = tasks_.find(answer.id_);
    if (found == tasks_.end() || found->second.sidecar_ != aSidecar) {
      ++aEffects.unexpectedAnswers_;
      continue;
    }
    if (answer.outcome_ == TaskOutcome::Running) {
      found->second.state_ = TaskState::Sent;
      const CallSchema& call =
        *found->second.job_->spec_.tasks_[found->second.index_].call_;
      found->second.answerDeadline_ =
        aNow + call.runLimit_ + 2 * options_.resolveBound_;
      continue;
    }
    if (answer.outcome_ == TaskOutcome::Completed) {
      UpdateEstimates(aSidecar, found->second, answer.runTime_);
    }
    router_.OnAnswer(aSidecar, aAnswers.load_, IsUpstreamFailure(answer), aNow);
    HandleAnswer(answer.id_, answer, aNow, aEffects);
  }
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar != sidecars_.end()) {
    sidecar->second.load_ = aAnswers.load_;
  }
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::OnNotSent(const std::vector<TaskId>& aTasks,
                           MonoTime aNow,
                           DispatchEffects& aEffects)
{
  for (const TaskId& id : aTasks) {
    HandleAnswer(id,
                 { .id_ = id,
                   .outcome_ = TaskOutcome::NotRun,
                   .reason_ = TaskReason::LinkLost },
                 aNow,
                 aEffects);
  }
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::SetZoneEnabled(const std::string& aZone,
                                bool aEnabled,
                                MonoTime aNow,
                                DispatchEffects& aEffects)
{
  router_.SetZoneEnabled(aZone, aEnabled);
  DispatchQueued(aNow, aEffects);
}

void
ServiceDispatch::Tick(MonoTime aNow, DispatchEffects& aEffects)
{
  RequeueAfterBackoff(aNow);
  for (const TaskId& id : queue_.PopExpired(aNow)) {
    HandleAnswer(id,
                 { .id_ = id,
                   .outcome_ = TaskOutcome::NotRun,
                   .reason_ = TaskReason::StartTooLate },
                 aNow,
                 aEffects);
  }
  FailOverdueTasks(aNow, aEffects);
  DispatchQueued(aNow, aEffects);
}

/// Moves tasks whose back-off has ended back into the queue.
void
ServiceDispatch::RequeueAfterBackoff(MonoTime aNow)
{
  while (!inBackoff_.empty() && inBackoff_.begin()->first <= aNow) {
    const TaskId id = inBackoff_.begin()->second;
    inBackoff_.erase(inBackoff_.begin());
    const auto found = tasks_.find(id);
    if (found != tasks_.end()) {
      Push(id, found->second);
    }
  }
}

void
ServiceDispatch::FailOverdueTasks(MonoTime aNow, DispatchEffects& aEffects)
{
  std::vector<TaskId> overdue;
  for (const auto& [id, task] : tasks_) {
    if (task.state_ != TaskState::Queued && task.answerDeadline_ <= aNow) {
      overdue.push_back(id);
    }
  }
  for (const TaskId& id : overdue) {
    HandleAnswer(id,
                 { .id_ = id,
                   .outcome_ = TaskOutcome::MayHaveRun,
                   .reason_ = TaskReason::LinkLost },
                 aNow,
                 aEffects);
  }
}

void
ServiceDispatch::DispatchQueued(MonoTime aNow, DispatchEffects& aEffects)
{
  Batches batches;
  std::vector<QueuedTask> unassigned;
  while (const auto queued = queue_.PopNext(aNow)) {
    Task& task = tasks_.at(queued->id_);
    if (task.refusedBy_.size() >= router_.size()) {
      task.refusedBy_.clear();
    }
    const auto sidecar =
      router_.Choose({ .exclude_ = task.refusedBy_,
                       .repeatable_ = task.job_->spec_.mayRepeat_ },
                     aNow);
    if (sidecar) {
      Assign(queued->id_, task, *sidecar, aNow, batches, aEffects);
      continue;
    }
    unassigned.push_back(*queued);
    if (task.refusedBy_.empty()) {
      break;
    }
  }
  for (const QueuedTask& queued : unassigned) {
    queue_.Push(queued);
  }
  for (auto& [sidecar, batch] : batches) {
    SendBatch(sidecar, batch, aEffects);
  }
}

void
ServiceDispatch::Assign(TaskId aId,
                        Task& aTask,
                        MemberId aSidecar,
                        MonoTime aNow,
                        Batches& aBatches,
                        DispatchEffects& aEffects)
{
  const JobSpec& spec = aTask.job_->spec_;
  const TaskSpec& taskSpec = spec.tasks_[aTask.index_];
  const auto startWithin =
    std::chrono::duration_cast<Millis>(spec.startBy_ - aNow);
  estimates_.OnStart(*taskSpec.call_, queue_.size(), aNow);
  if (aTask.attempt_ == 1) {
    retryBudget_.OnRequest(aNow);
  }
  aTask.state_ = TaskState::Sent;
  aTask.sidecar_ = aSidecar;
  aTask.answerDeadline_ =
    spec.startBy_ + taskSpec.call_->runLimit_ + 2 * options_.resolveBound_;
  sidecars_.at(aSidecar).tasks_.insert(aId);
  StartTasks& batch = aBatches[aSidecar];
  batch.service_ = spec.service_;
  batch.tasks_.push_back({ .id_ = aId,
                           .submission_ = spec.submission_,
                           .index_ = aTask.index_,
                           .call_ = taskSpec.call_->name_,
                           .body_ = taskSpec.body_,
                           .startWithin_ = startWithin,
                           .runLimit_ = taskSpec.call_->runLimit_ });
  size_t bytes = 0;
  for (const StartTask& task : batch.tasks_) {
    bytes += task.body_.size();
  }
  if (bytes >= kMaxBatchBytes) {
    SendBatch(aSidecar, batch, aEffects);
    batch = {};
  }
}

void
ServiceDispatch::SendBatch(MemberId aSidecar,
                           StartTasks& aBatch,
                           DispatchEffects& aEffects)
{
  if (!aBatch.tasks_.empty()) {
    aEffects.sends_.push_back(
      { aSidecar, sidecars_.at(aSidecar).link_, std::move(aBatch) });
  }
}

bool
ServiceDispatch::MayRetry(const Task& aTask,
                          const TaskAnswer& aAnswer,
                          MonoTime aNow)
{
  if (aTask.job_->finished_ || aTask.attempt_ >= options_.maxAttempts_ ||
      aNow >= aTask.job_->spec_.startBy_) {
    return false;
  }
  if (aAnswer.outcome_ == TaskOutcome::NotRun) {
    return MayRetryElsewhere(aAnswer.reason_);
  }
  return aAnswer.outcome_ == TaskOutcome::MayHaveRun &&
         aTask.job_->spec_.mayRepeat_ && retryBudget_.TryRetry(aNow);
}

void
ServiceDispatch::HandleAnswer(TaskId aId,
                              const TaskAnswer& aAnswer,
                              MonoTime aNow,
                              DispatchEffects& aEffects)
{
  const auto found = tasks_.find(aId);
  if (found == tasks_.end()) {
    // The task was removed when its job finished.
    return;
  }
  const Task& task = found->second;
  if (MayRetry(task, aAnswer, aNow)) {
    Retry(aId, aNow, aEffects);
    return;
  }
  const JobPtr job = task.job_;
  const uint32_t index = task.index_;
  Remove(aId);
  if (!job->finished_) {
    RecordAnswer(job, index, aAnswer, aNow, aEffects);
  }
}

void
ServiceDispatch::Retry(TaskId aId, MonoTime aNow, DispatchEffects& aEffects)
{
  Task task = tasks_.at(aId);
  Remove(aId);
  ++aEffects.retries_;
  ++task.attempt_;
  task.refusedBy_.push_back(task.sidecar_);
  const bool refusedByAll = task.refusedBy_.size() >= router_.size();
  if (!refusedByAll) {
    const TaskId id = Register(std::move(task));
    Push(id, tasks_.at(id));
    return;
  }
  const auto backoff = kMinBackoff * (1U << std::min(task.refusalRounds_, 5U));
  const auto until =
    std::min(aNow + std::min(backoff, kMaxBackoff), task.job_->spec_.startBy_);
  ++task.refusalRounds_;
  task.refusedBy_.clear();
  inBackoff_.emplace(until, Register(std::move(task)));
}

void
ServiceDispatch::RecordAnswer(const JobPtr& aJob,
                              uint32_t aIndex,
                              const TaskAnswer& aAnswer,
                              MonoTime aNow,
                              DispatchEffects& aEffects)
{
  aJob->answers_[aIndex] = aAnswer;
  aJob->openTasks_[aIndex] = {};
  --aJob->remaining_;
  if (aAnswer.outcome_ != TaskOutcome::Completed) {
    FinishJob(aJob, FailureOf(*aJob, aAnswer, aNow), aEffects);
    return;
  }
  if (aJob->remaining_ == 0) {
    FinishJob(
      aJob,
      { .outcome_ = Outcome::Completed, .answers_ = std::move(aJob->answers_) },
      aEffects);
  }
}

JobResult
ServiceDispatch::FailureOf(const Job& aJob,
                           const TaskAnswer& aAnswer,
                           MonoTime aNow)
{
  bool ran = aAnswer.outcome_ == TaskOutcome::Failed;
  bool mayHaveRun = aAnswer.outcome_ == TaskOutcome::MayHaveRun;
  for (size_t index = 0; index < aJob.openTasks_.size(); ++index) {
    const auto found = tasks_.find(aJob.openTasks_[index]);
    if (found == tasks_.end()) {
      ran = ran || (aJob.openTasks_[index] == TaskId{} &&
                    aJob.answers_[index].outcome_ == TaskOutcome::Completed);
      continue;
    }
    // A task that was sent may have started.
    mayHaveRun = mayHaveRun || found->second.state_ != TaskState::Queued;
  }
  JobResult result;
  result.reason_ = aAnswer.reason_;
  result.outcome_ = ran || mayHaveRun ? Outcome::Failed : Outcome::Refused;
  result.mayHaveRun_ = mayHaveRun && !ran;
  result.retryAfter_ =
    std::max(kMinRetryAfter,
             PredictedWait(Priority::Normal, aJob.openTasks_.size(), aNow));
  return result;
}

void
ServiceDispatch::FinishJob(const JobPtr& aJob,
                           JobResult aResult,
                           DispatchEffects& aEffects)
{
  aJob->finished_ = true;
  CancelOpenTasks(aJob, aEffects);
  jobs_.erase(aJob->spec_.submission_);
  aEffects.finishes_.push_back({ std::move(aJob->done_), std::move(aResult) });
}

/// Removes the queued tasks of a finished job and cancels those that were sent.
void
ServiceDispatch::CancelOpenTasks(const JobPtr& aJob, DispatchEffects& aEffects)
{
  std::unordered_map<MemberId, CancelTasks> cancels;
  for (const TaskId& id : aJob->openTasks_) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
      continue;
    }
    if (found->second.state_ == TaskState::Queued) {
      queue_.Remove(id);
      Remove(id);
      continue;
    }
    cancels[found->second.sidecar_].tasks_.push_back(id);
  }
  for (auto& [sidecar, cancel] : cancels) {
    const uint64_t link = sidecars_.at(sidecar).link_;
    if (link != 0) {
      aEffects.sends_.push_back({ sidecar, link, std::move(cancel) });
    }
  }
}

void
ServiceDispatch::Remove(TaskId aId)
{
  const auto found = tasks_.find(aId);
  const auto sidecar = sidecars_.find(found->second.sidecar_);
  tasks_.erase(found);
  if (sidecar == sidecars_.end()) {
    return;
  }
  sidecar->second.tasks_.erase(aId);
  if (sidecar->second.link_ == 0 && sidecar->second.tasks_.empty()) {
    sidecars_.erase(sidecar);
  }
}

Millis
ServiceDispatch::PredictedWait(Priority aPriority, size_t aTasks, MonoTime aNow)
{
  const RouterCapacity capacity = router_.Capacity(aNow);
  if (capacity.slots_ == 0) {
    return Millis(0);
  }
  const ServiceLoad load{ .waiting_ = { queue_.CountOf(Priority::Urgent),
                                        queue_.CountOf(Priority::Normal),
                                        queue_.CountOf(Priority::Batch) },
                          .slots_ = capacity.slots_,
                          .tasks_ = capacity.tasks_ };
  return estimates_.PredictWait(load, aPriority, aTasks, aNow);
}

void
ServiceDispatch::SetPolicy(const DispatchPolicy& aPolicy)
{
  router_.SetRule(aPolicy.rule_);
  router_.SetEjection(aPolicy.ejection_);
  router_.SetQueuePerSidecar(aPolicy.queuePerSidecar_);
  router_.SetRampTime(aPolicy.rampTime_);
}

/// Updates the estimates with the run time of a completed task.
void
ServiceDispatch::UpdateEstimates(MemberId aSidecar,
                                 const Task& aTask,
                                 Millis aRunTime)
{
  const TaskSpec& spec = aTask.job_->spec_.tasks_[aTask.index_];
  const bool slow = estimates_.OnRunTime(*spec.call_, aSidecar, aRunTime);
  router_.SetSlow(aSidecar, slow);
}

} // namespace cornelfront
