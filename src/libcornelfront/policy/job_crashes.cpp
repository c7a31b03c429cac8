/// \file
/// JobScheduler: jobs with tasks under which upstreams crash.

#include "cornelfront/job_scheduler.h"

#include <cmath>

namespace cornelfront {

void
JobScheduler::OnUpstreamCrashes(MemberId aSidecar,
                                const UpstreamCrashes& aCrashes,
                                MonoTime aNow)
{
  DetectSuspension(aNow);
  std::set<JobInstance> affected;
  for (const UpstreamCrash& crash : aCrashes.crashes_) {
    crashes_.Record(aSidecar, crash, aNow);
    for (const JobTaskId& task : crash.tasks_) {
      affected.insert(InstanceOf(task));
    }
  }
  for (const JobInstance& instance : affected) {
    if (Job* job = FindJob(instance)) {
      PlaceJob(*job, aNow);
    }
  }
}

bool
JobScheduler::IsHeld(const JobTaskId& aTaskId) const
{
  return crashes_.SuspicionOf(aTaskId) == CrashSuspicion::Held;
}

bool
JobScheduler::MustRunAlone(const JobTaskId& aTaskId,
                           const StepSpec& aStep) const
{
  const bool isShort =
    !aStep.longRunning_ && aStep.estimate_ <= options_.maxIsolatedRun_;
  return isShort && !aStep.gang_ &&
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
JobScheduler::HasHeldTask(const Job& aJob, uint32_t aStep) const
{
  const auto count = static_cast<uint32_t>(aJob.steps_[aStep].tasks_.size());
  for (uint32_t i = 0; i < count; ++i) {
    if (IsHeld({ aJob.spec_.id_, aJob.occurrence_, aStep, i })) {
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
  Finish(aJob,
         JobOutcome::Failed,
         std::to_string(crashes) + " upstreams crashed under " +
           ToString(*crashing));
  return true;
}

} // namespace cornelfront
