#include "cornelfront/late_order_ledger.h"

#include <algorithm>
#include <utility>

namespace cornelfront {

LateOrderLedger::LateOrderLedger(Millis aRetention)
  : retention_(aRetention)
{
}

std::vector<JobTaskId>
LateOrderLedger::Record(MemberId aSidecar,
                        const LateOrders& aOrders,
                        MonoTime aNow)
{
  const std::set<JobTaskId> before =
    std::exchange(lists_[aSidecar],
                  { .tasks_ = { aOrders.tasks_.begin(), aOrders.tasks_.end() },
                    .receivedAt_ = aNow })
      .tasks_;
  if (aOrders.tasks_.empty()) {
    lists_.erase(aSidecar);
  }
  return Unlisted(before);
}

std::vector<JobTaskId>
LateOrderLedger::Expire(MonoTime aNow)
{
  std::set<JobTaskId> expired;
  std::erase_if(lists_, [&](const auto& aList) {
    const List& list = aList.second;
    const bool old = aNow - list.receivedAt_ > retention_;
    if (old) {
      expired.insert(list.tasks_.begin(), list.tasks_.end());
    }
    return old;
  });
  return Unlisted(expired);
}

bool
LateOrderLedger::Contains(const JobTaskId& aTask) const
{
  return std::any_of(lists_.begin(), lists_.end(), [&](const auto& aList) {
    return aList.second.tasks_.contains(aTask);
  });
}

size_t
LateOrderLedger::Size() const
{
  size_t size = 0;
  for (const auto& [sidecar, list] : lists_) {
    size += list.tasks_.size();
  }
  return size;
}

std::vector<JobTaskId>
LateOrderLedger::Unlisted(const std::set<JobTaskId>& aTasks) const
{
  std::vector<JobTaskId> unlisted;
  std::copy_if(aTasks.begin(),
               aTasks.end(),
               std::back_inserter(unlisted),
               [&](const JobTaskId& aTask) { return !Contains(aTask); });
  return unlisted;
}

} // namespace cornelfront
