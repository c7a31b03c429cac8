#include "cornelfront/router.h"

#include "policy/indexed_heap_pvt.h"

#include <algorithm>

namespace cornelfront {

void
Router::Advance(MonoTime aNow)
{
  if (!firstUse_) {
    firstUse_ = aNow;
  }
  for (const PendingUpdate& update : pendingUpdates_) {
    ApplyUpdate(update, aNow);
  }
  pendingUpdates_.clear();
  while (!timers_.empty() && timers_.top().first <= aNow) {
    const auto [time, item] = timers_.top();
    timers_.pop();
    if (entries_[item].timerAt_ == time) {
      entries_[item].timerAt_ = MonoTime::max();
      RunTimer(item, aNow);
    }
  }
}

void
Router::ApplyUpdate(const PendingUpdate& aUpdate, MonoTime aNow)
{
  auto found = index_.find(aUpdate.id_);
  if (found == index_.end()) {
    return;
  }
  Entry& entry = entries_[found->second];
  entry.reportedAt_ = aNow;
  if (aUpdate.ramp_ && MayRamp(aNow)) {
    entry.ramp_ = StartRamp(aUpdate.id_, options_.rampTime_, aNow);
  }
  RunTimer(found->second, aNow);
}

bool
Router::MayRamp(MonoTime aNow) const
{
  const bool isNew = aNow < *firstUse_ + options_.rampTime_;
  return !isNew && capacity_.slots_ > 0;
}

void
Router::RunTimer(Item aItem, MonoTime aNow)
{
  Entry& entry = entries_[aItem];
  entry.usableSlots_ =
    RampedSlots(entry.ramp_, entry.candidate_.load_.slots_, aNow);
  if (entry.otherTasks_ > 0 &&
      aNow >= entry.reportedAt_ + options_.reportLifetime_) {
    entry.otherTasks_ /= 2;
    entry.reportedAt_ = aNow;
  }
  Refresh(aItem);
  ScheduleTimer(aItem, aNow);
}

void
Router::ScheduleTimer(Item aItem, MonoTime aNow)
{
  Entry& entry = entries_[aItem];
  MonoTime next = MonoTime::max();
  if (entry.otherTasks_ > 0) {
    next = entry.reportedAt_ + options_.reportLifetime_;
  }
  if (!IsRampOver(entry.ramp_, aNow)) {
    const uint32_t slots = entry.candidate_.load_.slots_;
    next = std::min(next, NextRampStep(entry.ramp_, slots, aNow));
  }
  // If an earlier timer is pending, it calls ScheduleTimer again, so at most
  // one timer per candidate is valid at a time.
  if (next < entry.timerAt_) {
    entry.timerAt_ = next;
    timers_.emplace(next, aItem);
  }
}

} // namespace cornelfront
