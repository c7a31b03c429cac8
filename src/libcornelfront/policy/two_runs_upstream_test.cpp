/// \file
/// Model of an upstream for two_runs_test.cpp.

#include "policy/two_runs_model_test.h"

#include <algorithm>
#include <cmath>

namespace cornelfront::two_runs {
namespace {

constexpr Millis kMaxLease{ 1000 };
constexpr Millis kMaxStopTime{ 50 };
/// Calls that were held arrive within this time of the start.
constexpr Millis kMaxHeldCallDelay{ 3 };
constexpr int64_t kCpu = 8000;
/// Resources of each task.
constexpr int64_t kTaskCpu = 1000;

} // namespace

Upstream::Upstream(World& aWorld, size_t aMachine, double aPace)
  : world_(aWorld)
  , machine_(aMachine)
  , pace_(aPace)
  , info_{ .id_ = "upstream-" + std::to_string(aMachine),
           .startedMs_ = 1,
           .service_ = "service",
           .capacity_ = { .cpu_ = kCpu } }
  , startedAt_(kReplayStart)
{
}

UpstreamTime
Upstream::Clock() const
{
  const std::chrono::duration<double, std::milli> elapsed =
    world_.events_.Now() - startedAt_;
  return { Millis(static_cast<int64_t>(std::floor(elapsed.count() * pace_))) };
}

Subject
Upstream::SubjectOf(const RunKey& aKey) const
{
  return { .task_ = ToString(aKey.task_), .sidecar_ = machine_ };
}

void
Upstream::Receive(Call aCall)
{
  if (silent_ || ended_) {
    return;
  }
  if (up_) {
    aCall();
  } else if (world_.random_.Chance(0.5)) {
    heldCalls_.push_back(std::move(aCall));
  }
}

void
Upstream::Crash(Millis aDowntime, Millis aHeartbeatDelay)
{
  if (!up_ || IsDraining()) {
    return;
  }
  world_.Record({ .sidecar_ = machine_ },
                "UPSTREAM CRASHES, down for " +
                  std::to_string(aDowntime.count()) + " ms");
  for (const auto& [key, run] : running_) {
    world_.Record(SubjectOf(key), "run ends in the crash: " + ToString(key));
  }
  up_ = false;
  sendsHeartbeats_ = false;
  running_.clear();
  waiters_.clear();
  world_.events_.After(
    aDowntime, [this, aHeartbeatDelay] { StartAgain(aHeartbeatDelay); });
}

void
Upstream::StartAgain(Millis aHeartbeatDelay)
{
  const MonoTime now = world_.events_.Now();
  up_ = true;
  startedAt_ = now;
  info_.startedMs_ =
    1 + std::chrono::duration_cast<Millis>(now - kReplayStart).count();
  fence_ = 0;
  ++incarnation_;
  leaseEnd_ = {};
  leaseCall_.clear();
  leaseChecked_ = false;
  endedRuns_.clear();
  ends_ = 0;
  used_.clear();
  ++world_.counts_.upstreamRestarts_;
  world_.Record({ .sidecar_ = machine_ }, "upstream starts again");
  for (Call& call : std::exchange(heldCalls_, {})) {
    world_.events_.After(
      world_.random_.Between(Millis(0), kMaxHeldCallDelay),
      [this, call = std::move(call)]() mutable { Receive(std::move(call)); });
  }
  SendHeartbeatAfter(aHeartbeatDelay);
}

void
Upstream::SendHeartbeatAfter(Millis aDelay)
{
  world_.events_.After(aDelay, [this, incarnation = incarnation_] {
    if (up_ && incarnation == incarnation_) {
      sendsHeartbeats_ = true;
      world_.OnHeartbeat(machine_);
    }
  });
}

bool
Upstream::PassFence(int64_t aFence)
{
  fence_ = std::max(fence_, aFence);
  return aFence >= fence_;
}

StartAnswer
Upstream::Start(const RunKey& aKey,
                UpstreamTime aDeadline,
                const CallHead& aHead)
{
  if (aHead.id_ != info_.id_) {
    return StartAnswer::Refused;
  }
  if (!PassFence(aHead.fence_)) {
    world_.Record(SubjectOf(aKey), "start of " + ToString(aKey) + ": fence");
    return StartAnswer::Fenced;
  }
  const bool here = running_.contains(aKey);
  if (!here && Clock() > aDeadline) {
    world_.Record(SubjectOf(aKey), "start of " + ToString(aKey) + ": late");
    return StartAnswer::DeadlinePassed;
  }
  ExtendLease(aDeadline, "start of " + ToString(aKey));
  if (here) {
    return StartAnswer::Started;
  }
  const auto used = used_.find(aKey.task_);
  if (used != used_.end() && aKey.run_ <= used->second) {
    world_.Record(SubjectOf(aKey), "start of " + ToString(aKey) + ": old");
    return StartAnswer::RunNumberUsed;
  }
  Resources with = Used();
  with += { .cpu_ = kTaskCpu };
  if (!info_.capacity_.CanFit(with)) {
    return StartAnswer::Full;
  }
  Begin(aKey);
  return StartAnswer::Started;
}

void
Upstream::Begin(const RunKey& aKey)
{
  const uint64_t serial = ++serials_;
  const Millis time = world_.RunTime(aKey.task_);
  running_[aKey] = { .serial_ = serial,
                     .start_ = world_.events_.Now(),
                     .time_ = time };
  world_.Record(SubjectOf(aKey),
                "RUN BEGINS: " + ToString(aKey) + " for " +
                  std::to_string(time.count()) + " ms; " + DescribeLease());
  world_.OnRunStarted(*this, aKey);
  const auto failure = world_.DrawFailure(time);
  world_.events_.After(
    failure.value_or(time), [this, aKey, serial, failed = failure.has_value()] {
      End(aKey, serial, failed ? RunEnd::Failed : RunEnd::Done);
    });
}

void
Upstream::Stop(const RunKey& aKey, const CallHead& aHead)
{
  if (aHead.id_ != info_.id_ || !PassFence(aHead.fence_)) {
    return;
  }
  world_.Record(SubjectOf(aKey), "stop of " + ToString(aKey) + " carried out");
  uint32_t& used = used_[aKey.task_];
  used = std::max(used, aKey.run_);
  const auto run = running_.find(aKey);
  if (run == running_.end() || run->second.stopping_) {
    return;
  }
  run->second.stopping_ = true;
  world_.events_.After(world_.random_.Between(Millis(0), kMaxStopTime),
                       [this, aKey, serial = run->second.serial_] {
                         End(aKey, serial, RunEnd::Stopped);
                       });
}

void
Upstream::End(const RunKey& aKey, uint64_t aSerial, RunEnd aEnd)
{
  const auto run = running_.find(aKey);
  if (run == running_.end() || run->second.serial_ != aSerial) {
    return;
  }
  running_.erase(run);
  uint32_t& used = used_[aKey.task_];
  used = std::max(used, aKey.run_);
  endedRuns_.push_back({ .number_ = ++ends_, .key_ = aKey, .end_ = aEnd });
  world_.Record(SubjectOf(aKey),
                "run ends: " + ToString(aKey) + ' ' +
                  std::string(ToString(aEnd)));
  world_.OnRunEnded(aKey, aEnd);
  while (!waiters_.empty()) {
    Answer(waiters_.begin()->first);
  }
}

void
Upstream::ExtendLease(UpstreamTime aEnd, const std::string& aCall)
{
  const UpstreamTime end =
    std::min(aEnd, UpstreamTime{ Clock().value_ + kMaxLease });
  if (end <= leaseEnd_) {
    return;
  }
  leaseEnd_ = end;
  leaseCall_ = aCall;
  leaseExtendedAt_ = world_.events_.Now();
  if (!leaseChecked_) {
    leaseChecked_ = true;
    CheckLease();
  }
}

void
Upstream::CheckLease()
{
  const Millis left = leaseEnd_.value_ - Clock().value_;
  if (left <= Millis(0)) {
    leaseChecked_ = false;
    ExpireLease();
    return;
  }
  const auto delay = static_cast<double>(left.count()) / pace_;
  world_.events_.After(Millis(std::max<int64_t>(1, std::llround(delay))),
                       [this, incarnation = incarnation_] {
                         if (up_ && incarnation == incarnation_) {
                           CheckLease();
                         }
                       });
}

void
Upstream::ExpireLease()
{
  const auto runs = running_;
  for (const auto& [key, run] : runs) {
    End(key, run.serial_, RunEnd::LeaseExpired);
  }
}

Resources
Upstream::Used() const
{
  return { .cpu_ = kTaskCpu * static_cast<int64_t>(running_.size()) };
}

void
Upstream::Poll(const PollOrder& aOrder, PollReply aReply)
{
  if (aOrder.head_.id_ != info_.id_) {
    aReply({ .startedMs_ = info_.startedMs_, .sameId_ = false });
    return;
  }
  if (!PassFence(aOrder.head_.fence_)) {
    aReply({ .startedMs_ = info_.startedMs_, .accepted_ = false });
    return;
  }
  if (aOrder.lease_) {
    ExtendLease(*aOrder.lease_, "poll");
  }
  std::erase_if(endedRuns_, [&](const EndedEntry& aEntry) {
    return aEntry.number_ <= aOrder.acknowledged_;
  });
  const uint64_t waiter = ++serials_;
  waiters_[waiter] = std::move(aReply);
  if (!endedRuns_.empty() || aOrder.wait_ == Millis(0)) {
    Answer(waiter);
  } else {
    world_.events_.After(aOrder.wait_, [this, waiter] { Answer(waiter); });
  }
}

void
Upstream::Answer(uint64_t aWaiter)
{
  const auto waiter = waiters_.extract(aWaiter);
  if (!waiter.empty()) {
    waiter.mapped()({ .startedMs_ = info_.startedMs_, .result_ = Lists() });
  }
}

UpstreamPollResult
Upstream::Lists() const
{
  UpstreamPollResult result{ .clock_ = Clock(), .ended_ = endedRuns_ };
  for (const auto& [key, run] : running_) {
    constexpr int64_t kHundredPercent = 100;
    const auto percent =
      kHundredPercent * (world_.events_.Now() - run.start_) / run.time_;
    result.running_.push_back(
      { .key_ = key, .percent_ = static_cast<int32_t>(percent) });
  }
  return result;
}

std::optional<uint32_t>
Upstream::OtherRun(const RunKey& aKey, bool aHere) const
{
  for (auto run = running_.lower_bound({ aKey.task_, 0 });
       run != running_.end() && run->first.task_ == aKey.task_;
       ++run) {
    if (!aHere || run->first.run_ != aKey.run_) {
      return run->first.run_;
    }
  }
  return std::nullopt;
}

std::string
Upstream::DescribeLease() const
{
  const auto age =
    std::chrono::duration_cast<Millis>(world_.events_.Now() - leaseExtendedAt_);
  return "lease ends in " +
         std::to_string((leaseEnd_.value_ - Clock().value_).count()) +
         " ms, extended " + std::to_string(age.count()) + " ms ago by " +
         (leaseCall_.empty() ? "nothing" : leaseCall_) + ", clock at " +
         (pace_ < 1.0 ? "98 %" : "100 %");
}

} // namespace cornelfront::two_runs
