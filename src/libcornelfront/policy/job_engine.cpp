#include "cornelfront/job_engine.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace cornelfront {
namespace {

constexpr std::array<std::string_view, 4> kOutcomes = {
  "completed",
  "failed",
  "refused",
  "given_up",
};

/// Weights of the newest value in smoothed figures.
constexpr double kDurationWeight = 0.05;
constexpr double kSlownessWeight = 0.15;
constexpr double kFailureWeight = 0.25;

/// Run numbers that an earlier leader may have used without leaving a trace.
constexpr uint32_t kTakeoverRuns = 100;

/// Share of failed runs above which an upstream is avoided.
constexpr double kEjectionShare = 0.6;

/// Weight in milliseconds of an upstream's utilisation, so that equals are
/// filled evenly.
constexpr double kUtilisationMs = 10.0;

double
Smooth(double aOld, double aNew, double aWeight)
{
  return aOld + (aNew - aOld) * aWeight;
}

double
ToMs(MonoClock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

Millis
FromMs(double aMs)
{
  return Millis(static_cast<int64_t>(std::llround(aMs)));
}

bool
Contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

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
  job.goal_ = aNow + FromMs(SlackMs(job, job.spec_.steps_.front()));
  if (RefuseAtOnce(job, aNow)) {
    return;
  }
  UnblockSteps(job);
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
  const StepSpec& first = aJob.spec_.steps_.front();
  const double wait = AdmissionWaitMs(aJob);
  const double admitted = SlackMs(aJob, first) * options_.admittedWait_;
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
JobEngine::Lead(uint64_t aTerm, MonoTime aNow)
{
  CheckPause(aNow);
  term_ = aTerm;
  hasAuthority_ = true;
  takingOver_ = true;
}

void
JobEngine::Follow(MonoTime aNow)
{
  CheckPause(aNow);
  term_ = 0;
  hasAuthority_ = false;
  unsaved_.clear();
  saving_.clear();
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    if (!job->second.stored_) {
      ++job;
      continue;
    }
    waiting_.erase(RankOf(job->second));
    job = jobs_.erase(job);
  }
  // The new leader takes the runs over; they are no business of this one.
  for (auto& [id, sidecar] : sidecars_) {
    std::erase_if(sidecar.runs_, [this](const RunKey& aKey) {
      return !jobs_.contains(InstanceOf(aKey.task_));
    });
  }
}

void
JobEngine::SetAuthority(bool aHasAuthority, MonoTime aNow)
{
  CheckPause(aNow);
  if (hasAuthority_ == aHasAuthority || term_ == 0) {
    return;
  }
  hasAuthority_ = aHasAuthority;
  if (hasAuthority_) {
    PlaceWaiting(aNow);
    return;
  }
  for (auto& [instance, job] : jobs_) {
    for (uint32_t s = 0; job.stored_ && s < job.steps_.size(); ++s) {
      auto& tasks = job.steps_[s].tasks_;
      for (uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].state_ == TaskState::Sent) {
          StopRun({ instance.job_, instance.occurrence_, s, i }, tasks[i]);
        }
      }
    }
  }
}

void
JobEngine::SetTakingOver(bool aTakingOver, MonoTime aNow)
{
  CheckPause(aNow);
  takingOver_ = aTakingOver;
  if (!takingOver_) {
    for (auto& [instance, job] : jobs_) {
      job.fromEarlierLeader_ = false;
    }
    PlaceWaiting(aNow);
  }
}

