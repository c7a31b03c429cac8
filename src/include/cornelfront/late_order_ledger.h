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
  /// Set with OnlyAt, like the next one.
  MemberId sidecar_;
  /// Run number that the upstream must be given.
  uint32_t upstreamNumber_ = 0;
};

/// A run that was lost with its sidecar, so that it is not known whether its
/// order was answered.
struct LostOrder
{
  JobTaskId task_;
  uint32_t upstreamNumber_ = 0;
  /// Its sidecar has been replaced by a new process, whose lists don't include
  /// the order.
  bool replaced_ = false;
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
  /// A run has been lost with \p aSidecar, or with the one that this replaces.
  void RecordLost(MemberId aSidecar, const LostOrder& aLost, MonoTime aUntil);
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
    /// 0 if orders under several numbers may be carried out.
    uint32_t upstreamNumber_ = 0;

    bool IsEmpty() const
    {
      return !listed_ && lostUntil_ == MonoTime() &&
             inheritedUntil_ == MonoTime();
    }
    /// Must be called before the time of the order with this number is set.
    void AddNumber(uint32_t aNumber)
    {
      const bool same = IsEmpty() || upstreamNumber_ == aNumber;
      upstreamNumber_ = same ? aNumber : 0;
    }
  };
  using Orders = std::map<MemberId, Order>;

  static bool EraseOld(Orders& aOrders, MonoTime aNow);
  static void Update(Order& aOrder, const LateOrder& aListed, MonoTime aNow);

  std::map<JobTaskId, Orders> tasks_;
};

} // namespace cornelfront
