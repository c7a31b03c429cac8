#pragma once

/// \file
/// What an entry knows of orders that may still be carried out, from the lists
/// of the sidecars.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_messages.h"

#include <map>
#include <set>
#include <vector>

namespace cornelfront {

/// Keeps the newest list of each sidecar. A list outlives its sidecar, whose
/// successor does not know of the orders. Not thread-safe. All times are from
/// BootNow.
class LateOrderLedger
{
public:
  /// \p aRetention is the time for which a list counts after it was received.
  explicit LateOrderLedger(Millis aRetention);

  /// Replaces the list of a sidecar. Returns the tasks that no list has any
  /// longer.
  std::vector<JobTaskId> Record(MemberId aSidecar,
                                const LateOrders& aOrders,
                                MonoTime aNow);
  /// Forgets lists that are too old. Returns the tasks that no list has any
  /// longer.
  std::vector<JobTaskId> Expire(MonoTime aNow);
  bool Contains(const JobTaskId& aTask) const;
  /// Number of tasks that are listed.
  size_t Size() const;

private:
  struct List
  {
    std::set<JobTaskId> tasks_;
    MonoTime receivedAt_;
  };

  std::vector<JobTaskId> Unlisted(const std::set<JobTaskId>& aTasks) const;

  const Millis retention_;
  std::map<MemberId, List> lists_;
};

} // namespace cornelfront
