/// \file
/// RunTable: orders without an answer that may still be carried out, and where
/// their tasks may be started meanwhile.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <array>

namespace cornelfront {
namespace {

constexpr std::array<std::string_view, 3> kLateOrderStates = {
  "held",
  "only_here",
  "settled",
};

} // namespace

std::string_view
ToString(LateOrderState aState)
{
  return kLateOrderStates.at(static_cast<size_t>(aState));
}

std::optional<OrderTerm>
RunTable::OpenTerm(const Run& aRun) const
{
  const bool answered = aRun.state_ == State::Running && aRun.unanswered_ == 0;
  if (aRun.state_ == State::Waiting || answered) {
    return std::nullopt;
  }
  const MonoTime dueBy = aRun.orderedAt_ + OrderDelay(aRun);
  const bool stored = aRun.term_ > 0;
  OrderTerm term{
    .dueBy_ = dueBy,
    .givenUpAt_ = stored ? dueBy : dueBy + options_.maxRestartSilence_,
    .closingPoll_ = aRun.closingPoll_,
    .maxSilence_ = stored ? options_.maxStoredOrderSilence_ : Millis(0),
  };
  term.OnAnswer(upstreamHeardAt_);
  return term;
}

Millis
RunTable::OrderDelay(const Run& aRun) const
{
  return aRun.term_ > 0 ? options_.maxStoredOrderDelay_
                        : options_.maxOrderDelay_;
}

bool
RunTable::MayBeginLate(const Run& aRun, MonoTime aNow) const
{
  const auto term = OpenTerm(aRun);
  return term && aNow <= term->dueBy_;
}

void
RunTable::CloseDueOrders(MonoTime aNow)
{
  const uint64_t nextPoll = polls_ + 1;
  for (auto& [key, run] : runs_) {
    if (auto term = OpenTerm(run)) {
      term->OnTick(aNow, nextPoll);
      run.closingPoll_ = term->closingPoll_;
    }
  }
  lateOrders_.Expire(aNow, nextPoll);
}

bool
RunTable::HasOrphanOf(const JobTaskId& aTask) const
{
  return HasTask(orphans_, aTask) || HasTask(formerRuns_, aTask);
}

bool
RunTable::IsHeldHere(const JobTaskId& aTask, MonoTime aNow) const
{
  if (HasOrphanOf(aTask)) {
    return true;
  }
  const OpenOrder* order = lateOrders_.Find(aTask, aNow);
  return order != nullptr && !IsSettledHere(*order, aNow);
}

bool
RunTable::IsSettledHere(const OpenOrder& aOrder, MonoTime aNow) const
{
  return aOrder.refusedHere_ && !aOrder.numberUsed_ &&
         !aOrder.severalNumbers_ &&
         KnowledgeOfUpstream(aNow) == UpstreamKnowledge::Full;
}

RunTable::UpstreamKnowledge
RunTable::KnowledgeOfUpstream(MonoTime aNow) const
{
  const Millis silence = Since(upstreamHeardAt_, aNow);
  if (!upstream_ || !runsKnown_ || silence > options_.upstreamSuspectAfter_) {
    return UpstreamKnowledge::None;
  }
  return IsQuiet(aNow) ? UpstreamKnowledge::Quiet : UpstreamKnowledge::Full;
}

std::map<JobTaskId, LateOrder>
RunTable::FindLateOrders(MonoTime aNow) const
{
  const UpstreamKnowledge knowledge = KnowledgeOfUpstream(aNow);
  std::map<JobTaskId, LateOrder> found;
  const auto add =
    [&](const RunKey& aRun, LateOrderState aState, MonoTime aUntil) {
      const LateOrder order{ .task_ = aRun.task_,
                             .state_ = aState,
                             .left_ = Since(aNow, aUntil),
                             .upstreamNumber_ = aRun.run_ };
      const auto [known, added] = found.try_emplace(aRun.task_, order);
      LateOrder& all = known->second;
      if (!added) {
        all.state_ = std::min(all.state_, aState);
        all.left_ = std::max(all.left_, order.left_);
      }
      if (all.upstreamNumber_ != order.upstreamNumber_) {
        all.state_ = LateOrderState::Held;
        all.upstreamNumber_ = 0;
      }
    };
  for (const auto& item : runs_) {
    const auto& [key, run] = item;
    // Entries must know another number before the order is sent: this process
    // may be lost right after it.
    const bool other = HasOtherNumber(item);
    const bool listed =
      other || run.unanswered_ > 0 || knowledge == UpstreamKnowledge::None;
    if (other && run.state_ == State::Waiting) {
      add(UpstreamKey(key, run),
          LateOrderState::Held,
          (run.term_ > 0 ? run.queuedAt_ : run.startBy_) + OrderDelay(run));
    } else if (run.keptPastRestart_) {
      add(UpstreamKey(key, run), LateOrderState::Held, aNow + OrderDelay(run));
      continue;
    }
    const auto term = listed ? OpenTerm(run) : std::nullopt;
    if (term && term->IsOpen(aNow, answeredPoll_)) {
      add(UpstreamKey(key, run), LateOrderState::Held, term->givenUpAt_);
    }
  }
  for (const auto& [key, stop] : orphans_) {
    // It ends with its lease at the latest, which is not extended.
    add(key, LateOrderState::Held, aNow + options_.leaseExpiry_);
  }
  for (const auto& [key, run] : formerRuns_) {
    if (!run.owner_) {
      add(key, LateOrderState::Held, run.leaseOverAt_);
    }
  }
  for (const auto& [task, order] : lateOrders_.Orders()) {
    const bool settledHere = IsSettledHere(order, aNow);
    if (aNow <= order.term_.givenUpAt_) {
      add({ task, order.severalNumbers_ ? 0 : order.number_ },
          settledHere ? LateOrderState::OnlyHere : LateOrderState::Held,
          order.term_.givenUpAt_);
    }
  }
  return found;
}

LateOrders
RunTable::TakeLateOrders(MonoTime aNow)
{
  const UpstreamKnowledge knowledge = KnowledgeOfUpstream(aNow);
  if (!lateOrdersChanged_ && knowledge == reportedKnowledge_) {
    return {};
  }
  lateOrdersChanged_ = false;
  reportedKnowledge_ = knowledge;
  return lateOrderReport_.Update(FindLateOrders(aNow), aNow);
}

LateOrders
RunTable::KnownLateOrders(MonoTime aNow) const
{
  LateOrders known{ .all_ = true };
  for (const auto& [task, order] : FindLateOrders(aNow)) {
    known.orders_.push_back(order);
  }
  return known;
}

} // namespace cornelfront
