/// \file
/// Upstreams of the model for two_runs_test.cpp that leave, and those that take
/// their place.

#include "policy/two_runs_model_test.h"

namespace cornelfront::two_runs {
namespace {

constexpr Millis kPingTimeout{ 1000 };
constexpr Millis kMinDrain{ 100 };
constexpr Millis kMaxDrain{ 2000 };
/// Time for which an upstream lives on without an acknowledgement.
constexpr Millis kMaxLife{ 5000 };
/// The same after an acknowledgement.
constexpr Millis kMaxAcknowledgedLife{ 100 };
constexpr Millis kMaxSilenceDelay{ 500 };
constexpr Millis kMaxVacancy{ 1500 };
constexpr Millis kMaxHeartbeatDelay{ 1000 };
constexpr Millis kMaxCallDelay{ 2 };
constexpr Millis kMinHeldUp{ 100 };
constexpr Millis kMaxHeldUp{ 4000 };

constexpr double kSilentShare = 0.3;
constexpr double kBesideShare = 0.4;
constexpr double kLostShare = 0.25;
constexpr double kHeldUpShare = 0.25;
constexpr double kWithoutStartTimeShare = 0.1;
constexpr double kAcknowledgementLostShare = 0.3;

} // namespace

Upstream::Upstream(const Upstream& aPredecessor)
  : Upstream(aPredecessor.world_, aPredecessor.machine_, aPredecessor.pace_)
{
  startedAt_ = world_.events_.Now();
  const Millis time =
    std::chrono::duration_cast<Millis>(startedAt_ - kReplayStart);
  info_.id_.append("-").append(std::to_string(time.count()));
  info_.startedMs_ = 1 + time.count();
  sendsHeartbeats_ = false;
}

void
Upstream::Drain()
{
  info_.draining_ = true;
  world_.Record({ .sidecar_ = machine_ }, "upstream begins to drain");
}

void
Upstream::Leave()
{
  sendsHeartbeats_ = false;
  world_.Record({ .sidecar_ = machine_ }, "UPSTREAM LEAVES: " + info_.id_);
}

void
Upstream::FallSilent()
{
  if (ended_) {
    return;
  }
  silent_ = true;
  waiters_.clear();
  world_.Record({ .sidecar_ = machine_ }, info_.id_ + " answers nothing now");
}

void
Upstream::EndProcess()
{
  if (std::exchange(ended_, true)) {
    return;
  }
  world_.Record({ .sidecar_ = machine_ }, "process ends: " + info_.id_);
  for (const auto& [key, run] : running_) {
    world_.Record(SubjectOf(key), "run ends with it: " + ToString(key));
  }
  up_ = false;
  running_.clear();
  waiters_.clear();
}

/// The drain begins with the acknowledgement of a heartbeat that announces it.
void
World::DrainUpstream()
{
  const size_t machine = random_.Below(upstreams_.size());
  const Upstream& upstream = *upstreams_[machine];
  if (upstream.IsDraining() || !upstream.SendsHeartbeats()) {
    return;
  }
  if (scenario_.departuresUnannounced_) {
    Deregister(machine);
    return;
  }
  upstreams_[machine]->Drain();
  const auto begin = [this,
                      machine,
                      time = random_.Between(kMinDrain, kMaxDrain),
                      begun = std::make_shared<bool>(false)] {
    if (!std::exchange(*begun, true)) {
      events_.After(time, [this, machine] { Deregister(machine); });
    }
  };
  if (const auto sidecar = sidecars_[machine]) {
    sidecar->Post(Millis(1),
                  [sidecar = sidecar.get(), info = upstream.Info(), begin] {
                    sidecar->OnHeartbeat(info);
                    begin();
                  });
  }
  // Another node acknowledges it.
  events_.After(kPingTimeout, begin);
}

void
World::Deregister(size_t aMachine)
{
  Upstream& upstream = *upstreams_[aMachine];
  ++counts_.departures_;
  counts_.runsOfDeparted_ += upstream.RunCount();
  upstream.Leave();
  SendDeparture(aMachine, upstream);
  const Millis life = random_.Between(Millis(0), kMaxLife);
  events_.After(life, [&upstream] { upstream.EndProcess(); });
  if (random_.Chance(kSilentShare)) {
    events_.After(random_.Between(Millis(0), kMaxSilenceDelay),
                  [&upstream] { upstream.FallSilent(); });
  }
  const Millis vacancy = random_.Chance(kBesideShare)
                           ? random_.Between(-life, Millis(0))
                           : random_.Between(Millis(0), kMaxVacancy);
  events_.After(life + vacancy, [this, aMachine, &upstream] {
    StartSuccessor(aMachine, upstream);
  });
}

/// The call may be lost, or be held up on its way.
void
World::SendDeparture(size_t aMachine, Upstream& aUpstream)
{
  if (scenario_.departuresUnannounced_ || random_.Chance(kLostShare)) {
    return;
  }
  const Millis delay = random_.Chance(kHeldUpShare)
                         ? random_.Between(kMinHeldUp, kMaxHeldUp)
                         : random_.Between(Millis(0), kMaxCallDelay);
  UpstreamDeparture departure{ .id_ = aUpstream.Info().id_ };
  if (!random_.Chance(kWithoutStartTimeShare)) {
    departure.startedMs_ = aUpstream.Info().startedMs_;
  }
  const auto acknowledge = [this, &aUpstream] {
    if (!random_.Chance(kAcknowledgementLostShare)) {
      events_.After(random_.Between(Millis(0), kMaxAcknowledgedLife),
                    [&aUpstream] { aUpstream.EndProcess(); });
    }
  };
  events_.After(delay, [this, aMachine, departure, acknowledge] {
    if (const auto sidecar = sidecars_[aMachine]) {
      sidecar->Post(Millis(0),
                    [sidecar = sidecar.get(), departure, acknowledge] {
                      sidecar->OnUpstreamLeft(departure, acknowledge);
                    });
    }
  });
}

void
World::StartSuccessor(size_t aMachine, const Upstream& aUpstream)
{
  if (!aUpstream.HasEnded()) {
    ++counts_.successorsBeside_;
  }
  auto successor = std::make_unique<Upstream>(aUpstream);
  Record({ .sidecar_ = aMachine }, "upstream starts: " + successor->Info().id_);
  successor->SendHeartbeatAfter(random_.Between(Millis(0), kMaxHeartbeatDelay));
  formerUpstreams_.push_back(
    std::exchange(upstreams_[aMachine], std::move(successor)));
}

} // namespace cornelfront::two_runs
