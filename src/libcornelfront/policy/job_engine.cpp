#include "cornelfront/job_engine.h"

#include "policy/job_engine_pvt.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cornelfront {
namespace {

constexpr std::array<std::string_view, 4> kOutcomes = {
  "completed",
  "failed",
  "refused",
  "given_up",
};

} // namespace

std::string_view
ToString(JobOutcome aOutcome)
{
  return kOutcomes.at(static_cast<size_t>(aOutcome));
}

JobEngine::JobEngine(JobEngineOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
JobEngine::Submit(JobTicket aTicket,
                  const JobDescription& aJob,
                  const JobQueue& aQueue,
                  MonoTime aDeadline,
                  MonoTime aNow)
{
  CheckPause(aNow);
  if (Reattach(aTicket, aJob.id_, aDeadline)) {
    return;
  }
  const JobInstance instance{ aJob.id_ };
  Job& job = jobs_[instance];
  job.ticket_ = aTicket;
  job.spec_ = aJob;
  job.queue_ = aQueue;
  job.submitted_ = aNow;
  job.deadline_ = aDeadline;
  tickets_[aTicket] = instance;
  for (const StepSpec& step : aJob.steps_) {
    job.steps_.push_back(
      { .tasks_ = std::vector<Task>(step.count_), .open_ = step.count_ });
  }
  if (RefuseAtOnce(job, aNow)) {
    return;
  }
  UnblockSteps(job);
  UpdateGoal(job);
  Place(job, aNow);
}

bool
JobEngine::RefuseAtOnce(Job& aJob, MonoTime aNow)
{
  if (!CanEverRun(aJob)) {
    Finish(aJob,
           JobOutcome::Refused,
           "no upstream of " + aJob.queue_.service_ + " can run it",
           options_.refusalRetry_);
    return true;
  }
  const double wait = AdmissionWaitMs(aJob);
  const double admitted = SlackMs(aJob) * options_.admittedWait_;
  if (wait <= admitted && aNow + FromMs(wait) < aJob.deadline_) {
    return false;
  }
  Finish(aJob,
         JobOutcome::Refused,
         "predicted wait of " + std::to_string(std::lround(wait)) +
           " ms exceeds " + std::to_string(std::lround(admitted)) + " ms",
         std::max(FromMs(wait), options_.refusalRetry_));
  return true;
}

bool
JobEngine::Reattach(JobTicket aTicket,
                    const std::string& aJob,
                    MonoTime aDeadline)
{
  const JobInstance instance{ aJob };
  Job* job = FindJob(instance);
  if (job == nullptr || job->stored_) {
    return false;
  }
  actions_.emplace_back(AnswerJob{ .ticket_ = job->ticket_,
                                   .outcome_ = JobOutcome::GivenUp,
                                   .reason_ = "submitted again" });
  tickets_.erase(job->ticket_);
  job->ticket_ = aTicket;
  job->deadline_ = aDeadline;
  tickets_[aTicket] = instance;
  return true;
}

void
JobEngine::Abandon(JobTicket aTicket, MonoTime aNow)
{
  CheckPause(aNow);
  const auto found = tickets_.find(aTicket);
  if (found != tickets_.end()) {
    Drop(jobs_.at(found->second));
  }
}

bool
JobEngine::Cancel(const std::string& aJob, MonoTime aNow)
{
  CheckPause(aNow);
  std::vector<JobInstance> instances;
  for (auto job = jobs_.lower_bound({ aJob });
       job != jobs_.end() && job->first.job_ == aJob;
       ++job) {
    instances.push_back(job->first);
  }
  for (const JobInstance& instance : instances) {
    Job& job = jobs_.at(instance);
    if (job.stored_) {
      OnSaved(std::exchange(job.unsaved_, {}));
      Drop(job);
    } else {
      Finish(job, JobOutcome::GivenUp, "cancelled");
    }
  }
  return !instances.empty();
}

void
JobEngine::SetZonesOut(std::set<std::string> aZones, MonoTime aNow)
{
  CheckPause(aNow);
  zonesOut_ = std::move(aZones);
  PlaceWaiting(aNow);
}

void
JobEngine::OnSidecar(MemberId aSidecar, const std::string& aZone, MonoTime aNow)
{
  CheckPause(aNow);
  Sidecar& sidecar = sidecars_[aSidecar];
  sidecar.zone_ = aZone;
  sidecar.linked_ = true;
  sidecar.report_ = {};
  sidecar.ordersSent_ = 0;
  sidecar.unreported_.clear();
}

void
JobEngine::OnSuccessor(MemberId aSidecar, MemberId aSuccessor, MonoTime aNow)
{
  CheckPause(aNow);
  const auto old = sidecars_.find(aSidecar);
  if (old == sidecars_.end()) {
    return;
  }
  for (const RunKey& key : old->second.runs_) {
    sidecars_[aSuccessor].runs_.insert(key);
    Task* task = FindTask(key.task_);
    if (task != nullptr && task->sidecar_ == aSidecar) {
      task->sidecar_ = aSuccessor;
    }
  }
  sidecars_.erase(aSidecar);
}

void
JobEngine::OnHeld(MemberId aSidecar,
                  const HeldRuns& aHeld,
                  RunEnd aMissing,
                  MonoTime aNow)
{
  CheckPause(aNow);
  for (const RunReport& report : aHeld.reports_) {
    OnEnd(aSidecar, report, aNow);
  }
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar == sidecars_.end()) {
    return;
  }
  const std::set<RunKey> held(aHeld.runs_.begin(), aHeld.runs_.end());
  std::vector<RunKey> missing;
  std::set_difference(sidecar->second.runs_.begin(),
                      sidecar->second.runs_.end(),
                      held.begin(),
                      held.end(),
                      std::back_inserter(missing));
  for (const RunKey& key : missing) {
    OnEnd(aSidecar, { .key_ = key, .end_ = aMissing }, aNow);
  }
  for (const RunKey& key : aHeld.runs_) {
    Adopt(aSidecar, key, aNow);
  }
}

