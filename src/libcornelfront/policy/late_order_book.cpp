#include "cornelfront/late_order_book.h"

#include <algorithm>

namespace cornelfront {
namespace {

/// Entries are told of a longer time, so that one that grows with each run need
/// not be told each time.
constexpr Millis kMargin{ 500 };

} // namespace

void
OrderTerm::OnTick(MonoTime aNow, uint64_t aNextPoll)
{
  if (closingPoll_ == 0 && aNow > dueBy_) {
    closingPoll_ = aNextPoll;
  }
}

void
OrderTerm::OnAnswer(MonoTime aHeardAt)
{
  givenUpAt_ = std::max(givenUpAt_, std::min(aHeardAt, dueBy_) + maxSilence_);
}

void
OrderTerm::Extend(const OrderTerm& aOther)
{
  const bool due = closingPoll_ != 0 && aOther.closingPoll_ != 0;
  closingPoll_ = due ? std::max(closingPoll_, aOther.closingPoll_) : 0;
  dueBy_ = std::max(dueBy_, aOther.dueBy_);
  givenUpAt_ = std::max(givenUpAt_, aOther.givenUpAt_);
  maxSilence_ = std::max(maxSilence_, aOther.maxSilence_);
}

void
LateOrderBook::Add(const JobTaskId& aTask, const OpenOrder& aOrder)
{
  const auto [known, added] = orders_.try_emplace(aTask, aOrder);
  if (added) {
    return;
  }
  OpenOrder& order = known->second;
  order.term_.Extend(aOrder.term_);
  order.deadline_ = std::max(order.deadline_, aOrder.deadline_);
  order.firstPoll_ = std::max(order.firstPoll_, aOrder.firstPoll_);
  order.refusedHere_ = order.refusedHere_ && aOrder.refusedHere_;
  order.severalNumbers_ |= order.number_ != aOrder.number_;
  order.number_ = std::max(order.number_, aOrder.number_);
  order.numberUsed_ = order.numberUsed_ || aOrder.numberUsed_;
}

const OpenOrder*
LateOrderBook::Find(const JobTaskId& aTask, MonoTime aNow) const
{
  const auto order = orders_.find(aTask);
  const bool open =
    order != orders_.end() && aNow <= order->second.term_.givenUpAt_;
  return open ? &order->second : nullptr;
}

void
LateOrderBook::OnNumberUsed(const JobTaskId& aTask, uint32_t aNumber)
{
  const auto order = orders_.find(aTask);
  if (order != orders_.end()) {
    order->second.numberUsed_ |= aNumber >= order->second.number_;
  }
}

void
LateOrderBook::OnPollResult(uint64_t aPollNumber,
                            UpstreamTime aClock,
                            MonoTime aHeardAt)
{
  std::erase_if(orders_, [aPollNumber](const auto& aOrder) {
    return aOrder.second.term_.IsClosedBy(aPollNumber);
  });
  for (auto& [task, order] : orders_) {
    order.term_.OnAnswer(aHeardAt);
    order.refusedHere_ |=
      aPollNumber >= order.firstPoll_ && aClock > order.deadline_;
  }
}

void
LateOrderBook::OnRestart(uint64_t aFirstPoll)
{
  // Deadlines of the earlier incarnation say nothing on the clock of this one.
  constexpr UpstreamTime kAnyTime{ Millis(-1) };
  for (auto& [task, order] : orders_) {
    order.deadline_ = kAnyTime;
    order.firstPoll_ = aFirstPoll;
    order.refusedHere_ = false;
    order.numberUsed_ = false;
  }
}

void
LateOrderBook::Expire(MonoTime aNow, uint64_t aNextPoll)
{
  std::erase_if(orders_, [aNow](const auto& aOrder) {
    return aNow > aOrder.second.term_.givenUpAt_;
  });
  for (auto& [task, order] : orders_) {
    order.term_.OnTick(aNow, aNextPoll);
  }
}

LateOrders
LateOrderReport::Update(const std::map<JobTaskId, LateOrder>& aOrders,
                        MonoTime aNow)
{
  LateOrders changes;
  for (const auto& [task, order] : aOrders) {
    const MonoTime until = aNow + order.left_;
    const auto [told, added] = told_.try_emplace(task);
    if (added || told->second.state_ != order.state_ ||
        told->second.upstreamNumber_ != order.upstreamNumber_ ||
        told->second.until_ < until) {
      told->second = { order.state_, until + kMargin, order.upstreamNumber_ };
      changes.orders_.push_back(order);
      changes.orders_.back().left_ += kMargin;
    }
  }
  std::erase_if(told_, [&](const auto& aTold) {
    const bool settled = !aOrders.contains(aTold.first);
    if (settled) {
      changes.orders_.push_back(
        { .task_ = aTold.first, .state_ = LateOrderState::Settled });
    }
    return settled;
  });
  return changes;
}

} // namespace cornelfront
