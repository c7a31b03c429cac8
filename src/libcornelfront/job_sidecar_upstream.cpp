/// \file
/// JobSidecar: heartbeats, polls of the upstream, and orders to it.

#include "job_sidecar_pvt.h"

#include <glog/logging.h>

namespace cornelfront {
namespace {

/// Maximum wait of one poll while something runs; kept short because an
/// unanswered poll hides all ends until the next one.
constexpr Millis kBusyLookWait{ 50 };
/// The same after recent unanswered polls.
constexpr Millis kDoubtfulLookWait{ 15 };
constexpr Millis kDoubtMemory{ 3000 };
/// The same while nothing runs; several polls fit into one lease.
constexpr Millis kIdleLookWait{ 300 };
constexpr Millis kLookPause{ 1 };
constexpr Millis kMostPatience{ 320 };
/// The lease is not extended once the upstream has been silent for this long,
/// so that its expiry time is known.
constexpr Millis kLeaseDoubt{ 500 };
/// Time after which a start order is void.
constexpr Millis kStartDeadline{ 250 };

} // namespace

void
JobSidecar::Impl::OnHeartbeat(const platform::Heartbeat& aBeat)
{
  const MonoTime now = BootNow();
  const auto& known = table_.Upstream();
  const bool same = known && known->id_ == aBeat.info_.id_ &&
                    known->bornMs_ == aBeat.info_.bornMs_;
  if (same && aBeat.sequence_ <= lastBeat_) {
    LOG(WARNING) << "heartbeat upstream=" << aBeat.info_.id_
                 << " sequence=" << aBeat.sequence_ << " newest=" << lastBeat_
                 << " outcome=ignored";
    return;
  }
  if (known && !same && aBeat.info_.bornMs_ < known->bornMs_ &&
      now - table_.UpstreamHeard() < kLongestPause) {
    LOG(WARNING) << "heartbeat upstream=" << aBeat.info_.id_
                 << " current=" << known->id_ << " outcome=outdated";
    return;
  }
  lastBeat_ = aBeat.sequence_;
  const bool draining = known && known->draining_;
  if (!same || draining != aBeat.info_.draining_) {
    LOG(INFO) << "upstream id=" << aBeat.info_.id_
              << " born=" << aBeat.info_.bornMs_
              << " cpu=" << aBeat.info_.capacity_.cpu_
              << " draining=" << aBeat.info_.draining_;
  }
  table_.OnUpstream(aBeat.info_, now);
  if (!same) {
    executor_->SetIncarnation(aBeat.info_);
    clock_ = aBeat.clock_.value_or(UpstreamClock{});
    clockRead_ = now;
  }
  if (!looking_) {
    Look();
  }
  Pump(now);
  SendStatus(now);
}

void
JobSidecar::Impl::OnUpstreamLeft(const std::string& aId)
{
  const auto& known = table_.Upstream();
  if (known && known->id_ == aId) {
    LOG(INFO) << "upstream id=" << aId << " outcome=left";
    const MonoTime now = BootNow();
    table_.OnUpstreamGone(now);
    Pump(now);
    SendStatus(now);
  }
}

void
JobSidecar::Impl::Look()
{
  const MonoTime now = BootNow();
  if (!table_.HasUpstream()) {
    looking_ = false;
    return;
  }
  looking_ = true;
  std::optional<UpstreamClock> lease;
  if (now - table_.UpstreamHeard() < kLeaseDoubt && table_.MayExtendLease()) {
    lease = { UpstreamNow(now).value_ + settings_.lease_ };
  }
  const uint64_t begin = table_.BeginLook();
  executor_->Look(
    table_.AcknowledgedEnds(),
    lease,
    LookWait(now),
    patience_,
    [this, begin](platform::LookOutcome aOutcome, const UpstreamLook& aLook) {
      OnLook(begin, aOutcome, aLook);
    });
}

Millis
JobSidecar::Impl::LookWait(MonoTime aNow) const
{
  if (!looked_) {
    // The first poll returns at once, because runs that a predecessor left must
    // be stopped without delay.
    return Millis(0);
  }
  if (table_.Size() == 0) {
    return kIdleLookWait;
  }
  return aNow - unanswered_ < kDoubtMemory ? kDoubtfulLookWait : kBusyLookWait;
}

void
JobSidecar::Impl::OnLook(uint64_t aBegin,
                         platform::LookOutcome aOutcome,
                         const UpstreamLook& aLook)
{
  const MonoTime now = BootNow();
  CheckPause(now);
  if (aOutcome == platform::LookOutcome::Ok) {
    patience_ = std::max(patience_ * 9 / 10, kLeastPatience);
    if (table_.OnLook(aBegin, aLook, now)) {
      looked_ = true;
      clock_ = aLook.clock_;
      clockRead_ = now;
    }
    Pump(now);
    Look();
    return;
  }
  patience_ = std::min(patience_ * 2, kMostPatience);
  unanswered_ = now;
  metrics_.CountUnanswered();
  if (aOutcome == platform::LookOutcome::Replaced) {
    const bool present = table_.OnUpstreamReplaced(aBegin, now);
    LOG(WARNING) << "upstream outcome="
                 << (present ? "replaced" : "was_replaced_before");
    Pump(now);
    SendStatus(now);
  }
  lookTimer_->expires_after(kLookPause);
  lookTimer_->async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Look();
    }
  });
}

void
JobSidecar::Impl::Pump(MonoTime aNow)
{
  for (const RunKey& key : table_.TakeStops(aNow)) {
    executor_->Stop(key);
  }
  for (const StartOrder& order : table_.TakeStarts(aNow)) {
    SendStart(order, aNow);
  }
  auto news = table_.TakeNews();
  if (news.empty()) {
    return;
  }
  const UpstreamReport report = table_.Report(aNow);
  for (auto& [id, items] : news) {
    for (const RunReport& item : items.reports_) {
      metrics_.CountRun(item);
    }
    const auto owner = owners_.find(id);
    if (owner != owners_.end()) {
      Send(id, owner->second, std::move(items), report, aNow);
    }
  }
}

void
JobSidecar::Impl::SendStart(const StartOrder& aOrder, MonoTime aNow)
{
  const UpstreamClock deadline{ UpstreamNow(aNow).value_ + kStartDeadline };
  executor_->Start(aOrder,
                   deadline,
                   patience_,
                   [this, key = aOrder.key_, deadline](StartAnswer aAnswer) {
                     const MonoTime now = BootNow();
                     table_.OnStartAnswer(key, aAnswer, deadline, now);
                     Pump(now);
                   });
}

UpstreamClock
JobSidecar::Impl::UpstreamNow(MonoTime aNow) const
{
  return { clock_.value_ +
           std::chrono::duration_cast<Millis>(aNow - clockRead_) };
}

} // namespace cornelfront