JobEngine::Task*
JobEngine::FindTask(const TaskName& aName)
{
  Job* job = FindJob(InstanceOf(aName));
  if (job == nullptr || aName.step_ >= job->steps_.size() ||
      aName.index_ >= job->steps_[aName.step_].tasks_.size()) {
    return nullptr;
  }
  return &job->steps_[aName.step_].tasks_[aName.index_];
}

void
JobEngine::OnSidecarLost(MemberId aSidecar, MonoTime aNow)
{
  CheckPause(aNow);
  const auto found = sidecars_.find(aSidecar);
  if (found == sidecars_.end()) {
    return;
  }
  found->second.linked_ = false;
  found->second.lostAt_ = aNow;
}

void
JobEngine::Tick(MonoTime aNow)
{
  CheckPause(aNow);
  ForgetSlowness(std::chrono::duration_cast<Millis>(aNow - lastTick_));
  lastTick_ = aNow;
  std::vector<MemberId> lost;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!sidecar.linked_ && aNow - sidecar.lostAt_ >= options_.lostRunsEnd_) {
      lost.push_back(id);
    }
  }
  for (const MemberId id : lost) {
    const bool storedToo =
      aNow - sidecars_.at(id).lostAt_ >= options_.lostStoredRunsEnd_;
    LoseRuns(id, storedToo, aNow);
    if (sidecars_.at(id).runs_.empty()) {
      sidecars_.erase(id);
    }
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
JobEngine::TakeActions()
{
  for (const JobInstance& instance : unsaved_) {
    Save(jobs_.at(instance), std::nullopt, "");
  }
  unsaved_.clear();
  return std::exchange(actions_, {});
}

size_t
JobEngine::Pending(const std::string& aQueue) const
{
  return static_cast<size_t>(
    std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& aJob) {
      return aJob.second.queue_.name_ == aQueue && !aJob.second.anySent_ &&
             !aJob.second.stored_;
    }));
}

bool
JobEngine::HasReadyUpstream() const
{
  return std::any_of(
    sidecars_.begin(), sidecars_.end(), [](const auto& aSidecar) {
      return aSidecar.second.linked_ && aSidecar.second.report_.ready_;
    });
}

bool
JobEngine::Owes(MemberId aSidecar) const
{
  const auto found = sidecars_.find(aSidecar);
  return found != sidecars_.end() && !found->second.runs_.empty();
}

void
JobEngine::CheckPause(MonoTime aNow)
{
  const bool paused = called_ && aNow - lastCall_ > options_.longestPause_;
  called_ = true;
  lastCall_ = aNow;
  if (!paused) {
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

JobEngine::Job*
JobEngine::FindJob(const JobInstance& aInstance)
{
  const auto found = jobs_.find(aInstance);
  return found == jobs_.end() ? nullptr : &found->second;
}

void
JobEngine::UnblockSteps(Job& aJob)
{
  for (size_t i = 0; i < aJob.steps_.size(); ++i) {
    const auto& after = aJob.spec_.steps_[i].after_;
    const bool ready =
      std::all_of(after.begin(), after.end(), [&](uint32_t aEarlier) {
        return aJob.steps_[aEarlier].open_ == 0;
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
JobEngine::GiveUp(Job& aJob, const std::string& aReason)
{
  const bool outstanding =
    std::any_of(aJob.steps_.begin(), aJob.steps_.end(), [](const Step& aStep) {
      return std::any_of(
        aStep.tasks_.begin(), aStep.tasks_.end(), [](const Task& aTask) {
          return aTask.state_ == TaskState::Sent;
        });
    });
  const bool notRun = !aJob.mayHaveRun_ && !outstanding;
  Finish(aJob,
         notRun ? JobOutcome::Refused : JobOutcome::GivenUp,
         aReason,
         options_.refusalRetry_);
}

void
JobEngine::Finish(Job& aJob,
                  JobOutcome aOutcome,
                  const std::string& aReason,
                  Millis aRetryAfter)
{
  if (aJob.stored_) {
    unsaved_.erase(InstanceOf(aJob));
    Save(aJob, aOutcome, aReason);
    Drop(aJob);
    return;
  }
  actions_.emplace_back(AnswerJob{ .ticket_ = aJob.ticket_,
                                   .outcome_ = aOutcome,
                                   .reason_ = aReason,
                                   .retryAfter_ = aRetryAfter });
  Drop(aJob);
}

void
JobEngine::Drop(Job& aJob)
{
  std::map<MemberId, StopRuns> stops;
  for (uint32_t s = 0; s < aJob.steps_.size(); ++s) {
    auto& tasks = aJob.steps_[s].tasks_;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      if (tasks[i].state_ == TaskState::Sent) {
        stops[tasks[i].sidecar_].runs_.push_back(
          { { aJob.spec_.id_, aJob.occurrence_, s, i }, tasks[i].run_ });
      }
    }
  }
  for (auto& [id, stop] : stops) {
    actions_.emplace_back(SendStops{ id, std::move(stop) });
  }
  const JobInstance id = InstanceOf(aJob);
  waiting_.erase(RankOf(aJob));
  unsaved_.erase(id);
  if (!aJob.stored_) {
    tickets_.erase(aJob.ticket_);
  }
  jobs_.erase(id);
}

} // namespace cornelfront
