#pragma once

/// \file
/// Priority queue of the waiting tasks of one service.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/schema.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cornelfront {

struct QueuedTask
{
  TaskId id_;
  Priority priority_ = Priority::Normal;
  /// Latest time at which the task may still start.
  MonoTime startBy_;
  /// Increases with each arrival.
  uint64_t arrival_ = 0;
};

/// Waiting tasks of one service. Adding or removing a task takes time
/// logarithmic in the number of tasks. Not thread-safe.
class TaskQueue
{
public:
  TaskQueue() = default;
  // A copy's index would point into the original.
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  /// Adds a task; returns false and does nothing if its id is already queued.
  bool Push(const QueuedTask& aTask);

  /// Removes and returns the next task to send: the one with the highest
  /// priority, then the earliest start-by time, then the earliest arrival.
  /// Skips tasks whose start-by time is before \p aNow; PopExpired returns
  /// those.
  std::optional<QueuedTask> PopNext(MonoTime aNow);

  /// Removes a task; returns false if it is not queued.
  bool Remove(const TaskId& aId);

  /// Removes and returns the tasks whose start-by time is before \p aNow,
  /// earliest first within each priority.
  std::vector<TaskId> PopExpired(MonoTime aNow);

  /// Returns the earliest start-by time of all tasks; nullopt if the queue is
  /// empty.
  std::optional<MonoTime> NextExpiry() const;

  size_t size() const { return tasks_.size(); }
  /// Number of tasks of one priority.
  size_t CountOf(Priority aPriority) const;

private:
  struct SendOrder
  {
    bool operator()(const QueuedTask& aLeft, const QueuedTask& aRight) const;
  };
  using Ordered = std::set<QueuedTask, SendOrder>;

  static constexpr size_t kPriorities = 3;

  std::array<Ordered, kPriorities> queues_;
  std::unordered_map<TaskId, Ordered::const_iterator> tasks_;
};

} // namespace cornelfront
