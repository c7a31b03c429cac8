#pragma once

/// \file
/// What an entry knows of orders that may still be carried out: from the lists
/// of the sidecars, and from the runs that it has lost with a sidecar.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace cornelfront {

/// Where a task may be started.
struct StartLimit
{
  enum class Where : uint8_t
  {
    Anywhere,
    OnlyAt,
    Nowhere,
  };

  Where where_ = Where::Anywhere;
  /// Set with OnlyAt.
  MemberId sidecar_;
};

/// A late order counts until its time has passed, also after the loss of its
/// sidecar, whose replacement does not know of it. Not thread-safe. All times
/// are from BootNow.
class LateOrderLedger
{
public:
  /// Records a list of a sidecar. Returns the tasks that may be started at more
  /// sidecars than before.
  std::vector<JobTaskId> Record(MemberId aSidecar,
                                const LateOrders& aOrders,
                                MonoTime aNow);
  /// A run of the task has been lost with its sidecar, so it is not known
  /// whether its order was answered. \p aReplaced says that \p aSidecar is a
  /// new process, whose lists don't include the order.
  void RecordLost(MemberId aSidecar,
                  const JobTaskId& aTask,
                  bool aReplaced,
                  MonoTime aUntil);
  /// A sidecar has been replaced by a new process beside the same upstream.
  void OnReplaced(MemberId aSidecar, MemberId aReplacement);
  /// Forgets what is too old. Returns the tasks that may be started at more
  /// sidecars than before.
  std::vector<JobTaskId> Expire(MonoTime aNow);
  /// An upstream that has the task alone keeps it; a task of several has to
  /// wait.
  StartLimit LimitOf(const JobTaskId& aTask) const;
  /// Number of tasks that are limited.
  size_t Size() const { return tasks_.size(); }

private:
  /// What is known of one task and one sidecar.
  struct Order
  {
    /// As listed by the sidecar.
    std::optional<LateOrderState> listed_;
    MonoTime listedUntil_;
    /// Of a run that was lost with this process.
    MonoTime lostUntil_;
    /// Of an earlier process beside the same upstream.
    MonoTime inheritedUntil_;
  };
  using Orders = std::map<MemberId, Order>;

  static bool EraseOld(Orders& aOrders, MonoTime aNow);
  static void Update(Order& aOrder, const LateOrder& aListed, MonoTime aNow);

  std::map<JobTaskId, Orders> tasks_;
};

} // namespace cornelfront
