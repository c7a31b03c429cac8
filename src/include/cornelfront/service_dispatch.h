#pragma once

/// \file
/// Pure state machine that runs the jobs of one service on its sidecars.

#include "cornelfront/clock.h"
#include "cornelfront/dispatch_policy.h"
#include "cornelfront/dispatcher.h"
#include "cornelfront/ids.h"
#include "cornelfront/messages.h"
#include "cornelfront/retry_budget.h"
#include "cornelfront/router.h"
#include "cornelfront/service_estimates.h"
#include "cornelfront/task_queue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cornelfront {

/// What the caller of ServiceDispatch has to carry out once it has released
/// its lock.
struct DispatchEffects
{
  struct Send
  {
    MemberId sidecar_;
    /// Link on which the message must go; if that link has ended, the
    /// message must be dropped and its tasks reported through OnNotSent.
    uint64_t link_ = 0;
    Message message_;
  };
  struct Finish
  {
    JobRunner::Done done_;
    JobResult result_;
  };

  std::vector<Send> sends_;
  std::vector<Finish> finishes_;
  /// Attempts that followed an earlier attempt of the same task.
  uint64_t retries_ = 0;
  /// Answers to tasks that are not known any more.
  uint64_t strayAnswers_ = 0;

  bool Empty() const { return sends_.empty() && finishes_.empty(); }
};

struct ServiceDispatchOptions
{
  /// This entry's incarnation, part of every task id.
  MemberId self_;
  /// Upper bits of the task serials, unique per service in this process.
  uint16_t serialPrefix_ = 0;
  RouterOptions router_;
  /// How long a task may stay without news after its link was lost.
  Millis resolveBound_{ 2000 };
  /// Attempts of one task, the first included.
  unsigned maxAttempts_ = 24;
};

/// Not thread-safe; decides without I/O. A task is sent to a second sidecar
/// only after the first proved that it did not start it, or if the job may be
/// repeated.
class ServiceDispatch
{
public:
  explicit ServiceDispatch(ServiceDispatchOptions aOptions);

  void Submit(JobSpec aJob,
              JobRunner::Done aDone,
              MonoTime aNow,
              DispatchEffects& aEffects);
  void Cancel(const std::string& aSubmission,
              MonoTime aNow,
              DispatchEffects& aEffects);

  /// News from a sidecar. The first status on a new link of a known sidecar
  /// asks for the fate of the tasks sent on earlier links.
  void OnStatus(MemberId aSidecar,
                const std::string& aZone,
                uint64_t aLink,
                const UpstreamStatus& aStatus,
                MonoTime aNow,
                DispatchEffects& aEffects);
  void OnLinkDown(MemberId aSidecar,
                  uint64_t aLink,
                  MonoTime aNow,
                  DispatchEffects& aEffects);
  void OnAnswers(MemberId aSidecar,
                 const TaskAnswers& aAnswers,
                 MonoTime aNow,
                 DispatchEffects& aEffects);
  /// The tasks of a StartTasks effect that was certainly not written.
  void OnNotSent(const std::vector<TaskId>& aTasks,
                 MonoTime aNow,
                 DispatchEffects& aEffects);
  void SetZoneIn(const std::string& aZone,
                 bool aIn,
                 MonoTime aNow,
                 DispatchEffects& aEffects);
  /// Gives up tasks whose bounds have passed; call every few milliseconds.
  void Tick(MonoTime aNow, DispatchEffects& aEffects);

  /// Expected wait of the last of \p aTasks new tasks before its start; zero
  /// while no sidecar is known.
  Millis PredictedWait(Priority aPriority, size_t aTasks, MonoTime aNow);

  /// Changes how tasks are routed from now on.
  void SetPolicy(const DispatchPolicy& aPolicy);

  size_t QueuedCount() const { return queue_.size(); }
  size_t JobCount() const { return jobs_.size(); }

private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  enum class TaskState
  {
    Queued,
    Sent,
    /// Sent on a link that was lost.
    Unresolved,
  };

  struct Task
  {
    JobPtr job_;
    uint32_t index_ = 0;
    TaskState state_ = TaskState::Queued;
    unsigned attempt_ = 1;
    MemberId sidecar_;
    std::vector<MemberId> refusedBy_;
    /// How often every candidate has refused.
    unsigned rounds_ = 0;
    /// While Unresolved: when to give up. While Sent: when even a live
    /// sidecar should have answered.
    MonoTime giveUpAt_;
  };

  struct Sidecar
  {
    std::string zone_;
    /// 0 while there is no link.
    uint64_t link_ = 0;
    LoadReport load_;
    std::unordered_set<TaskId> tasks_;
  };

  struct Job
  {
    JobSpec spec_;
    JobRunner::Done done_;
    std::vector<TaskAnswer> answers_;
    std::vector<TaskId> open_;
    size_t remaining_ = 0;
    bool finished_ = false;
  };

  using Batches = std::unordered_map<MemberId, StartTasks>;

  TaskId NextId();
  TaskId Register(Task aTask);
  void Push(TaskId aId, const Task& aTask);
  void ReleasePaused(MonoTime aNow);
  void Pump(MonoTime aNow, DispatchEffects& aEffects);
  void Assign(TaskId aId,
              Task& aTask,
              MemberId aSidecar,
              MonoTime aNow,
              Batches& aBatches,
              DispatchEffects& aEffects);
  void Flush(MemberId aSidecar, StartTasks& aBatch, DispatchEffects& aEffects);
  void Settle(TaskId aId,
              const TaskAnswer& aAnswer,
              MonoTime aNow,
              DispatchEffects& aEffects);
  bool MayRetry(const Task& aTask, const TaskAnswer& aAnswer, MonoTime aNow);
  void Learn(MemberId aSidecar, const Task& aTask, Millis aRunTime);
  void Retry(TaskId aId, MonoTime aNow, DispatchEffects& aEffects);
  void Record(const JobPtr& aJob,
              uint32_t aIndex,
              const TaskAnswer& aAnswer,
              MonoTime aNow,
              DispatchEffects& aEffects);
  void FinishJob(const JobPtr& aJob,
                 JobResult aResult,
                 DispatchEffects& aEffects);
  JobResult FailureOf(const Job& aJob,
                      const TaskAnswer& aAnswer,
                      MonoTime aNow);
  void Withdraw(const JobPtr& aJob, DispatchEffects& aEffects);
  void Forget(TaskId aId);
  void GiveUpOverdue(MonoTime aNow, DispatchEffects& aEffects);

  ServiceDispatchOptions options_;
  Router router_;
  TaskQueue queue_;
  std::unordered_map<TaskId, Task> tasks_;
  /// Tasks that wait before they enter the queue again.
  std::multimap<MonoTime, TaskId> paused_;
  std::unordered_map<std::string, JobPtr> jobs_;
  std::unordered_map<MemberId, Sidecar> sidecars_;
  uint64_t nextSerial_ = 1;
  ServiceEstimates estimates_;
  RetryBudget retryBudget_{ {}, MonoTime{} };
};

} // namespace cornelfront
