/// \file
/// Model of a sidecar for two_runs_test.cpp; follows JobSidecar.

#include "cornelfront/predecessor.h"
#include "policy/two_runs_model_test.h"

namespace cornelfront::two_runs {
namespace {

// Values of JobSidecar.
constexpr Millis kTickInterval{ 50 };
constexpr Millis kMaxDepartureHold{ 800 };
constexpr Millis kBusyPollWait{ 50 };
constexpr Millis kDegradedPollWait{ 15 };
constexpr Millis kDegradedPeriod{ 3000 };
constexpr Millis kIdlePollWait{ 300 };
constexpr Millis kMinPollRetryDelay{ 1 };
constexpr Millis kStartTimeout{ 250 };
constexpr Millis kMaxMessageAge{ 1000 };

constexpr Millis kReconnectDelay{ 200 };
constexpr Millis kHeartbeatInterval{ 500 };
/// Delay of the answer to a call.
constexpr Millis kAnswerDelay{ 1 };
/// Time after which a leader acknowledges the ends that it learns of.
constexpr Millis kAcknowledgeInterval{ 300 };

} // namespace

SidecarProcess::SidecarProcess(World& aWorld, size_t aMachine)
  : Process(aWorld, aMachine)
  , start_(Now())
  , pollBackoff_({ .initial_ = Millis(1),
                   .max_ = Millis(200),
                   .seed_ = aWorld.random_.Next() })
{
}

Upstream&
SidecarProcess::MyUpstream() const
{
  return *world_.upstreams_[Machine()];
}

void
SidecarProcess::Start(Millis aHeartbeatDelay)
{
  Post(kTickInterval, [this] { Tick(); });
  Post(aHeartbeatDelay, [this] { Heartbeat(); });
  if (!world_.Options().leaderTakesOver_) {
    Post(kAcknowledgeInterval, [this] { AcknowledgeEnds(); });
  }
}

void
SidecarProcess::Tick()
{
  const MonoTime now = Now();
  DetectSuspension(now);
  StartConnecting(now);
  table_.Tick(now);
  AcceptClaim();
  SendPending(now);
  SendStatus(now);
  StoreLateOrders(now);
  Post(kTickInterval, [this] { Tick(); });
}

void
SidecarProcess::Heartbeat()
{
  if (MyUpstream().SendsHeartbeats()) {
    OnHeartbeat(MyUpstream().Info());
  }
  Post(kHeartbeatInterval, [this] { Heartbeat(); });
}

void
SidecarProcess::OnHeartbeat(const UpstreamInfo& aInfo)
{
  const MonoTime now = Now();
  const HeartbeatSender sender = table_.IdentifySender(aInfo);
  if (sender == HeartbeatSender::Outdated) {
    return;
  }
  if (sender == HeartbeatSender::Unproven) {
    claim_ = Claim{ .info_ = aInfo, .arrived_ = now };
    if (pollDelayed_) {
      pollBackoff_.Reset();
      PollAfter(Millis(0));
    }
    return;
  }
  table_.OnUpstream(aInfo, now);
  if (sender == HeartbeatSender::Successor) {
    calledId_ = aInfo.id_;
    world_.Record({ .sidecar_ = Machine() },
                  "first heartbeat of an incarnation arrives");
    clock_ = MyUpstream().Clock();
    clockRead_ = now;
    fence_.OnIncarnation(aInfo.startedMs_, clock_);
    fenceOpen_ = false;
    ++pollSeries_;
    pollDelayed_ = false;
    pollBackoff_.Reset();
    Poll();
  } else if (!polling_) {
    Poll();
  } else if (pollDelayed_) {
    pollBackoff_.Reset();
    PollAfter(Millis(0));
  }
  SendPending(now);
  SendStatus(now);
}

bool
SidecarProcess::AcceptClaim()
{
  const bool proven =
    claim_ && table_.IdentifySender(claim_->info_) != HeartbeatSender::Unproven;
  if (!proven) {
    return false;
  }
  const Claim claim = *std::exchange(claim_, std::nullopt);
  OnHeartbeat(claim.info_);
  return true;
}

void
SidecarProcess::OnUpstreamLeft(const UpstreamDeparture& aDeparture,
                               std::function<void()> aAcknowledge)
{
  const MonoTime now = Now();
  if (!table_.IsLeaving()) {
    departureStart_ = now;
  }
  const bool left = table_.OnUpstreamLeft(aDeparture, now);
  world_.Record({ .sidecar_ = Machine() },
                "deregistration of " + aDeparture.id_ + " arrives, " +
                  (left ? "leaving" : "left before"));
  if (!left) {
    aAcknowledge();
    return;
  }
  departureReplies_.push_back(std::move(aAcknowledge));
  SendPending(now);
  SendStatus(now);
}

void
SidecarProcess::AcknowledgeDeparture()
{
  const bool held =
    table_.IsLeaving() && Now() - departureStart_ < kMaxDepartureHold;
  if (departureReplies_.empty() || held) {
    return;
  }
  world_.Record({ .sidecar_ = Machine() }, "sidecar acknowledges a departure");
  for (const auto& acknowledge : std::exchange(departureReplies_, {})) {
    acknowledge();
  }
}

CallHead
SidecarProcess::Head() const
{
  return { .id_ = calledId_, .fence_ = fence_.Value() };
}

/// Stands for the leader, which acknowledges the ends of runs of jobs that are
/// not stored.
void
SidecarProcess::AcknowledgeEnds()
{
  cornelfront::AcknowledgeEnds ends;
  for (const RunReport& report : table_.MakeHeldRuns(MemberId{}).reports_) {
    ends.runs_.push_back(report.key_);
  }
  table_.OnAcknowledgeEnds(ends);
  Post(kAcknowledgeInterval, [this] { AcknowledgeEnds(); });
}

void
SidecarProcess::DetectSuspension(MonoTime aNow)
{
  const auto suspension = table_.TakeSuspension(aNow);
  if (!suspension) {
    return;
  }
  world_.Record({ .sidecar_ = Machine() },
                "sidecar notices a suspension of " +
                  std::to_string(suspension->length_.count()) + " ms");
  if (!connecting_) {
    start_ += suspension->length_;
  }
  for (auto& [id, owner] : owners_) {
    owner.link_->Close(Side::Sidecar);
  }
  owners_.clear();
}

std::optional<Millis>
SidecarProcess::AnsweredPollAge() const
{
  if (!table_.HasUpstream() || !table_.KnowsRuns()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(answeredPollStart_ - start_);
}

std::optional<Millis>
SidecarProcess::AgeOfUpstream() const
{
  const auto& known = table_.Upstream();
  if (!known) {
    return std::nullopt;
  }
  // As Upstream counts its start times.
  const auto timeOfDay =
    Millis(1) + std::chrono::duration_cast<Millis>(Now() - kReplayStart);
  return UpstreamAge(known->startedMs_, clock_, timeOfDay);
}

void
SidecarProcess::StartConnecting(MonoTime aNow)
{
  const PredecessorView view{
    .age_ = std::chrono::duration_cast<Millis>(aNow - start_),
    .polledAt_ = AnsweredPollAge(),
    .upstreamAge_ = AgeOfUpstream(),
    .hasOrphans_ = table_.HasOrphans(),
  };
  if (connecting_ || !HavePredecessorRunsEnded(view, table_.Options())) {
    return;
  }
  connecting_ = true;
  world_.Record({ .sidecar_ = Machine() }, "sidecar begins to connect");
  for (size_t entry = 0; entry < world_.EntryCount(); ++entry) {
    Connect(entry);
  }
}

void
SidecarProcess::Connect(size_t aEntry)
{
  const LinkPtr link = world_.Connect(shared_from_this(), aEntry);
  if (!link) {
    Post(kReconnectDelay, [this, aEntry] { Connect(aEntry); });
    return;
  }
  link->Send(Side::Sidecar,
             Hello{ .role_ = Role::Sidecar,
                    .id_ = Id(),
                    .name_ = "sidecar-" + std::to_string(Machine()) });
}

void
SidecarProcess::OnMessage(const LinkPtr& aLink,
                          Message& aMessage,
                          const MessageTimes& aTimes)
{
  const MonoTime now = Now();
  DetectSuspension(now);
  if (const auto* welcome = std::get_if<Welcome>(&aMessage)) {
    OnWelcome(aLink, welcome->self_.id_, aTimes, now);
    return;
  }
  const auto entry = entries_.find(aLink->Serial());
  if (entry == entries_.end()) {
    return;
  }
  const MemberId id = entry->second;
  const auto owner = owners_.find(id);
  if (owner == owners_.end() || owner->second.link_ != aLink) {
    return;
  }
  const auto knownAge = owner->second.transit_.Measure(aTimes, now);
  if (knownAge) {
    table_.OnOwnerHeard(id, now, *knownAge);
  }
  if (auto* orders = std::get_if<StartRuns>(&aMessage)) {
    const auto age = now.time_since_epoch() - aTimes.echo_;
    OnOrders(id, *orders, std::chrono::duration_cast<Millis>(age));
  } else if (const auto* stop = std::get_if<StopRuns>(&aMessage)) {
    table_.OnStop(id, *stop, now, knownAge.value_or(kMaxMessageAge));
  } else if (const auto* over = std::get_if<TakeOver>(&aMessage)) {
    OnTakeOver(aLink, id, *over, now, knownAge.value_or(kMaxMessageAge));
  } else if (const auto* authority = std::get_if<LeaderAuthority>(&aMessage)) {
    table_.OnLeaderAuthority(
      id, *authority, now, knownAge.value_or(kMaxMessageAge));
  } else if (const auto* ends =
               std::get_if<cornelfront::AcknowledgeEnds>(&aMessage)) {
    table_.OnAcknowledgeEnds(*ends);
  } else {
    return;
  }
  SendPending(now);
}

void
SidecarProcess::OnTakeOver(const LinkPtr& aLink,
                           MemberId aEntry,
                           const TakeOver& aTakeOver,
                           MonoTime aNow,
                           Millis aAge)
{
  if (!table_.OnTakeOver(aEntry, aTakeOver, aNow, aAge)) {
    return;
  }
  HeldRuns held = table_.MakeHeldRuns(aEntry);
  world_.counts_.endsTakenOver_ += held.reports_.size();
  for (const RunReport& report : held.reports_) {
    world_.Record({ ToString(report.key_.task_), Machine(), std::nullopt },
                  "hands over to the leader: " + ToString(report.key_) + ' ' +
                    std::string(ToString(report.end_)));
  }
  aLink->Send(Side::Sidecar, std::move(held));
}

void
SidecarProcess::OnWelcome(const LinkPtr& aLink,
                          MemberId aEntry,
                          const MessageTimes& aTimes,
                          MonoTime aNow)
{
  const auto known = owners_.find(aEntry);
  if (known != owners_.end() && known->second.link_ != aLink) {
    known->second.link_->Close(Side::Sidecar);
    entries_.erase(known->second.link_->Serial());
  }
  entries_[aLink->Serial()] = aEntry;
  Owner& owner = owners_[aEntry];
  owner = { .link_ = aLink };
  table_.OnOwnerLinked(
    aEntry,
    aNow,
    owner.transit_.Measure(aTimes, aNow).value_or(kMaxMessageAge));
  aLink->Send(Side::Sidecar, table_.KnownLateOrders(aNow));
  aLink->Send(Side::Sidecar, table_.MakeHeldRuns(aEntry));
  Send(owner, {}, table_.MakeUpstreamReport(aNow), aNow);
}

void
SidecarProcess::OnOrders(MemberId aEntry, StartRuns& aOrders, Millis aAge)
{
  const MonoTime now = Now();
  if (aAge > kMaxMessageAge) {
    aOrders.startTimeout_ = Millis(0);
  }
  for (const RunOrder& order : aOrders.runs_) {
    world_.Record({ ToString(aOrders.Task(order)), Machine(), std::nullopt },
                  "order of run " + std::to_string(order.run_) +
                    " received, age " + std::to_string(aAge.count()) + " ms");
  }
  Owner& owner = owners_[aEntry];
  owner.ordersReceived_ += aOrders.runs_.size();
  owner.reportSchedule_.OnOrders(now);
  table_.OnOrders(aEntry, aOrders, now);
}

void
SidecarProcess::OnLinkEnd(const LinkPtr& aLink)
{
  const size_t machine = aLink->EntryMachine();
  Post(kReconnectDelay, [this, machine] { Connect(machine); });
  const auto entry = entries_.find(aLink->Serial());
  if (entry == entries_.end()) {
    return;
  }
  const auto owner = owners_.find(entry->second);
  if (owner != owners_.end() && owner->second.link_ == aLink) {
    owners_.erase(owner);
    table_.OnOwnerUnlinked(entry->second, Now());
  }
  entries_.erase(entry);
}

void
SidecarProcess::Poll()
{
  const MonoTime now = Now();
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
  const uint64_t number = table_.BeginPoll();
  const PollOrder order{ .head_ = Head(),
                         .acknowledged_ = table_.AcknowledgedEnds(),
                         .lease_ = lease,
                         .wait_ = PollWait(now) };
  pollWait_ = order.wait_;
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [this,
                       number,
                       asked = table_.Upstream()->startedMs_,
                       fence = fence_.Value(),
                       wait = order.wait_,
                       series = pollSeries_,
                       settled](const std::optional<PollAnswer>& aAnswer) {
    if (!std::exchange(*settled, true) && series == pollSeries_) {
      OnPollAnswer(number, asked, fence, wait, aAnswer);
    }
  };
  Post(order.wait_ + callTimeout_.Current(now),
       [settle] { settle(std::nullopt); });
  const auto reply = [weak = weak_from_this(),
                      settle](const PollAnswer& aAnswer) {
    if (const auto self = weak.lock()) {
      self->Post(kAnswerDelay, [settle, aAnswer] { settle(aAnswer); });
    }
  };
  const CallFate fate = world_.DrawFate(Machine(), false);
  if (!fate.delay_) {
    return;
  }
  Upstream& upstream = MyUpstream();
  const Upstream::PollReply answer =
    fate.answered_ ? Upstream::PollReply(reply) : [](const PollAnswer&) {};
  world_.events_.After(*fate.delay_, [&upstream, order, answer] {
    upstream.Receive(
      [&upstream, order, answer] { upstream.Poll(order, answer); });
  });
}

void
SidecarProcess::SendFence(MonoTime aNow)
{
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [this, series = pollSeries_, settled](bool aAnswered) {
    if (std::exchange(*settled, true) || series != pollSeries_) {
      return;
    }
    fenceOpen_ = !aAnswered;
    if (!aAnswered) {
      fence_.OnNoAnswer();
    }
    PollAfter(pollBackoff_.OnFailure(pollStart_, Now()));
  };
  Post(callTimeout_.Current(aNow), [settle] { settle(false); });
  const CallFate fate = world_.DrawFate(Machine(), false);
  if (!fate.delay_) {
    return;
  }
  const auto reply = [weak = weak_from_this(), settle](const PollAnswer&) {
    if (const auto self = weak.lock()) {
      self->Post(kAnswerDelay, [settle] { settle(true); });
    }
  };
  const Upstream::PollReply answer =
    fate.answered_ ? Upstream::PollReply(reply) : [](const PollAnswer&) {};
  world_.events_.After(
    *fate.delay_,
    [&upstream = MyUpstream(), order = PollOrder{ .head_ = Head() }, answer] {
      upstream.Receive(
        [&upstream, order, answer] { upstream.Poll(order, answer); });
    });
}

Millis
SidecarProcess::PollWait(MonoTime aNow) const
{
  if (!table_.KnowsRuns() || table_.AwaitsAnswer(aNow)) {
    return Millis(0);
  }
  if (connecting_ && table_.Size() == 0 && table_.LateOrderCount() == 0) {
    return kIdlePollWait;
  }
  return aNow - lastUnanswered_ < kDegradedPeriod ? kDegradedPollWait
                                                  : kBusyPollWait;
}

void
SidecarProcess::OnPollAnswer(uint64_t aPollNumber,
                             int64_t aAsked,
                             int64_t aFence,
                             Millis aWait,
                             const std::optional<PollAnswer>& aAnswer)
{
  const MonoTime now = Now();
  pollWait_ = Millis(0);
  DetectSuspension(now);
  if (!aAnswer) {
    callTimeout_.OnNoAnswer(pollStart_, now);
    fence_.OnNoAnswer();
    RetryPoll(now);
    return;
  }
  if (!aAnswer->sameId_) {
    fence_.OnNoAnswer();
    fenceOpen_ = false;
    table_.OnUpstreamReplaced(aPollNumber, Replacement::OtherId, now);
    world_.Record({ .sidecar_ = Machine() },
                  "another upstream answers the poll");
    SendPending(now);
    SendStatus(now);
    if (!AcceptClaim()) {
      RetryPoll(now);
    }
    return;
  }
  if (!aAnswer->accepted_) {
    fence_.OnRefused(aFence);
    RetryPoll(now);
    return;
  }
  if (aAnswer->startedMs_ != aAsked) {
    fence_.OnNoAnswer();
    fenceOpen_ =
      table_.OnUpstreamReplaced(aPollNumber, Replacement::SameId, now);
    SendPending(now);
    SendStatus(now);
    if (!AcceptClaim()) {
      RetryPoll(now);
    }
    return;
  }
  pollBackoff_.Reset();
  const auto time = std::chrono::duration_cast<Millis>(now - pollStart_);
  if (time >= aWait) {
    callTimeout_.OnAnswer(time - aWait);
  }
  const bool knewRuns = table_.KnowsRuns();
  if (table_.OnPollResult(aPollNumber, aAnswer->result_, now)) {
    answeredPollStart_ = pollStart_;
    if (claim_ && pollStart_ >= claim_->arrived_) {
      claim_.reset();
    }
    clock_ = aAnswer->result_.clock_;
    clockRead_ = now;
    if (!knewRuns) {
      SendStatus(now);
    }
  }
  SendPending(now);
  Poll();
}

void
SidecarProcess::RetryPoll(MonoTime aNow)
{
  lastUnanswered_ = aNow;
  PollAfter(
    std::max(pollBackoff_.OnFailure(pollStart_, aNow), kMinPollRetryDelay));
}

void
SidecarProcess::PollAfter(Millis aDelay)
{
  pollDelayed_ = true;
  Post(aDelay, [this, timer = ++pollTimer_] {
    if (pollDelayed_ && timer == pollTimer_) {
      pollDelayed_ = false;
      Poll();
    }
  });
}

void
SidecarProcess::SendPending(MonoTime aNow)
{
  SendLateOrders(aNow);
  for (const StopRequest& stop : table_.TakeStops(aNow)) {
    SendStop(stop);
  }
  for (const StartRequest& order : table_.TakeStarts(aNow)) {
    SendStart(order, aNow);
  }
  HurryPoll(aNow);
  AcknowledgeDeparture();
  auto updates = table_.TakeUpdates();
  if (updates.empty()) {
    return;
  }
  const UpstreamReport report = table_.MakeUpstreamReport(aNow);
  for (auto& [id, items] : updates) {
    const auto owner = owners_.find(id);
    for (const RunReport& item : items.reports_) {
      world_.Record(
        { ToString(item.key_.task_), Machine(), std::nullopt },
        "sidecar reports " + ToString(item.key_) + ' ' +
          std::string(ToString(item.end_)) +
          (owner == owners_.end() ? " to an owner that is not linked" : ""));
    }
    if (owner != owners_.end()) {
      Send(owner->second, std::move(items), report, aNow);
    }
  }
}

void
SidecarProcess::HurryPoll(MonoTime aNow)
{
  const bool waits = polling_ && !pollDelayed_ && pollWait_ > Millis(0);
  if (waits && table_.AwaitsAnswer(aNow)) {
    ++pollSeries_;
    Poll();
  }
}

void
SidecarProcess::SendLateOrders(MonoTime aNow)
{
  const LateOrders changes = table_.TakeLateOrders(aNow);
  for (const LateOrder& order : changes.orders_) {
    world_.Record({ ToString(order.task_), Machine(), std::nullopt },
                  "sidecar lists a late order: " +
                    std::string(ToString(order.state_)));
  }
  if (changes.orders_.empty()) {
    return;
  }
  lateOrderJournal_.Note(changes, aNow);
  for (auto& [id, owner] : owners_) {
    owner.link_->Send(Side::Sidecar, changes);
  }
}

void
SidecarProcess::SendStop(const StopRequest& aStop)
{
  const CallFate fate = world_.DrawFate(Machine(), true);
  world_.Record({ ToString(aStop.key_.task_), Machine(), std::nullopt },
                "sends stop of " + ToString(aStop.key_) + ", " +
                  std::string(ToString(aStop.reason_)) +
                  (fate.delay_ ? ", carried out in " +
                                   std::to_string(fate.delay_->count()) + " ms"
                               : ", lost"));
  if (fate.delay_) {
    world_.events_.After(
      *fate.delay_,
      [&upstream = MyUpstream(), key = aStop.key_, head = Head()] {
        upstream.Receive([&upstream, key, head] { upstream.Stop(key, head); });
      });
  }
}

void
SidecarProcess::SendStart(const StartRequest& aOrder, MonoTime aNow)
{
  const UpstreamTime deadline{ UpstreamNow(aNow).value_ + kStartTimeout };
  const RunKey upstreamKey{ aOrder.key_.task_, aOrder.upstreamRunNumber_ };
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [this,
                       key = aOrder.key_,
                       deadline,
                       aNow,
                       fence = fence_.Value(),
                       known = clock_,
                       settled](StartAnswer aAnswer,
                                std::optional<UpstreamTime> aClock) {
    if (!std::exchange(*settled, true)) {
      const MonoTime now = Now();
      if (aAnswer == StartAnswer::Unknown) {
        callTimeout_.OnNoAnswer(aNow, now);
        fence_.OnNoAnswer();
      } else {
        if (aAnswer == StartAnswer::Fenced) {
          fence_.OnRefused(fence);
        }
        callTimeout_.OnAnswer(std::chrono::duration_cast<Millis>(now - aNow));
      }
      table_.OnStartAnswer(
        key, CheckIncarnation(aAnswer, aClock, known), deadline, now);
      SendPending(now);
    }
  };
  Post(callTimeout_.Current(aNow),
       [settle] { settle(StartAnswer::Unknown, std::nullopt); });
  const CallFate fate = world_.DrawFate(Machine(), false);
  world_.Record({ ToString(aOrder.key_.task_), Machine(), std::nullopt },
                "sends start of " + ToString(upstreamKey) +
                  (fate.delay_ ? ", carried out in " +
                                   std::to_string(fate.delay_->count()) + " ms"
                               : ", lost") +
                  (fate.answered_ ? "" : ", unanswered"));
  if (!fate.delay_) {
    return;
  }
  Upstream& upstream = MyUpstream();
  const auto start = [&upstream,
                      upstreamKey,
                      deadline,
                      settle,
                      head = Head(),
                      answered = fate.answered_,
                      weak = weak_from_this()] {
    const StartAnswer answer = upstream.Start(upstreamKey, deadline, head);
    const auto self = weak.lock();
    if (answered && self) {
      self->Post(kAnswerDelay, [settle, answer, clock = upstream.Clock()] {
        settle(answer, clock);
      });
    }
  };
  world_.events_.After(*fate.delay_,
                       [&upstream, start] { upstream.Receive(start); });
}

void
SidecarProcess::SendStatus(MonoTime aNow)
{
  const UpstreamReport report = table_.MakeUpstreamReport(aNow);
  for (auto& [id, owner] : owners_) {
    if (owner.reportSchedule_.IsDue(report, owners_.size(), aNow)) {
      Send(owner, {}, report, aNow);
    }
  }
}

void
SidecarProcess::Send(Owner& aOwner,
                     RunTable::Updates aUpdates,
                     const UpstreamReport& aReport,
                     MonoTime aNow)
{
  RunReports message{ .reports_ = std::move(aUpdates.reports_),
                      .stalled_ = std::move(aUpdates.stalled_),
                      .started_ = std::move(aUpdates.started_),
                      .upstream_ = aReport };
  message.upstream_.ordersReceived_ = aOwner.ordersReceived_;
  aOwner.reportSchedule_.OnSent(aReport, aNow);
  aOwner.link_->Send(Side::Sidecar, std::move(message));
}

UpstreamTime
SidecarProcess::UpstreamNow(MonoTime aNow) const
{
  return { clock_.value_ +
           std::chrono::duration_cast<Millis>(aNow - clockRead_) };
}

} // namespace cornelfront::two_runs