void
JobEngine::Restore(const JobDescription& aJob,
                   uint32_t aOccurrence,
                   const JobQueue& aQueue,
                   const JobProgress& aProgress,
                   Millis aAge,
                   bool aFromEarlierLeader,
                   MonoTime aNow)
{
  CheckPause(aNow);
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
  job.goal_ = job.submitted_ + FromMs(SlackMs(job, job.spec_.steps_.front()));
  job.deadline_ = MonoTime::max();
  for (size_t s = 0; s < aJob.steps_.size(); ++s) {
    const uint32_t count = aJob.steps_[s].count_;
    Step step{ .tasks_ = std::vector<Task>(count), .open_ = count };
    for (size_t i = 0; i < count; ++i) {
      Task& task = step.tasks_[i];
      if (s < aProgress.size() && i < aProgress[s].size()) {
        task.failures_ = aProgress[s][i].failures_;
        task.endedRun_ = aProgress[s][i].endedRun_;
        if (aProgress[s][i].done_) {
          task.state_ = TaskState::Done;
          --step.open_;
        }
      }
      task.run_ = task.endedRun_ + (aFromEarlierLeader ? kTakeoverRuns : 0);
    }
    job.steps_.push_back(std::move(step));
  }
  UnblockSteps(job);
  Place(job, aNow);
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

void
JobEngine::OnTakenOver(MemberId aSidecar, const HeldRuns& aHeld, MonoTime aNow)
{
  CheckPause(aNow);
  if (!sidecars_.contains(aSidecar)) {
    return;
  }
  for (const RunReport& report : aHeld.reports_) {
    OnEnd(aSidecar, report, aNow);
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
JobEngine::Adopt(MemberId aSidecar, const RunKey& aKey, MonoTime aNow)
{
  Sidecar& sidecar = sidecars_.at(aSidecar);
  if (sidecar.runs_.contains(aKey)) {
    return;
  }
  Task* task = FindTask(aKey.task_);
  Job* job = FindJob(InstanceOf(aKey.task_));
  const bool wanted =
    task != nullptr && job->stored_ && aKey.run_ > task->endedRun_ &&
    (task->state_ == TaskState::Ready || task->state_ == TaskState::Blocked);
  sidecar.runs_.insert(aKey);
  if (!wanted) {
    actions_.emplace_back(SendStops{ aSidecar, { { aKey } } });
    return;
  }
  task->state_ = TaskState::Sent;
  task->run_ = aKey.run_;
  task->sidecar_ = aSidecar;
  task->sent_ = aNow;
  task->stopSent_ = false;
  job->anySent_ = true;
  job->mayHaveRun_ = true;
}

void
JobEngine::OnReports(MemberId aSidecar,
                     const RunReports& aReports,
                     MonoTime aNow)
{
  CheckPause(aNow);
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
  sidecar.report_ = aReports.upstream_;
  while (!sidecar.unreported_.empty() && sidecar.unreported_.front().number_ <=
                                           aReports.upstream_.ordersReceived_) {
    sidecar.unreported_.pop_front();
  }
  for (const RunReport& report : aReports.reports_) {
    OnEnd(aSidecar, report, aNow);
  }
  for (const RunKey& key : aReports.started_) {
    if (Job* job = FindJob(InstanceOf(key.task_))) {
      job->begun_ = true;
    }
  }
  for (const StalledRun& stalled : aReports.stalled_) {
    OnStalled(aSidecar, stalled);
  }
  PlaceWaiting(aNow);
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
  std::vector<MemberId> ended;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!sidecar.linked_ && aNow - sidecar.lostAt_ >= options_.lostRunsEnd_) {
      ended.push_back(id);
    }
  }
  for (const MemberId id : ended) {
    EndRuns(id, RunEnd::Lost, aNow);
    sidecars_.erase(id);
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

void
JobEngine::Save(Job& aJob,
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
JobEngine::OnSaved(const std::vector<KeptEnd>& aEnds)
{
  std::map<MemberId, ForgetEnds> forget;
  for (const KeptEnd& end : aEnds) {
    saving_.erase(end.key_);
    forget[end.sidecar_].runs_.push_back(end.key_);
  }
  for (auto& [id, ends] : forget) {
    actions_.emplace_back(SendForget{ id, std::move(ends) });
  }
}

JobProgress
JobEngine::Progress(const JobInstance& aInstance) const
{
  const auto found = jobs_.find(aInstance);
  return found == jobs_.end() ? JobProgress{} : ProgressOf(found->second);
}

JobProgress
JobEngine::ProgressOf(const Job& aJob)
{
  JobProgress progress;
  for (const Step& step : aJob.steps_) {
    auto& tasks = progress.emplace_back();
    for (const Task& task : step.tasks_) {
      tasks.push_back({ .done_ = task.state_ == TaskState::Done,
                        .failures_ = task.failures_,
                        .endedRun_ = task.endedRun_ });
    }
  }
  return progress;
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
JobEngine::HasBegun(const JobInstance& aInstance) const
{
  const auto found = jobs_.find(aInstance);
  return found != jobs_.end() && found->second.begun_;
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
JobEngine::Place(Job& aJob, MonoTime aNow)
{
  if (!MayPlace(aJob)) {
    waiting_.insert(RankOf(aJob));
    return;
  }
  waiting_.erase(RankOf(aJob));
  for (uint32_t step = 0; step < aJob.steps_.size(); ++step) {
    PlaceStep(aJob, step, aNow);
  }
}

bool
JobEngine::MayPlace(const Job& aJob) const
{
  return !aJob.stored_ ||
         (hasAuthority_ && !(takingOver_ && aJob.fromEarlierLeader_));
}

void
JobEngine::PlaceStep(Job& aJob, uint32_t aStep, MonoTime aNow)
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
  std::map<MemberId, StartRuns> orders;
  for (uint32_t index = 0; index < step.tasks_.size(); ++index) {
    Task& task = step.tasks_[index];
    if (task.state_ != TaskState::Ready) {
      continue;
    }
    const auto sidecar = Choose(aJob, aStep, task, aNow);
    if (sidecar == sidecars_.end()) {
      waiting_.insert(RankOf(aJob));
      continue;
    }
    ++task.run_;
    task.state_ = TaskState::Sent;
    task.sidecar_ = sidecar->first;
    task.sent_ = aNow;
    task.stopSent_ = false;
    aJob.anySent_ = true;
    StartRuns& order = orders[sidecar->first];
    order.runs_.push_back({ index, task.run_ });
    NoteSent(sidecar->second,
             spec,
             { { aJob.spec_.id_, aJob.occurrence_, aStep, index }, task.run_ });
  }
  for (auto& [id, order] : orders) {
    order.job_ = aJob.spec_.id_;
    order.occurrence_ = aJob.occurrence_;
    order.step_ = aStep;
    order.term_ = aJob.stored_ ? term_ : 0;
    order.payload_ = aJob.spec_.payload_;
    order.service_ = aJob.queue_.service_;
    order.room_ = spec.room_;
    order.priority_ = aJob.queue_.priority_;
    order.estimate_ = FromMs(ExpectedRunMs(aJob, spec));
    order.startWithin_ =
      std::min(options_.startWithin_,
               std::chrono::duration_cast<Millis>(aJob.deadline_ - aNow));
    actions_.emplace_back(SendRuns{ id, std::move(order) });
  }
}

void
JobEngine::PlaceWaiting(MonoTime aNow)
{
  if (waiting_.empty() || aNow - placedAt_ < options_.placeInterval_) {
    return;
  }
  placedAt_ = aNow;
  PlaceWaiting(false, aNow);
  PlaceWaiting(true, aNow);
}

void
JobEngine::PlaceWaiting(bool aLate, MonoTime aNow)
{
  // What does not fit now is likely to hold for those behind it.
  constexpr int kMostFailures = 8;
  constexpr size_t kMostTried = 64;
  int failures = 0;
  std::vector<JobInstance> tried;
  for (const WaitRank& rank : waiting_) {
    if ((rank.goal_ < aNow) == aLate) {
      tried.push_back(rank.instance_);
    }
    if (tried.size() >= kMostTried) {
      break;
    }
  }
  for (const JobInstance& instance : tried) {
    Job& job = jobs_.at(instance);
    Place(job, aNow);
    if (waiting_.contains(RankOf(job)) && ++failures >= kMostFailures) {
      return;
    }
  }
}

void
JobEngine::NoteSent(Sidecar& aSidecar,
                    const StepSpec& aStep,
                    const RunKey& aKey)
{
  aSidecar.runs_.insert(aKey);
  aSidecar.unreported_.push_back(
    { .number_ = ++aSidecar.ordersSent_,
      .room_ = aStep.room_,
      .work_ = aStep.room_.cpu_ * aStep.estimate_.count() });
}

JobEngine::Sidecars::iterator
JobEngine::Choose(const Job& aJob,
                  uint32_t aStep,
                  const Task& aTask,
                  MonoTime aNow)
{
  const StepSpec& spec = aJob.spec_.steps_[aStep];
  auto best = sidecars_.end();
  double bestCost = std::numeric_limits<double>::max();
  bool bestAvoided = true;
  for (auto it = sidecars_.begin(); it != sidecars_.end(); ++it) {
    const Sidecar& sidecar = it->second;
    if (!Usable(sidecar, aJob, spec) || LeavesNoPlace(it->first, aJob, aStep)) {
      continue;
    }
    const bool avoided =
      aNow < sidecar.avoidUntil_ || aTask.avoid_.contains(it->first);
    const double cost = CostMs(sidecar, aJob, spec);
    if (aJob.stored_ &&
        WaitMs(sidecar, aJob, spec) > ToMs(options_.longestQueue_)) {
      continue;
    }
    if (std::tie(avoided, cost) < std::tie(bestAvoided, bestCost)) {
      best = it;
      bestCost = cost;
      bestAvoided = avoided;
    }
  }
  return best;
}

bool
JobEngine::Usable(const Sidecar& aSidecar,
                  const Job& aJob,
                  const StepSpec& aStep) const
{
  const UpstreamReport& report = aSidecar.report_;
  return aSidecar.linked_ && report.ready_ &&
         report.service_ == aJob.queue_.service_ &&
         report.capacity_.Holds(aStep.room_) &&
         !zonesOut_.contains(aSidecar.zone_) &&
         (aStep.requiredLabel_.empty() ||
          Contains(report.labels_, aStep.requiredLabel_));
}

bool
JobEngine::LeavesNoPlace(MemberId aSidecar,
                         const Job& aJob,
                         uint32_t aStep) const
{
  const uint32_t limit = aJob.spec_.steps_[aStep].maxPerUpstream_;
  if (limit == 0) {
    return false;
  }
  const auto& tasks = aJob.steps_[aStep].tasks_;
  const auto there =
    std::count_if(tasks.begin(), tasks.end(), [&](const Task& aTask) {
      return aTask.state_ == TaskState::Sent && aTask.sidecar_ == aSidecar;
    });
  return there >= static_cast<std::ptrdiff_t>(limit);
}

double
JobEngine::WaitMs(const Sidecar& aSidecar,
                  const Job& aJob,
                  const StepSpec& aStep) const
{
  const UpstreamReport& report = aSidecar.report_;
  if (FreeSlots(aSidecar, aStep.room_) > 0) {
    return 0.0;
  }
  const int64_t work = WorkAhead(aSidecar, aJob.queue_.priority_);
  const auto cpu =
    static_cast<double>(std::max<int64_t>(report.capacity_.cpu_, 1));
  // Room for one task falls free each time that share of the work is done.
  const double next =
    static_cast<double>(aStep.room_.cpu_) * aSidecar.runMs_ / cpu;
  return next + static_cast<double>(work) * aSidecar.slowness_ / cpu;
}

double
JobEngine::CostMs(const Sidecar& aSidecar,
                  const Job& aJob,
                  const StepSpec& aStep) const
{
  const UpstreamReport& report = aSidecar.report_;
  double run = ExpectedRunMs(aJob, aStep) * aSidecar.slowness_;
  if (!aStep.preferredRack_.empty() &&
      !Contains(report.labels_, aStep.preferredRack_)) {
    run *= options_.otherRackFactor_;
  }
  const double utilisation =
    static_cast<double>(CommittedRoom(aSidecar).cpu_) /
    static_cast<double>(std::max<int64_t>(report.capacity_.cpu_, 1));
  const double distance = aSidecar.zone_ == options_.zone_
                            ? 0.0
                            : static_cast<double>(options_.otherZone_.count());
  return WaitMs(aSidecar, aJob, aStep) + run + distance +
         utilisation * kUtilisationMs;
}

double
JobEngine::ExpectedRunMs(const Job& aJob, const StepSpec& aStep) const
{
  const auto estimate = static_cast<double>(aStep.estimate_.count());
  const auto found = durations_.find(aJob.queue_.name_);
  if (found == durations_.end() || !found->second.known_) {
    return estimate;
  }
  return estimate > 0 ? (estimate + found->second.meanMs_) / 2
                      : found->second.meanMs_;
}

double
JobEngine::SlackMs(const Job& aJob, const StepSpec& aStep) const
{
  return ExpectedRunMs(aJob, aStep) * (aJob.queue_.stretch_ - 1.0) +
         static_cast<double>(aJob.queue_.slo_.count());
}

double
JobEngine::AdmissionWaitMs(const Job& aJob) const
{
  const StepSpec& step = aJob.spec_.steps_.front();
  int64_t slots = 0;
  double cpu = 0.0;
  double work = 0.0;
  for (const auto& [id, sidecar] : sidecars_) {
    if (!Usable(sidecar, aJob, step)) {
      continue;
    }
    cpu += static_cast<double>(sidecar.report_.capacity_.cpu_);
    const int64_t free = FreeSlots(sidecar, step.room_);
    slots += free;
    if (free == 0) {
      work += static_cast<double>(WorkAhead(sidecar, aJob.queue_.priority_));
    }
  }
  const int64_t missing = static_cast<int64_t>(step.count_) - slots;
  if (missing <= 0 || cpu <= 0.0) {
    return 0.0;
  }
  const double own =
    static_cast<double>(missing * step.room_.cpu_) * ExpectedRunMs(aJob, step);
  return (work + own) / cpu;
}

Room
JobEngine::CommittedRoom(const Sidecar& aSidecar)
{
  Room committed = aSidecar.report_.committed_;
  for (const Sidecar::Order& order : aSidecar.unreported_) {
    committed += order.room_;
  }
  return committed;
}

int64_t
JobEngine::FreeSlots(const Sidecar& aSidecar, const Room& aRoom)
{
  Room free = aSidecar.report_.capacity_;
  free -= CommittedRoom(aSidecar);
  int64_t slots = std::numeric_limits<int64_t>::max();
  const auto limit = [&slots](int64_t aFree, int64_t aNeeded) {
    if (aNeeded > 0) {
      slots = std::min(slots, std::max<int64_t>(aFree, 0) / aNeeded);
    }
  };
  limit(free.cpu_, aRoom.cpu_);
  limit(free.memoryMb_, aRoom.memoryMb_);
  limit(free.gpus_, aRoom.gpus_);
  // A task that requests nothing always fits.
  return std::min<int64_t>(slots, kMaxTasksPerJob);
}

int64_t
JobEngine::WorkAhead(const Sidecar& aSidecar, uint8_t aPriority)
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
JobEngine::CanEverRun(const Job& aJob) const
{
  const auto& steps = aJob.spec_.steps_;
  return std::all_of(steps.begin(), steps.end(), [&](const StepSpec& aStep) {
    return std::any_of(
      sidecars_.begin(), sidecars_.end(), [&](const auto& aSidecar) {
        return Usable(aSidecar.second, aJob, aStep);
      });
  });
}

void
JobEngine::OnEnd(MemberId aSidecar, const RunReport& aReport, MonoTime aNow)
{
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar == sidecars_.end()) {
    return;
  }
  const bool known = sidecar->second.runs_.erase(aReport.key_) > 0;
  const TaskName& name = aReport.key_.task_;
  Job* job = FindJob(InstanceOf(name));
  Task* found = FindTask(name);
  const bool current = known && found != nullptr &&
                       found->state_ == TaskState::Sent &&
                       found->run_ == aReport.key_.run_;
  if (!current) {
    OnStoredEnd(aSidecar, aReport, aNow);
    return;
  }
  Task& task = *found;
  NoteUnsaved(*job, aSidecar, aReport, task);
  Learn(sidecar->second, *job, aReport, aNow);
  job->mayHaveRun_ |= aReport.end_ != RunEnd::NotStarted;
  if (aReport.end_ == RunEnd::Done) {
    Millis& longest = job->steps_[name.step_].longestRun_;
    longest = std::max(longest, aReport.runTime_);
    OnTaskDone(*job, name, aNow);
    return;
  }
  task.state_ = TaskState::Ready;
  task.avoid_.insert(aSidecar);
  if (aReport.end_ == RunEnd::Failed) {
    OnTaskFailed(*job, name, aNow);
    return;
  }
  if (job->spec_.steps_[name.step_].gang_) {
    RestartGang(*job, name.step_);
  }
  Place(*job, aNow);
}

void
JobEngine::NoteUnsaved(Job& aJob,
                       MemberId aSidecar,
                       const RunReport& aReport,
                       Task& aTask)
{
  // A run that was lost may turn out to have ended otherwise.
  if (!aJob.stored_ || aReport.end_ == RunEnd::NotStarted ||
      aReport.end_ == RunEnd::Lost) {
    return;
  }
  aTask.endedRun_ = std::max(aTask.endedRun_, aReport.key_.run_);
  if (aReport.kept_) {
    aJob.unsaved_.push_back({ aSidecar, aReport.key_ });
    saving_.insert(aReport.key_);
  }
  unsaved_.insert(InstanceOf(aJob));
}

void
JobEngine::OnStoredEnd(MemberId aSidecar,
                       const RunReport& aReport,
                       MonoTime aNow)
{
  if (!aReport.kept_ || term_ == 0) {
    return;
  }
  const TaskName& name = aReport.key_.task_;
  Job* job = FindJob(InstanceOf(name));
  Task* task = FindTask(name);
  const bool done = aReport.end_ == RunEnd::Done;
  // A task that is being run again has been done all the same.
  const bool counts = task != nullptr && job->stored_ &&
                      aReport.key_.run_ > task->endedRun_ &&
                      task->state_ != TaskState::Done &&
                      (done || task->state_ != TaskState::Sent);
  if (!counts) {
    if (!saving_.contains(aReport.key_)) {
      actions_.emplace_back(SendForget{ aSidecar, { { aReport.key_ } } });
    }
    return;
  }
  NoteUnsaved(*job, aSidecar, aReport, *task);
  if (done) {
    if (task->state_ == TaskState::Sent && !task->stopSent_) {
      StopRun(name, *task);
    }
    OnTaskDone(*job, name, aNow);
  } else if (aReport.end_ == RunEnd::Failed) {
    OnTaskFailed(*job, name, aNow);
  }
}

void
JobEngine::OnTaskDone(Job& aJob, const TaskName& aName, MonoTime aNow)
{
  Step& step = aJob.steps_[aName.step_];
  const StepSpec& spec = aJob.spec_.steps_[aName.step_];
  if (spec.longRunning_) {
    step.tasks_[aName.index_].state_ = TaskState::Ready;
    Place(aJob, aNow);
    return;
  }
  if (spec.gang_) {
    for (Task& task : step.tasks_) {
      task.state_ = TaskState::Done;
    }
    step.open_ = 0;
  } else {
    step.tasks_[aName.index_].state_ = TaskState::Done;
    --step.open_;
  }
  if (step.open_ > 0) {
    return;
  }
  const bool finished =
    std::all_of(aJob.steps_.begin(), aJob.steps_.end(), [](const Step& aStep) {
      return aStep.open_ == 0;
    });
  if (finished) {
    Finish(aJob, JobOutcome::Completed, "");
    return;
  }
  UnblockSteps(aJob);
  Place(aJob, aNow);
}

void
JobEngine::OnTaskFailed(Job& aJob, const TaskName& aName, MonoTime aNow)
{
  Task& task = aJob.steps_[aName.step_].tasks_[aName.index_];
  ++task.failures_;
  if (!aJob.spec_.steps_[aName.step_].longRunning_ &&
      task.failures_ >= aJob.queue_.attempts_) {
    Finish(aJob,
           JobOutcome::Failed,
           ToString(aName) + " failed " + std::to_string(task.failures_) +
             " times");
    return;
  }
  if (aJob.spec_.steps_[aName.step_].gang_) {
    RestartGang(aJob, aName.step_);
  }
  Place(aJob, aNow);
}

void
JobEngine::RestartGang(Job& aJob, uint32_t aStep)
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
  // All members of one run have the same number.
  for (Task& task : step.tasks_) {
    if (task.state_ != TaskState::Sent) {
      task.run_ = highest;
    }
  }
}

void
JobEngine::Learn(Sidecar& aSidecar,
                 const Job& aJob,
                 const RunReport& aReport,
                 MonoTime aNow)
{
  const bool failed = aReport.end_ == RunEnd::Failed;
  if (failed || aReport.end_ == RunEnd::Done) {
    aSidecar.failures_ =
      Smooth(aSidecar.failures_, failed ? 1.0 : 0.0, kFailureWeight);
    if (aSidecar.failures_ > kEjectionShare) {
      aSidecar.avoidUntil_ = aNow + options_.ejection_;
      aSidecar.failures_ = kEjectionShare;
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
  aSidecar.slowness_ = Smooth(aSidecar.slowness_, ratio, kSlownessWeight);
  aSidecar.runMs_ = Smooth(aSidecar.runMs_, run, kDurationWeight);
}

void
JobEngine::EndRuns(MemberId aSidecar, RunEnd aEnd, MonoTime aNow)
{
  const std::set<RunKey> runs = sidecars_.at(aSidecar).runs_;
  for (const RunKey& key : runs) {
    OnEnd(aSidecar, { .key_ = key, .end_ = aEnd }, aNow);
  }
}

void
JobEngine::OnStalled(MemberId aSidecar, const StalledRun& aStalled)
{
  const TaskName& name = aStalled.key_.task_;
  Job* job = FindJob(InstanceOf(name));
  Task* task = FindTask(name);
  const auto sidecar = sidecars_.find(aSidecar);
  if (task == nullptr || sidecar == sidecars_.end() ||
      task->state_ != TaskState::Sent || task->sidecar_ != aSidecar ||
      task->run_ != aStalled.key_.run_ || task->stopSent_ ||
      task->stalls_ >= options_.mostStalls_ ||
      job->spec_.steps_[name.step_].longRunning_ ||
      !BlamesUpstream(sidecar->second, job->steps_[name.step_], aStalled)) {
    return;
  }
  sidecar->second.slowness_ =
    std::max(sidecar->second.slowness_, options_.stalledSlowness_);
  ++task->stalls_;
  StopRun(name, *task);
}

bool
JobEngine::BlamesUpstream(const Sidecar& aSidecar,
                          const Step& aStep,
                          const StalledRun& aStalled) const
{
  // The first percent may be a matter of rounding.
  if (aStalled.percent_ <= 1 || aSidecar.slowness_ >= options_.blameFactor_) {
    return true;
  }
  constexpr double kWhole = 100.0;
  const double total = ToMs(aStalled.age_) * kWhole / aStalled.percent_;
  return aStep.longestRun_.count() > 0 &&
         total > ToMs(aStep.longestRun_) * options_.blameFactor_;
}

void
JobEngine::ForgetSlowness(Millis aElapsed)
{
  const double kept =
    std::exp(-ToMs(aElapsed) / ToMs(options_.slownessMemory_));
  for (auto& [id, sidecar] : sidecars_) {
    sidecar.slowness_ = 1.0 + (sidecar.slowness_ - 1.0) * kept;
  }
}

void
JobEngine::StopRun(const TaskName& aName, Task& aTask)
{
  aTask.stopSent_ = true;
  actions_.emplace_back(
    SendStops{ aTask.sidecar_, { { { aName, aTask.run_ } } } });
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
