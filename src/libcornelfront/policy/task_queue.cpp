#include "cornelfront/task_queue.h"

#include <algorithm>
#include <tuple>

namespace cornelfront {

namespace {

/// Returns a task that sorts before every other one with this start-by time.
QueuedTask
FirstWithStartBy(MonoTime aStartBy)
{
  return QueuedTask{ .startBy_ = aStartBy };
}

} // namespace

bool
TaskQueue::SendOrder::operator()(const QueuedTask& aLeft,
                                 const QueuedTask& aRight) const
{
  const auto key = [](const QueuedTask& aTask) {
    return std::tuple(aTask.startBy_,
                      aTask.arrival_,
                      aTask.id_.owner_.value_,
                      aTask.id_.serial_);
  };
  return key(aLeft) < key(aRight);
}

bool
TaskQueue::Push(const QueuedTask& aTask)
{
  if (tasks_.contains(aTask.id_)) {
    return false;
  }
  Ordered& queue = queues_.at(static_cast<size_t>(aTask.priority_));
  tasks_.emplace(aTask.id_, queue.insert(aTask).first);
  return true;
}

std::optional<QueuedTask>
TaskQueue::PopNext(MonoTime aNow)
{
  for (Ordered& queue : queues_) {
    auto next = queue.lower_bound(FirstWithStartBy(aNow));
    if (next == queue.end()) {
      continue;
    }
    QueuedTask task = *next;
    tasks_.erase(task.id_);
    queue.erase(next);
    return task;
  }
  return std::nullopt;
}

bool
TaskQueue::Remove(const TaskId& aId)
{
  auto found = tasks_.find(aId);
  if (found == tasks_.end()) {
    return false;
  }
  queues_.at(static_cast<size_t>(found->second->priority_))
    .erase(found->second);
  tasks_.erase(found);
  return true;
}

std::vector<TaskId>
TaskQueue::PopExpired(MonoTime aNow)
{
  std::vector<TaskId> expired;
  for (Ordered& queue : queues_) {
    while (!queue.empty() && queue.begin()->startBy_ < aNow) {
      expired.push_back(queue.begin()->id_);
      tasks_.erase(queue.begin()->id_);
      queue.erase(queue.begin());
    }
  }
  return expired;
}

std::optional<MonoTime>
TaskQueue::NextExpiry() const
{
  std::optional<MonoTime> earliest;
  for (const Ordered& queue : queues_) {
    if (!queue.empty()) {
      MonoTime first = queue.begin()->startBy_;
      earliest = earliest ? std::min(*earliest, first) : first;
    }
  }
  return earliest;
}

size_t
TaskQueue::CountOf(Priority aPriority) const
{
  return queues_.at(static_cast<size_t>(aPriority)).size();
}

} // namespace cornelfront
