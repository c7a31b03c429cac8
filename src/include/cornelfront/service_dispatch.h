#pragma once

/// \file
/// State machine without I/O that runs the jobs of one service on its sidecars.

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

/// Actions that the caller of ServiceDispatch must carry out after it has
/// released its lock.
struct DispatchEffects
{
  struct Send
  {
    MemberId sidecar_;
    /// Link on which the message must be sent. If that link has ended, the
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
  /// Number of attempts that followed an earlier attempt of the same task.
  uint64_t retries_ = 0;
  /// Number of answers to tasks that are no longer known.
  uint64_t unexpectedAnswers_ = 0;

  bool Empty() const { return sends_.empty() && finishes_.empty(); }
};

struct ServiceDispatchOptions
{
  /// Incarnation of this entry; part of every task id.
  MemberId self_;
  /// Upper bits of the serial numbers of tasks; unique per service within this
  /// process.
  uint16_t serialPrefix_ = 0;
  RouterOptions router_;
  /// Time after the loss of its link within which the outcome of a task must
  /// become known.
  Millis resolveBound_{ 2000 };
  /// Maximum number of attempts of one task, including the first.
  unsigned maxAttempts_ = 24;
};

/// Queues the tasks of one service, sends them to sidecars and collects their
/// answers. Not thread-safe; performs no I/O. A task is sent to a second
/// sidecar only if the first has confirmed that it did not start the task, or
/// if the job may be repeated.
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

  /// Handles a status message of a sidecar. The first status on a new link of a
  /// known sidecar triggers a request for the outcome of the tasks that were
  /// sent on earlier links.
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
  /// Reports the tasks of a StartTasks message that was certainly not sent.
  void OnNotSent(const std::vector<TaskId>& aTasks,
                 MonoTime aNow,
                 DispatchEffects& aEffects);
  void SetZoneEnabled(const std::string& aZone,
                      bool aEnabled,
                      MonoTime aNow,
                      DispatchEffects& aEffects);
  /// Ends tasks whose deadlines have passed; to be called every few
  /// milliseconds.
  void Tick(MonoTime aNow, DispatchEffects& aEffects);

  /// Returns the expected wait of the last of \p aTasks new tasks before it
  /// starts; zero while no sidecar is known.
  Millis PredictedWait(Priority aPriority, size_t aTasks, MonoTime aNow);

  /// Replaces the policy by which tasks are routed.
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
    /// Sent on a link that has since been lost.
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
    /// Number of rounds in which every candidate has refused the task.
    unsigned refusalRounds_ = 0;
    /// Time after which the task counts as lost. While Unresolved, the sidecar
    /// must have reported the outcome by then; while Sent, a live sidecar would
    /// have answered by then.
    MonoTime answerDeadline_;
  };

  struct Sidecar
  {
    std::string zone_;
    /// Id of the current link; 0 if there is none.
    uint64_t link_ = 0;
    LoadReport load_;
    std::unordered_set<TaskId> tasks_;
  };

  struct Job
  {
    JobSpec spec_;
    JobRunner::Done done_;
    std::vector<TaskAnswer> answers_;
    std::vector<TaskId> openTasks_;
    size_t remaining_ = 0;
    bool finished_ = false;
  };

  using Batches = std::unordered_map<MemberId, StartTasks>;

  TaskId NextId();
  TaskId Register(Task aTask);
  void Push(TaskId aId, const Task& aTask);
  void RequeueAfterBackoff(MonoTime aNow);
  void DispatchQueued(MonoTime aNow, DispatchEffects& aEffects);
  void Assign(TaskId aId,
              Task& aTask,
              MemberId aSidecar,
              MonoTime aNow,
              Batches& aBatches,
              DispatchEffects& aEffects);
  void SendBatch(MemberId aSidecar,
                 StartTasks& aBatch,
                 DispatchEffects& aEffects);
  void HandleAnswer(TaskId aId,
                    const TaskAnswer& aAnswer,
                    MonoTime aNow,
                    DispatchEffects& aEffects);
  bool MayRetry(const Task& aTask, const TaskAnswer& aAnswer, MonoTime aNow);
  void UpdateEstimates(MemberId aSidecar, const Task& aTask, Millis aRunTime);
  void Retry(TaskId aId, MonoTime aNow, DispatchEffects& aEffects);
  void RecordAnswer(const JobPtr& aJob,
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
  void CancelOpenTasks(const JobPtr& aJob, DispatchEffects& aEffects);
  void Remove(TaskId aId);
  void FailOverdueTasks(MonoTime aNow, DispatchEffects& aEffects);

  ServiceDispatchOptions options_;
  Router router_;
  TaskQueue queue_;
  std::unordered_map<TaskId, Task> tasks_;
  /// Tasks in back-off, by the time at which they enter the queue again.
  std::multimap<MonoTime, TaskId> inBackoff_;
  std::unordered_map<std::string, JobPtr> jobs_;
  std::unordered_map<MemberId, Sidecar> sidecars_;
  uint64_t nextSerial_ = 1;
  ServiceEstimates estimates_;
  RetryBudget retryBudget_{ {}, MonoTime{} };
};

} // namespace cornelfront
