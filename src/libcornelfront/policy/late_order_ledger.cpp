#include "cornelfront/late_order_ledger.h"

#include <algorithm>
#include <set>

namespace cornelfront {

void
LateOrderLedger::Update(Order& aOrder, const LateOrder& aListed, MonoTime aNow)
{
  if (aListed.state_ == LateOrderState::Settled) {
    aOrder.listed_.reset();
    return;
  }
  aOrder.AddNumber(aListed.upstreamNumber_);
  aOrder.listed_ = aListed.state_;
  aOrder.listedUntil_ = aNow + aListed.left_;
}

std::vector<JobTaskId>
LateOrderLedger::Record(MemberId aSidecar,
                        const LateOrders& aOrders,
                        MonoTime aNow)
{
  std::set<JobTaskId> changed;
  if (aOrders.all_) {
    for (auto& [task, orders] : tasks_) {
      const auto order = orders.find(aSidecar);
      if (order != orders.end()) {
        order->second.listed_.reset();
        order->second.lostUntil_ = {};
        changed.insert(task);
      }
    }
  }
  for (const LateOrder& listed : aOrders.orders_) {
    Update(tasks_[listed.task_][aSidecar], listed, aNow);
    changed.insert(listed.task_);
  }
  for (const JobTaskId& task : changed) {
    const auto found = tasks_.find(task);
    EraseOld(found->second, aNow);
    if (found->second.empty()) {
      tasks_.erase(found);
    }
  }
  return { changed.begin(), changed.end() };
}

/// Returns true if some order does not count any longer.
bool
LateOrderLedger::EraseOld(Orders& aOrders, MonoTime aNow)
{
  for (auto& [sidecar, order] : aOrders) {
    if (order.listed_ && aNow > order.listedUntil_) {
      order.listed_.reset();
    }
  }
  const size_t erased = std::erase_if(aOrders, [aNow](const auto& aOrder) {
    const Order& order = aOrder.second;
    return !order.listed_ && aNow > order.lostUntil_ &&
           aNow > order.inheritedUntil_;
  });
  return erased > 0;
}

void
LateOrderLedger::RecordLost(MemberId aSidecar,
                            const LostOrder& aLost,
                            MonoTime aUntil)
{
  Order& order = tasks_[aLost.task_][aSidecar];
  order.AddNumber(aLost.upstreamNumber_);
  MonoTime& until = aLost.replaced_ ? order.inheritedUntil_ : order.lostUntil_;
  until = std::max(until, aUntil);
}

void
LateOrderLedger::OnReplaced(MemberId aSidecar, MemberId aReplacement)
{
  for (auto& [task, orders] : tasks_) {
    const auto found = orders.find(aSidecar);
    if (found == orders.end()) {
      continue;
    }
    const Order old = found->second;
    orders.erase(found);
    Order& heir = orders[aReplacement];
    heir.AddNumber(old.upstreamNumber_);
    MonoTime& until = heir.inheritedUntil_;
    until = std::max({ until, old.lostUntil_, old.inheritedUntil_ });
    if (old.listed_) {
      until = std::max(until, old.listedUntil_);
    }
  }
}

std::vector<JobTaskId>
LateOrderLedger::Expire(MonoTime aNow)
{
  std::vector<JobTaskId> freed;
  for (auto task = tasks_.begin(); task != tasks_.end();) {
    if (EraseOld(task->second, aNow)) {
      freed.push_back(task->first);
    }
    task = task->second.empty() ? tasks_.erase(task) : std::next(task);
  }
  return freed;
}

StartLimit
LateOrderLedger::LimitOf(const JobTaskId& aTask) const
{
  const auto found = tasks_.find(aTask);
  if (found == tasks_.end() || found->second.empty()) {
    return {};
  }
  const auto& [sidecar, order] = *found->second.begin();
  const bool held = found->second.size() > 1 ||
                    order.listed_ == LateOrderState::Held ||
                    order.upstreamNumber_ == 0;
  return held ? StartLimit{ .where_ = StartLimit::Where::Nowhere }
              : StartLimit{ .where_ = StartLimit::Where::OnlyAt,
                            .sidecar_ = sidecar,
                            .upstreamNumber_ = order.upstreamNumber_ };
}

} // namespace cornelfront
