#pragma once

/// \file
/// Table of a sidecar's tasks: queued, running, and finished ones whose answers
/// are retained in case an entry requests them again.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/messages.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelfront {

struct TaskTableOptions
{
  /// Maximum number of queued tasks in addition to the upstream's slots.
  size_t queueLimit_ = 64;
  /// How long answers are retained.
  Millis retention_{ 30000 };
  /// Maximum total size of retained answer bodies.
  size_t maxRetainedBytes_ = 64U << 20;
};

/// A task that a slot has taken from the queue.
struct RunningTask
{
  StartTask task_;
  MonoTime startBy_;
  /// Set to true to request that the task stop.
  std::shared_ptr<std::atomic<bool>> stopRequested_;
};

/// Thread-safe. A single lock suffices, since every operation is short.
///
/// The caller sends the answers that Accept, Cancel, Finish, Sweep and
/// RefuseQueued produce, then calls OnAnswersSent; until then the table is not
/// idle.
class TaskTable
{
public:
  explicit TaskTable(TaskTableOptions aOptions);

  /// Sets the only link from which tasks of this incarnation of an entry are
  /// accepted from now on. Tasks that arrive on other links are ignored, so
  /// that an answer of Resolve() can't be invalidated by a late start message.
  void BindLink(MemberId aEntry, uint64_t aLink);

  /// Queues tasks and returns the answers of those that are refused
  /// immediately. If \p aRefuseReason is not None, refuses all of them for that
  /// reason.
  std::vector<TaskAnswer> Accept(MemberId aEntry,
                                 uint64_t aLink,
                                 std::vector<StartTask> aTasks,
                                 TaskReason aRefuseReason,
                                 MonoTime aNow);

  /// Returns the state of each task. NeverSeen is returned only for tasks whose
  /// answer can't have been evicted.
  std::vector<TaskAnswer> Resolve(const std::vector<TaskId>& aTasks,
                                  MonoTime aNow);

  /// Removes queued tasks and returns their answers. Requests that running ones
  /// stop.
  std::vector<TaskAnswer> Cancel(const std::vector<TaskId>& aTasks,
                                 MonoTime aNow);

  /// Blocks until slot \p aSlot may run a task. Returns nullopt after Stop().
  std::optional<RunningTask> Take(unsigned aSlot);
  /// Stores the final answer of a task that Take() returned.
  void Finish(const TaskAnswer& aAnswer, MonoTime aNow);

  /// Refuses queued tasks whose start limit has passed and returns their
  /// answers. Evicts retained answers that exceed the limits on age or size.
  std::vector<TaskAnswer> Sweep(MonoTime aNow);
  /// Refuses all queued tasks with \p aReason and returns their answers.
  std::vector<TaskAnswer> RefuseQueued(TaskReason aReason, MonoTime aNow);

  /// Sets the number of slots that may run tasks. With 0, no task starts.
  void SetSlots(unsigned aSlots);
  LoadReport Load() const;
  /// Called once this number of answers has been passed to the links.
  void OnAnswersSent(size_t aCount);
  /// True if no task is queued or runs and every answer has been sent.
  bool IsIdle() const;
  /// Makes Take() return nullopt.
  void Stop();

private:
  struct WaitingTask
  {
    StartTask task_;
    MonoTime startBy_;
  };
  struct RetainedAnswer
  {
    TaskAnswer answer_;
    MonoTime answeredAt_;
  };
  /// Range of serials that an entry uses for one service; they increase over
  /// time within the range.
  using SerialRange = std::pair<MemberId, uint64_t>;

  TaskAnswer Refuse(TaskId aId, TaskReason aReason, MonoTime aNow);
  bool IsKnown(TaskId aId) const;
  void RetainAnswer(const TaskAnswer& aAnswer, MonoTime aNow);
  void EvictOldestAnswer();
  TaskAnswer ResolveOne(TaskId aId) const;

  const TaskTableOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  unsigned slots_ = 0;
  std::unordered_map<MemberId, uint64_t> boundLinks_;
  std::deque<WaitingTask> queue_;
  std::unordered_map<TaskId, std::shared_ptr<std::atomic<bool>>> running_;
  std::unordered_map<TaskId, RetainedAnswer> retainedAnswers_;
  std::deque<TaskId> evictionOrder_;
  size_t retainedAnswerBytes_ = 0;
  /// Number of answers that have not been passed to the links yet.
  size_t unsentAnswers_ = 0;
  /// Highest serial whose answer was evicted.
  std::map<SerialRange, uint64_t> highestEvicted_;
};

/// Splits answers into messages that stay well below the frame size limit.
std::vector<TaskAnswers>
SplitAnswers(std::vector<TaskAnswer>&& aAnswers, const LoadReport& aLoad);

} // namespace cornelfront
