#pragma once

/// \file
/// A sidecar's record of orders without an answer whose runs have ended, and of
/// what it has told the entries of late orders.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_messages.h"
#include "cornelfront/upstream_time.h"

#include <cstdint>
#include <map>

namespace cornelfront {

/// The time of an order without an answer.
struct OrderTerm
{
  /// It is carried out by then, or, if the upstream is down then, at the next
  /// start of the upstream.
  MonoTime dueBy_;
  /// It counts no longer than this, even if the upstream is silent all the
  /// while, which may be gone for good.
  MonoTime givenUpAt_;
  /// The answer to a poll with this number or a higher one comes after all that
  /// the order can begin. 0 as long as it may yet become due.
  uint64_t closingPoll_ = 0;
  /// If the upstream falls silent before the order is due, the order counts for
  /// at least this long after the last answer. 0 if givenUpAt_ covers that.
  Millis maxSilence_{ 0 };

  /// Polls with numbers below \p aNextPoll were sent before this call.
  void OnTick(MonoTime aNow, uint64_t aNextPoll);
  /// The upstream last answered at \p aHeardAt.
  void OnAnswer(MonoTime aHeardAt);
  bool IsClosedBy(uint64_t aAnsweredPoll) const
  {
    return closingPoll_ != 0 && aAnsweredPoll >= closingPoll_;
  }
  bool IsOpen(MonoTime aNow, uint64_t aAnsweredPoll) const
  {
    return aNow <= givenUpAt_ && !IsClosedBy(aAnsweredPoll);
  }
  /// Covers the other order as well.
  void Extend(const OrderTerm& aOther);
};

/// An order that had no answer when its run ended. While it is under way, the
/// present incarnation of the upstream may carry it out until it is proved that
/// it does not; a later one with the same id always may.
struct OpenOrder
{
  OrderTerm term_;
  /// The present incarnation refuses the order if its clock is past this in the
  /// answer to a poll with this number or a higher one.
  UpstreamTime deadline_;
  uint64_t firstPoll_ = 0;
  bool refusedHere_ = false;
  /// Run number that the upstream was given. Another order of the task goes
  /// there under the same number, so that both can't make two runs.
  uint32_t number_ = 0;
  /// The present incarnation refuses that number, since a run has ended or has
  /// been stopped under it.
  bool numberUsed_ = false;
  /// Orders under other numbers may be carried out as well.
  bool severalNumbers_ = false;
};

/// Not thread-safe. All times are from BootNow.
class LateOrderBook
{
public:
  void Add(const JobTaskId& aTask, const OpenOrder& aOrder);
  /// Returns the order of the task that may still be carried out, or nullptr.
  const OpenOrder* Find(const JobTaskId& aTask, MonoTime aNow) const;
  /// The present incarnation refuses run numbers of the task up to this one.
  void OnNumberUsed(const JobTaskId& aTask, uint32_t aNumber);
  /// The present incarnation has answered a poll at \p aHeardAt. Forgets the
  /// orders that this closes.
  void OnPollResult(uint64_t aPollNumber,
                    UpstreamTime aClock,
                    MonoTime aHeardAt);
  /// Another incarnation with the same id is the present one, and will see a
  /// higher fence than these orders with the poll of this number.
  void OnRestart(uint64_t aFirstPoll);
  /// An incarnation with another id is the present one, which refuses orders
  /// for the earlier one.
  void Clear() { orders_.clear(); }
  /// Must be called regularly; \p aNextPoll is the number of the next poll.
  void Expire(MonoTime aNow, uint64_t aNextPoll);
  const std::map<JobTaskId, OpenOrder>& Orders() const { return orders_; }

private:
  std::map<JobTaskId, OpenOrder> orders_;
};

/// Turns the late orders of a sidecar into the changes that entries are told.
class LateOrderReport
{
public:
  /// Returns what has changed since the last call.
  LateOrders Update(const std::map<JobTaskId, LateOrder>& aOrders,
                    MonoTime aNow);
  /// Number of orders that entries have been told of.
  size_t Size() const { return told_.size(); }

private:
  struct Told
  {
    LateOrderState state_ = LateOrderState::Held;
    MonoTime until_;
    uint32_t upstreamNumber_ = 0;
  };

  std::map<JobTaskId, Told> told_;
};

} // namespace cornelfront
