/// \file
/// JobScheduler: tasks that must not be started for now, because upstreams have
/// crashed under them or an order of them may still be carried out.

#include "cornelfront/job_scheduler.h"

#include <cmath>
#include <string>
#include <utility>

namespace cornelfront {

void
JobScheduler::OnUpstreamCrashes(MemberId aSidecar,
                                const UpstreamCrashes& aCrashes,
                                MonoTime aNow)
{
  DetectSuspension(aNow);
  std::vector<JobTaskId> affected;
  for (const UpstreamCrash& crash : aCrashes.crashes_) {
    crashes_.Record(aSidecar, crash, aNow);
    affected.insert(affected.end(), crash.tasks_.begin(), crash.tasks_.end());
  }
  PlaceJobsOf(affected, aNow);
}

void
JobScheduler::OnLateOrders(MemberId aSidecar,
                           const LateOrders& aOrders,
                           MonoTime aNow)
{
  DetectSuspension(aNow);
  for (const LateOrder& order : aOrders.orders_) {
    NoteUpstreamNumber(aSidecar, order);
  }
  PlaceJobsOf(lateOrders_.Record(aSidecar, aOrders, aNow), aNow);
}

void
JobScheduler::NoteUpstreamNumber(MemberId aSidecar, const LateOrder& aOrder)
{
  const Task* task = FindTask(aOrder.task_);
  const auto sidecar = sidecars_.find(aSidecar);
  if (task == nullptr || sidecar == sidecars_.end() ||
      aOrder.state_ == LateOrderState::Settled || aOrder.upstreamNumber_ == 0) {
    return;
  }
  const auto run = sidecar->second.runs_.find({ aOrder.task_, task->run_ });
  if (run != sidecar->second.runs_.end() && !run->second.inherited_) {
    run->second.upstreamNumber_ = aOrder.upstreamNumber_;
  }
}

void
JobScheduler::PlaceJobsOf(const std::vector<JobTaskId>& aTasks, MonoTime aNow)
{
  std::set<JobInstance> instances;
  for (const JobTaskId& task : aTasks) {
    instances.insert(InstanceOf(task));
  }
  for (const JobInstance& instance : instances) {
    if (Job* job = FindJob(instance)) {
      PlaceJob(*job, aNow);
    }
  }
}

StartLimit
JobScheduler::LimitOf(const JobTaskId& aTaskId) const
{
  if (crashes_.SuspicionOf(aTaskId) == CrashSuspicion::Held) {
    return { .where_ = StartLimit::Where::Nowhere };
  }
  return lateOrders_.LimitOf(aTaskId);
}

void
JobScheduler::RecordLostOrder(MemberId aSidecar,
                              const RunKey& aKey,
                              const OrderedRun& aRun,
                              bool aReplaced,
                              MonoTime aNow)
{
  const LostOrder lost{ .task_ = aKey.task_,
                        .upstreamNumber_ = aRun.upstreamNumber_,
                        .replaced_ = aReplaced };
  const Job* job = FindJob(InstanceOf(aKey.task_));
  const Task* task = FindTask(aKey.task_);
  if (task == nullptr || task->run_ != aKey.run_) {
    // The job has been dropped, and may have been submitted again since.
    lateOrders_.RecordLost(aSidecar, lost, aNow + options_.maxOrderDelay_);
    return;
  }
  // The order may have waited in the sidecar; a stored task must not wait for
  // longer than its own limit.
  const Millis delay = job->stored_
                         ? options_.maxStoredOrderDelay_
                         : options_.startTimeout_ + options_.maxOrderDelay_;
  const MonoTime until = task->sentAt_ + delay;
  if (aNow < until) {
    lateOrders_.RecordLost(aSidecar, lost, until);
  }
}

bool
JobScheduler::MustRunAlone(const JobTaskId& aTaskId,
                           const StepSpec& aStep,
                           const Task& aTask) const
{
  const bool isShort =
    !aStep.longRunning_ && aStep.estimate_ <= options_.maxIsolatedRun_;
  return isShort && !aStep.gang_ && !aTask.couldNotRunAlone_ &&
         crashes_.SuspicionOf(aTaskId) == CrashSuspicion::Suspect;
}

void
JobScheduler::ChooseIsolating(std::vector<Candidate>& aCandidates) const
{
  // Candidates are ordered by id, which is the same for all entries.
  const auto count = static_cast<size_t>(std::ceil(
    static_cast<double>(aCandidates.size()) * options_.isolationShare_));
  for (size_t i = 0; i < count; ++i) {
    aCandidates[i].isolates_ = true;
  }
}

bool
JobScheduler::HasLimitedTask(const Job& aJob, uint32_t aStep) const
{
  const auto count = static_cast<uint32_t>(aJob.steps_[aStep].tasks_.size());
  for (uint32_t i = 0; i < count; ++i) {
    const StartLimit limit =
      LimitOf({ aJob.spec_.id_, aJob.occurrence_, aStep, i });
    if (limit.where_ != StartLimit::Where::Anywhere) {
      return true;
    }
  }
  return false;
}

bool
JobScheduler::FailIfCrashing(Job& aJob)
{
  const auto crashing =
    crashes_.FindConfirmed(aJob.spec_.id_, aJob.occurrence_);
  const Task* task = crashing ? FindTask(*crashing) : nullptr;
  if (task == nullptr || task->state_ == TaskState::Done) {
    return false;
  }
  const size_t crashes = crashes_.CrashesUnder(*crashing);
  actions_.emplace_back(
    CrashingTaskEvent{ *crashing, aJob.queue_.name_, crashes });
  std::string reason =
    std::to_string(crashes) + " upstreams crashed under " + ToString(*crashing);
  if (const size_t unanswered = crashes_.UnansweredUnder(*crashing)) {
    reason +=
      ", " + std::to_string(unanswered) + " without an answer to its order";
  }
  Finish(aJob, JobOutcome::Failed, reason);
  return true;
}

} // namespace cornelfront
