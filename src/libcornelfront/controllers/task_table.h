#pragma once

/// \file
/// Controller of the tasks that a sidecar holds: queued, running, and answered
/// ones whose answer may have to be given again.

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
  /// Tasks that may wait beyond the upstream's slots.
  size_t queueLimit_ = 64;
  /// How long an answer can be asked for again.
  Millis retention_{ 30000 };
  /// Bytes of answer bodies kept at most.
  size_t retainedBytes_ = 64U << 20;
};

/// A task taken from the queue by a slot.
struct RunningTask
{
  StartTask task_;
  MonoTime startBy_;
  /// Set when the task is to be stopped.
  std::shared_ptr<std::atomic<bool>> abort_;
};

/// Thread-safe; one lock, since every operation is short.
class TaskTable
{
public:
  explicit TaskTable(TaskTableOptions aOptions);

  /// Names the only link of an entry incarnation from which tasks are taken
  /// from now on. Tasks that arrive on any other are ignored, so that what
  /// Resolve says of a task stays true.
  void BindLink(MemberId aEntry, uint64_t aLink);

  /// Queues tasks and returns the answers to those that are refused at once.
  /// \p aRefuse, unless None, refuses them all for that reason.
  std::vector<TaskAnswer> Accept(MemberId aEntry,
                                 uint64_t aLink,
                                 std::vector<StartTask> aTasks,
                                 TaskReason aRefuse,
                                 MonoTime aNow);

  /// Tells what became of each task. "Never seen" is said only of tasks that
  /// can't have been forgotten.
  std::vector<TaskAnswer> Resolve(const std::vector<TaskId>& aTasks,
                                  MonoTime aNow);

  /// Drops queued tasks, whose answers are returned, and marks running ones
  /// for abort.
  std::vector<TaskAnswer> Cancel(const std::vector<TaskId>& aTasks,
                                 MonoTime aNow);

  /// Waits until slot \p aSlot may run a task; nullopt once stopped.
  std::optional<RunningTask> Take(unsigned aSlot);
  /// Records the final answer of a task that was taken.
  void Finish(const TaskAnswer& aAnswer, MonoTime aNow);

  /// Answers queued tasks whose start-by time has passed, and forgets
  /// answers beyond their retention.
  std::vector<TaskAnswer> Sweep(MonoTime aNow);
  /// Answers everything queued with \p aReason, not run.
  std::vector<TaskAnswer> DropQueue(TaskReason aReason, MonoTime aNow);

  /// Number of slots that may run tasks; 0 holds everything back.
  void SetSlots(unsigned aSlots);
  LoadReport Load() const;
  /// Makes Take return nullopt.
  void Stop();

private:
  struct Queued
  {
    StartTask task_;
    MonoTime startBy_;
  };
  struct Answered
  {
    TaskAnswer answer_;
    MonoTime at_;
  };
  /// Serials of one entry and one of its services, which grow with time.
  using SerialSpace = std::pair<MemberId, uint64_t>;

  TaskAnswer Refuse(TaskId aId, TaskReason aReason, MonoTime aNow);
  bool IsKnown(TaskId aId) const;
  void Remember(const TaskAnswer& aAnswer, MonoTime aNow);
  void ForgetOldest();
  TaskAnswer ResolveOne(TaskId aId) const;

  const TaskTableOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  unsigned slots_ = 0;
  std::unordered_map<MemberId, uint64_t> boundLinks_;
  std::deque<Queued> queue_;
  std::unordered_map<TaskId, std::shared_ptr<std::atomic<bool>>> running_;
  std::unordered_map<TaskId, Answered> answered_;
  std::deque<TaskId> answeredOrder_;
  size_t answeredBytes_ = 0;
  /// Highest serial whose answer was forgotten.
  std::map<SerialSpace, uint64_t> forgotten_;
};

/// Spreads answers over messages that stay well below the largest frame.
std::vector<TaskAnswers>
ToMessages(std::vector<TaskAnswer>&& aAnswers, const LoadReport& aLoad);

} // namespace cornelfront
