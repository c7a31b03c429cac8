/// \file
/// Late orders in the store, in the model for two_runs_test.cpp; follows
/// JobSidecar, which writes them, and JobEntry, which reads them at its start.

#include "policy/two_runs_model_test.h"

namespace cornelfront::two_runs {
namespace {

/// Time until the store has taken an append.
constexpr Millis kAppendTime{ 5 };
/// Time for which a process that starts reads the store.
constexpr Millis kReadTime{ 30 };

} // namespace

void
World::AppendLateOrders(LateOrderRecord aRecord)
{
  events_.After(kAppendTime, [this, record = std::move(aRecord)] {
    storedLateOrders_.push_back(record);
  });
}

void
SidecarProcess::StoreLateOrders(MonoTime aNow)
{
  std::vector<LateOrder> orders = lateOrderJournal_.TakeBatch(aNow);
  if (orders.empty()) {
    return;
  }
  world_.AppendLateOrders(
    { .sidecarName_ = "sidecar-" + std::to_string(Machine()),
      .sidecar_ = Id(),
      .orders_ = std::move(orders) });
  Post(kAppendTime, [this] { lateOrderJournal_.OnWritten(true); });
}

void
EntryProcess::ReadLateOrders()
{
  Post(kReadTime, [this] {
    for (const LateOrderRecord& record : world_.StoredLateOrders()) {
      OnStoredLateOrders(record);
    }
    knowsStoredLateOrders_ = true;
    PerformActions();
  });
}

void
EntryProcess::OnStoredLateOrders(const LateOrderRecord& aRecord)
{
  const auto linked = sidecars_.find(aRecord.sidecar_);
  if (linked != sidecars_.end() && linked->second.receivedHeldRuns_) {
    return;
  }
  const MonoTime now = Now();
  scheduler_.OnLateOrders(
    aRecord.sidecar_, { .orders_ = aRecord.orders_ }, now);
  MemberId& newest =
    incarnations_.emplace(aRecord.sidecarName_, aRecord.sidecar_).first->second;
  if (newest == aRecord.sidecar_) {
    return;
  }
  if (sidecars_.contains(newest)) {
    scheduler_.OnSidecarReplaced(aRecord.sidecar_, newest, now);
  } else {
    scheduler_.OnSidecarReplaced(newest, aRecord.sidecar_, now);
    newest = aRecord.sidecar_;
  }
}

} // namespace cornelfront::two_runs
