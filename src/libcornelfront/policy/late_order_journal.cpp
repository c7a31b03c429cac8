#include "cornelfront/late_order_journal.h"

#include <algorithm>

namespace cornelfront {
namespace {

/// Time from one batch to the next. What is listed in the meantime is lost if
/// all processes are.
constexpr Millis kBatchPause{ 200 };
/// The same at most, after batches that the store did not take.
constexpr Millis kMaxBatchPause{ 1600 };

} // namespace

void
LateOrderJournal::Note(const LateOrders& aChanges, MonoTime aNow)
{
  for (const LateOrder& order : aChanges.orders_) {
    if (order.state_ == LateOrderState::Settled) {
      orders_.erase(order.task_);
      continue;
    }
    const MonoTime until = aNow + order.left_;
    Entry& entry = orders_[order.task_];
    if (entry.upstreamNumber_ != order.upstreamNumber_ ||
        entry.until_ < until) {
      entry = { .until_ = until, .upstreamNumber_ = order.upstreamNumber_ };
    }
  }
}

std::vector<LateOrder>
LateOrderJournal::TakeBatch(MonoTime aNow)
{
  std::vector<LateOrder> batch;
  if (writing_ || aNow - lastBatch_ < pause_) {
    return batch;
  }
  std::erase_if(orders_, [aNow](const auto& aOrder) {
    return aOrder.second.until_ <= aNow;
  });
  for (auto& [task, entry] : orders_) {
    if (entry.state_ == State::Waiting) {
      entry.state_ = State::InBatch;
      batch.push_back({ .task_ = task,
                        .state_ = LateOrderState::Held,
                        .left_ = std::chrono::ceil<Millis>(entry.until_ - aNow),
                        .upstreamNumber_ = entry.upstreamNumber_ });
    }
  }
  if (!batch.empty()) {
    writing_ = true;
    lastBatch_ = aNow;
  }
  return batch;
}

void
LateOrderJournal::OnWritten(bool aWritten)
{
  writing_ = false;
  pause_ = aWritten ? kBatchPause
                    : std::clamp(2 * pause_, 2 * kBatchPause, kMaxBatchPause);
  for (auto& [task, entry] : orders_) {
    if (entry.state_ == State::InBatch) {
      entry.state_ = aWritten ? State::Written : State::Waiting;
    }
  }
}

} // namespace cornelfront
