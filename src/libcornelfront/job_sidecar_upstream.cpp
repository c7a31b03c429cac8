/// \file
/// JobSidecar: heartbeats, polls of the upstream, and orders to it.

#include "job_sidecar_pvt.h"

#include <glog/logging.h>

#include <utility>

namespace cornelfront {
namespace {

/// Maximum wait of one poll while something runs; kept short because an
/// unanswered poll hides all ends until the next one.
constexpr Millis kBusyPollWait{ 50 };
/// The same after recent unanswered polls.
constexpr Millis kDegradedPollWait{ 15 };
constexpr Millis kDegradedPeriod{ 3000 };
/// The same while nothing runs; several polls fit into one lease.
constexpr Millis kIdlePollWait{ 300 };
constexpr Millis kMinPollRetryDelay{ 1 };
/// A deregistration is acknowledged after this time, whatever runs: executors
/// may wait no longer than a second. Their runs end as the table proves.
constexpr Millis kMaxDepartureHold{ 800 };

} // namespace

void
JobSidecar::Impl::OnHeartbeat(const platform::Heartbeat& aHeartbeat)
{
  const MonoTime now = BootNow();
  const auto& known = table_.Upstream();
  const HeartbeatSender sender = table_.IdentifySender(aHeartbeat.info_);
  const bool same = sender == HeartbeatSender::Current;
  if (same && aHeartbeat.sequence_ <= lastHeartbeat_) {
    LOG(WARNING) << "heartbeat upstream=" << aHeartbeat.info_.id_
                 << " sequence=" << aHeartbeat.sequence_
                 << " newest=" << lastHeartbeat_ << " outcome=ignored";
    return;
  }
  if (sender == HeartbeatSender::Outdated) {
    const Millis silence =
      std::chrono::duration_cast<Millis>(now - table_.UpstreamHeardAt());
    LOG(WARNING) << "heartbeat upstream=" << aHeartbeat.info_.id_
                 << " born=" << aHeartbeat.info_.startedMs_
                 << " current=" << (known ? known->id_ : "none")
                 << " current_born=" << (known ? known->startedMs_ : 0)
                 << " silent_ms=" << silence.count() << " outcome=outdated";
    return;
  }
  if (sender == HeartbeatSender::Unproven) {
    NoteClaim(aHeartbeat, now);
    return;
  }
  lastHeartbeat_ = aHeartbeat.sequence_;
  const bool draining = known && known->draining_;
  if (!same || draining != aHeartbeat.info_.draining_) {
    LOG(INFO) << "upstream id=" << aHeartbeat.info_.id_
              << " born=" << aHeartbeat.info_.startedMs_
              << " cpu=" << aHeartbeat.info_.capacity_.cpu_
              << " draining=" << aHeartbeat.info_.draining_;
  }
  table_.OnUpstream(aHeartbeat.info_, now);
  if (!same) {
    clock_ = aHeartbeat.clock_.value_or(UpstreamTime{});
    clockRead_ = now;
    executor_->SetIncarnation(aHeartbeat.info_, clock_);
  }
  if (!same) {
    RestartPolling();
  } else if (!polling_) {
    Poll();
  } else {
    PollWithoutDelay();
  }
  SendPending(now);
  SendStatus(now);
}

/// Keeps a heartbeat that proves nothing until the next answer at the address
/// of the current incarnation tells.
void
JobSidecar::Impl::NoteClaim(const platform::Heartbeat& aHeartbeat,
                            MonoTime aNow)
{
  const auto& known = table_.Upstream();
  LOG(WARNING) << "heartbeat upstream=" << aHeartbeat.info_.id_
               << " born=" << aHeartbeat.info_.startedMs_
               << " service=" << aHeartbeat.info_.service_
               << " current=" << (known ? known->id_ : "none")
               << " current_born=" << (known ? known->startedMs_ : 0)
               << " runs=" << table_.Size() << " outcome=unproven";
  claim_ = Claim{ .heartbeat_ = aHeartbeat, .arrived_ = aNow };
  PollWithoutDelay();
}

bool
JobSidecar::Impl::AcceptClaim()
{
  const bool proven =
    claim_ && table_.IdentifySender(claim_->heartbeat_.info_) !=
                HeartbeatSender::Unproven;
  if (!proven) {
    return false;
  }
  const Claim claim = *std::exchange(claim_, std::nullopt);
  OnHeartbeat(claim.heartbeat_);
  return true;
}

/// The current incarnation has answered a poll that was sent at \p aPolled.
void
JobSidecar::Impl::RejectClaim(MonoTime aPolled)
{
  if (claim_ && aPolled >= claim_->arrived_) {
    LOG(WARNING) << "heartbeat upstream=" << claim_->heartbeat_.info_.id_
                 << " outcome=refuted";
    claim_.reset();
  }
}

void
JobSidecar::Impl::PollWithoutDelay()
{
  if (pollDelayed_) {
    pollBackoff_.Reset();
    PollAfter(Millis(0));
  }
}

/// Polls a new incarnation at once, although a poll of the earlier one may
/// still wait for its answer. Until a call with its own fence has reached it,
/// the new one carries out orders that were meant for the earlier one.
void
JobSidecar::Impl::RestartPolling()
{
  ++pollSeries_;
  pollDelayed_ = false;
  fenceOpen_ = false;
  pollTimer_->cancel();
  pollBackoff_.Reset();
  Poll();
}

void
JobSidecar::Impl::OnUpstreamLeft(const UpstreamDeparture& aDeparture,
                                 std::function<void()> aAcknowledge)
{
  const MonoTime now = BootNow();
  const auto known = table_.Upstream();
  if (!table_.IsLeaving()) {
    departureStart_ = now;
  }
  const bool left = table_.OnUpstreamLeft(aDeparture, now);
  LOG(INFO) << "upstream id=" << aDeparture.id_ << " born="
            << (aDeparture.startedMs_ ? std::to_string(*aDeparture.startedMs_)
                                      : "absent")
            << " current=" << (known ? known->id_ : "none")
            << " current_born=" << (known ? known->startedMs_ : 0)
            << " runs=" << table_.Size()
            << " outcome=" << (left ? "leaving" : "left_before");
  if (!left) {
    aAcknowledge();
    return;
  }
  departureReplies_.push_back(std::move(aAcknowledge));
  SendPending(now);
  SendStatus(now);
}

void
JobSidecar::Impl::AcknowledgeDeparture(MonoTime aNow)
{
  const auto waited =
    std::chrono::duration_cast<Millis>(aNow - departureStart_);
  const bool held = table_.IsLeaving() && waited < kMaxDepartureHold;
  if (departureReplies_.empty() || held) {
    return;
  }
  LOG(INFO) << "upstream waited_ms=" << waited.count()
            << " leaving=" << table_.IsLeaving() << " outcome=acknowledged";
  for (const auto& acknowledge : std::exchange(departureReplies_, {})) {
    acknowledge();
  }
}

void
JobSidecar::Impl::Poll()
{
  const MonoTime now = BootNow();
  polling_ = table_.HasUpstream() || fenceOpen_;
  if (!polling_) {
    return;
  }
  pollStart_ = now;
  if (!table_.HasUpstream()) {
    SendFence(now);
    return;
  }
  std::optional<UpstreamTime> lease;
  if (const auto end = table_.LeaseEnd(now)) {
    lease = UpstreamNow(*end);
    table_.OnLeaseGranted(*end, *lease);
  }
  const Millis wait = PollWait(now);
  pollWait_ = wait;
  ++openPolls_;
  const uint64_t pollNumber = table_.BeginPoll();
  executor_->Poll(
    table_.AcknowledgedEnds(),
    lease,
    wait,
    callTimeout_.Current(now),
    [this, pollNumber, wait, series = pollSeries_](
      platform::PollOutcome aOutcome, const UpstreamPollResult& aPollResult) {
      --openPolls_;
      if (series == pollSeries_) {
        OnPollResult(pollNumber, wait, aOutcome, aPollResult);
      }
    });
}

void
JobSidecar::Impl::HurryPoll(MonoTime aNow)
{
  const bool waits = polling_ && !pollDelayed_ && pollWait_ > Millis(0);
  if (waits && openPolls_ < platform::kMaxOpenPolls &&
      table_.AwaitsAnswer(aNow)) {
    ++pollSeries_;
    Poll();
  }
}

/// Ends the orders that were sent with the fence of the poll that showed a
/// restart, without waiting for the first heartbeat after it.
void
JobSidecar::Impl::SendFence(MonoTime aNow)
{
  executor_->SendFence(callTimeout_.Current(aNow),
                       [this, series = pollSeries_](bool aAnswered) {
                         if (series != pollSeries_) {
                           return;
                         }
                         fenceOpen_ = !aAnswered;
                         const MonoTime now = BootNow();
                         PollAfter(pollBackoff_.OnFailure(pollStart_, now));
                       });
}

Millis
JobSidecar::Impl::PollWait(MonoTime aNow) const
{
  // The first poll of an incarnation returns at once: nothing starts before it,
  // and runs that a predecessor left must be stopped without delay.
  if (!table_.KnowsRuns() || table_.AwaitsAnswer(aNow)) {
    return Millis(0);
  }
  // Only the acknowledgement of its last ends is left.
  if (table_.IsLeaving() && table_.Size() == 0) {
    return Millis(0);
  }
  // A longer wait would be taken for silence, which holds tasks with late
  // orders.
  // Before entries are linked, an answer is awaited as well.
  if (connecting_ && table_.Size() == 0 && table_.LateOrderCount() == 0) {
    return kIdlePollWait;
  }
  return aNow - lastUnanswered_ < kDegradedPeriod ? kDegradedPollWait
                                                  : kBusyPollWait;
}

void
JobSidecar::Impl::OnPollResult(uint64_t aPollNumber,
                               Millis aWait,
                               platform::PollOutcome aOutcome,
                               const UpstreamPollResult& aPollResult)
{
  const MonoTime now = BootNow();
  pollWait_ = Millis(0);
  DetectSuspension(now);
  if (aOutcome == platform::PollOutcome::Ok) {
    pollBackoff_.Reset();
    const auto time = std::chrono::duration_cast<Millis>(now - pollStart_);
    // An end that was listed earlier cut the wait short.
    if (time >= aWait) {
      callTimeout_.OnAnswer(time - aWait);
    }
    const bool knewRuns = table_.KnowsRuns();
    if (table_.OnPollResult(aPollNumber, aPollResult, now)) {
      answeredPollStart_ = pollStart_;
      RejectClaim(pollStart_);
      clock_ = aPollResult.clock_;
      clockRead_ = now;
      if (const auto& known = table_.Upstream(); known && !knewRuns) {
        LOG(INFO) << "upstream id=" << known->id_
                  << " born=" << known->startedMs_
                  << " running=" << aPollResult.running_.size()
                  << " ended=" << aPollResult.ended_.size()
                  << " outcome=first_answer";
        SendStatus(now);
      }
    }
    LogFound();
    SendPending(now);
    Poll();
    return;
  }
  if (aOutcome == platform::PollOutcome::Silent) {
    callTimeout_.OnNoAnswer(pollStart_, now);
  }
  lastUnanswered_ = now;
  metrics_.CountUnanswered();
  metrics_.SetGauge("call_timeout_ms",
                    static_cast<double>(callTimeout_.Current(now).count()));
  const bool restarted = aOutcome == platform::PollOutcome::Restarted;
  if (restarted || aOutcome == platform::PollOutcome::Replaced) {
    const bool present = table_.OnUpstreamReplaced(
      aPollNumber, restarted ? Replacement::SameId : Replacement::OtherId, now);
    fenceOpen_ = restarted && present;
    LOG(WARNING) << "upstream same_id=" << restarted
                 << " runs_kept=" << table_.Size() << " outcome="
                 << (present ? "replaced" : "was_replaced_before");
    SendPending(now);
    SendStatus(now);
    if (AcceptClaim()) {
      return;
    }
  }
  PollAfter(
    std::max(pollBackoff_.OnFailure(pollStart_, now), kMinPollRetryDelay));
}

void
JobSidecar::Impl::LogFound()
{
  const auto& known = table_.Upstream();
  for (const RunKey& key : table_.TakeFoundOrphans()) {
    LOG(WARNING) << "job=" << key.task_.job_ << " run=" << ToString(key)
                 << " upstream=" << (known ? known->id_ : "none")
                 << " born=" << (known ? known->startedMs_ : 0)
                 << " outcome=found_unordered";
  }
  for (const RunReport& end : table_.TakeFoundEnds()) {
    LOG(INFO) << "job=" << end.key_.task_.job_
              << " upstream_run=" << ToString(end.key_)
              << " end=" << ToString(end.end_) << " outcome=found_ended";
  }
}

void
JobSidecar::Impl::PollAfter(Millis aDelay)
{
  pollDelayed_ = true;
  pollTimer_->expires_after(aDelay);
  pollTimer_->async_wait([this](const asio::error_code& aError) {
    // A handler that was queued before the delay changed must not start a
    // second series of polls.
    if (!aError && pollDelayed_) {
      pollDelayed_ = false;
      Poll();
    }
  });
}

void
JobSidecar::Impl::SendPending(MonoTime aNow)
{
  DetectSuspension(aNow);
  SendCrashes();
  SendLateOrders(aNow);
  for (const StopRequest& stop : table_.TakeStops(aNow)) {
    LOG(INFO) << "job=" << stop.key_.task_.job_
              << " run=" << ToString(stop.key_)
              << " reason=" << ToString(stop.reason_)
              << " age_ms=" << stop.age_.count() << " outcome=stop_sent";
    metrics_.CountStop(stop.reason_);
    executor_->Stop(stop.key_);
  }
  for (const StartRequest& order : table_.TakeStarts(aNow)) {
    SendStart(order, aNow);
  }
  HurryPoll(aNow);
  AcknowledgeDeparture(aNow);
  auto updates = table_.TakeUpdates();
  if (updates.empty()) {
    return;
  }
  const UpstreamReport report = table_.MakeUpstreamReport(aNow);
  for (auto& [id, items] : updates) {
    for (const RunReport& item : items.reports_) {
      metrics_.CountRun(item);
      LogRunEnd(id, item);
    }
    const auto owner = owners_.find(id);
    if (owner != owners_.end()) {
      Send(id, owner->second, std::move(items), report, aNow);
    }
  }
}

void
JobSidecar::Impl::SendStart(const StartRequest& aOrder, MonoTime aNow)
{
  const UpstreamTime deadline{ UpstreamNow(aNow).value_ +
                               table_.Options().startTimeout_ };
  table_.OnDeadlineSent(deadline);
  executor_->Start(
    aOrder,
    deadline,
    callTimeout_.Current(aNow),
    [this,
     key = aOrder.key_,
     number = aOrder.upstreamRunNumber_,
     silence = aNow - table_.UpstreamHeardAt(),
     knewRuns = table_.KnowsRuns(),
     deadline,
     known = clock_,
     aNow](StartAnswer aAnswer, std::optional<UpstreamTime> aClock) {
      const MonoTime now = BootNow();
      if (aAnswer == StartAnswer::Unknown) {
        callTimeout_.OnNoAnswer(aNow, now);
        metrics_.CountUnanswered();
        LOG(INFO) << "job=" << key.task_.job_ << " run=" << ToString(key)
                  << " number=" << number << " upstream_silent_ms="
                  << std::chrono::duration_cast<Millis>(silence).count()
                  << " runs_known=" << knewRuns << " outcome=order_open";
      } else if (aAnswer != StartAnswer::NotSent) {
        callTimeout_.OnAnswer(std::chrono::duration_cast<Millis>(now - aNow));
      }
      table_.OnStartAnswer(
        key, CheckIncarnation(aAnswer, aClock, known), deadline, now);
      SendPending(now);
    });
}

void
JobSidecar::Impl::LogRunEnd(MemberId aOwner, const RunReport& aReport)
{
  LOG(INFO) << "job=" << aReport.key_.task_.job_
            << " run=" << ToString(aReport.key_)
            << " entry=" << ToString(aOwner)
            << " waited_ms=" << aReport.waited_.count()
            << " ran_ms=" << aReport.runTime_.count()
            << " end=" << ToString(aReport.end_) << " outcome=run_ended";
}

UpstreamTime
JobSidecar::Impl::UpstreamNow(MonoTime aNow) const
{
  return { clock_.value_ +
           std::chrono::duration_cast<Millis>(aNow - clockRead_) };
}

} // namespace cornelfront
