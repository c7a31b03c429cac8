#include "controllers/task_table.h"

#include <algorithm>

namespace cornelfront {

namespace {

constexpr unsigned kSerialPrefixShift = 48;

/// Total size of answer bodies from which on a message takes no further answer.
constexpr size_t kMaxAnswerBytes = 1U << 20;

std::pair<MemberId, uint64_t>
SerialRangeOf(TaskId aId)
{
  return { aId.owner_, aId.serial_ >> kSerialPrefixShift };
}

} // namespace

TaskTable::TaskTable(TaskTableOptions aOptions)
  : options_(aOptions)
{
}

void
TaskTable::BindLink(MemberId aEntry, uint64_t aLink)
{
  std::lock_guard lock(mutex_);
  boundLinks_[aEntry] = aLink;
}

std::vector<TaskAnswer>
TaskTable::Accept(MemberId aEntry,
                  uint64_t aLink,
                  std::vector<StartTask> aTasks,
                  TaskReason aRefuseReason,
                  MonoTime aNow)
{
  std::vector<TaskAnswer> refusals;
  std::lock_guard lock(mutex_);
  const auto bound = boundLinks_.find(aEntry);
  if (bound == boundLinks_.end() || bound->second != aLink) {
    return refusals;
  }
  for (StartTask& task : aTasks) {
    if (task.id_.owner_ != aEntry || IsKnown(task.id_)) {
      continue;
    }
    TaskReason reason = aRefuseReason;
    if (reason == TaskReason::None &&
        queue_.size() + running_.size() >= slots_ + options_.queueLimit_) {
      reason = TaskReason::QueueFull;
    }
    if (reason != TaskReason::None) {
      refusals.push_back(Refuse(task.id_, reason, aNow));
      continue;
    }
    const MonoTime startBy = aNow + task.startWithin_;
    queue_.push_back({ std::move(task), startBy });
  }
  changed_.notify_all();
  unsentAnswers_ += refusals.size();
  return refusals;
}

bool
TaskTable::IsKnown(TaskId aId) const
{
  return running_.contains(aId) || retainedAnswers_.contains(aId) ||
         std::ranges::any_of(queue_, [&](const WaitingTask& aTask) {
           return aTask.task_.id_ == aId;
         });
}

TaskAnswer
TaskTable::Refuse(TaskId aId, TaskReason aReason, MonoTime aNow)
{
  TaskAnswer answer{ .id_ = aId,
                     .outcome_ = TaskOutcome::NotRun,
                     .reason_ = aReason };
  RetainAnswer(answer, aNow);
  return answer;
}

void
TaskTable::RetainAnswer(const TaskAnswer& aAnswer, MonoTime aNow)
{
  retainedAnswers_[aAnswer.id_] = { aAnswer, aNow };
  evictionOrder_.push_back(aAnswer.id_);
  retainedAnswerBytes_ += aAnswer.body_.size();
}

void
TaskTable::EvictOldestAnswer()
{
  const TaskId id = evictionOrder_.front();
  evictionOrder_.pop_front();
  const auto found = retainedAnswers_.find(id);
  retainedAnswerBytes_ -= found->second.answer_.body_.size();
  retainedAnswers_.erase(found);
  uint64_t& highest = highestEvicted_[SerialRangeOf(id)];
  highest = std::max(highest, id.serial_);
}

std::vector<TaskAnswer>
TaskTable::Resolve(const std::vector<TaskId>& aTasks, MonoTime aNow)
{
  std::vector<TaskAnswer> answers;
  std::lock_guard lock(mutex_);
  for (const TaskId& id : aTasks) {
    answers.push_back(ResolveOne(id));
    if (answers.back().reason_ == TaskReason::NeverSeen) {
      RetainAnswer(answers.back(), aNow);
    }
  }
  return answers;
}

TaskAnswer
TaskTable::ResolveOne(TaskId aId) const
{
  const auto answered = retainedAnswers_.find(aId);
  if (answered != retainedAnswers_.end()) {
    return answered->second.answer_;
  }
  if (IsKnown(aId)) {
    return { .id_ = aId, .outcome_ = TaskOutcome::Running };
  }
  const auto highest = highestEvicted_.find(SerialRangeOf(aId));
  if (highest != highestEvicted_.end() && aId.serial_ <= highest->second) {
    return { .id_ = aId,
             .outcome_ = TaskOutcome::MayHaveRun,
             .reason_ = TaskReason::LinkLost };
  }
  return { .id_ = aId,
           .outcome_ = TaskOutcome::NotRun,
           .reason_ = TaskReason::NeverSeen };
}

std::vector<TaskAnswer>
TaskTable::Cancel(const std::vector<TaskId>& aTasks, MonoTime aNow)
{
  std::vector<TaskAnswer> answers;
  std::lock_guard lock(mutex_);
  for (const TaskId& id : aTasks) {
    const auto running = running_.find(id);
    if (running != running_.end()) {
      running->second->store(true);
      continue;
    }
    const auto queued = std::ranges::find_if(
      queue_, [&](const WaitingTask& aTask) { return aTask.task_.id_ == id; });
    if (queued != queue_.end()) {
      queue_.erase(queued);
      answers.push_back(Refuse(id, TaskReason::Cancelled, aNow));
    }
  }
  unsentAnswers_ += answers.size();
  return answers;
}

std::optional<RunningTask>
TaskTable::Take(unsigned aSlot)
{
  std::unique_lock lock(mutex_);
  changed_.wait(
    lock, [&] { return stopped_ || (aSlot < slots_ && !queue_.empty()); });
  if (stopped_) {
    return std::nullopt;
  }
  RunningTask running{ std::move(queue_.front().task_),
                       queue_.front().startBy_,
                       std::make_shared<std::atomic<bool>>(false) };
  queue_.pop_front();
  running_[running.task_.id_] = running.stopRequested_;
  return running;
}

void
TaskTable::Finish(const TaskAnswer& aAnswer, MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  running_.erase(aAnswer.id_);
  RetainAnswer(aAnswer, aNow);
  ++unsentAnswers_;
}

std::vector<TaskAnswer>
TaskTable::Sweep(MonoTime aNow)
{
  std::vector<TaskAnswer> answers;
  std::lock_guard lock(mutex_);
  std::erase_if(queue_, [&](const WaitingTask& aTask) {
    if (aTask.startBy_ > aNow) {
      return false;
    }
    answers.push_back(Refuse(aTask.task_.id_, TaskReason::StartTooLate, aNow));
    return true;
  });
  while (!evictionOrder_.empty() &&
         (retainedAnswerBytes_ > options_.maxRetainedBytes_ ||
          retainedAnswers_.at(evictionOrder_.front()).answeredAt_ +
              options_.retention_ <
            aNow)) {
    EvictOldestAnswer();
  }
  unsentAnswers_ += answers.size();
  return answers;
}

std::vector<TaskAnswer>
TaskTable::RefuseQueued(TaskReason aReason, MonoTime aNow)
{
  std::vector<TaskAnswer> answers;
  std::lock_guard lock(mutex_);
  for (const WaitingTask& queued : queue_) {
    answers.push_back(Refuse(queued.task_.id_, aReason, aNow));
  }
  queue_.clear();
  unsentAnswers_ += answers.size();
  return answers;
}

void
TaskTable::SetSlots(unsigned aSlots)
{
  std::lock_guard lock(mutex_);
  slots_ = aSlots;
  changed_.notify_all();
}

LoadReport
TaskTable::Load() const
{
  std::lock_guard lock(mutex_);
  return { .slots_ = slots_,
           .running_ = static_cast<uint32_t>(running_.size()),
           .queued_ = static_cast<uint32_t>(queue_.size()) };
}

void
TaskTable::OnAnswersSent(size_t aCount)
{
  std::lock_guard lock(mutex_);
  unsentAnswers_ -= aCount;
}

bool
TaskTable::IsIdle() const
{
  std::lock_guard lock(mutex_);
  return queue_.empty() && running_.empty() && unsentAnswers_ == 0;
}

void
TaskTable::Stop()
{
  std::lock_guard lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

std::vector<TaskAnswers>
SplitAnswers(std::vector<TaskAnswer>&& aAnswers, const LoadReport& aLoad)
{
  std::vector<TaskAnswers> messages;
  size_t bytes = kMaxAnswerBytes;
  for (TaskAnswer& answer : aAnswers) {
    if (bytes >= kMaxAnswerBytes) {
      messages.push_back({ {}, aLoad });
      bytes = 0;
    }
    bytes += answer.body_.size();
    messages.back().answers_.push_back(std::move(answer));
  }
  return messages;
}

} // namespace cornelfront
