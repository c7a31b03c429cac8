/// \file
/// Model of processes and their links for two_runs_test.cpp.

#include "policy/two_runs_model_test.h"

namespace cornelfront::two_runs {
namespace {

constexpr Millis kSilenceBound{ 1000 };
constexpr Millis kKeepAliveInterval{ 300 };
constexpr Millis kTimerInterval = kKeepAliveInterval / 4;
constexpr Millis kMaxLinkDelay{ 3 };
/// Time after the end of a cut until what was held up arrives.
constexpr Millis kMaxRepeatDelay{ 200 };
/// Spread of what a process handles after a suspension.
constexpr Millis kWakeSpread{ 5 };

} // namespace

Process::Process(World& aWorld, size_t aMachine)
  : world_(aWorld)
  , machine_(aMachine)
  , id_{ aWorld.random_.Next() }
{
}

MonoTime
Process::Now() const
{
  return world_.events_.Now();
}

void
Process::Kill()
{
  alive_ = false;
  for (const auto& link : links_) {
    if (const LinkPtr known = link.lock()) {
      known->Abandon(*this);
    }
  }
}

void
Process::Suspend(Millis aTime)
{
  suspendedUntil_ = std::max(suspendedUntil_, Now() + aTime);
}

void
Process::Post(Millis aDelay, Action aAction)
{
  world_.events_.After(aDelay,
                       [weak = weak_from_this(), action = std::move(aAction)] {
                         if (const auto self = weak.lock()) {
                           self->Handle(action);
                         }
                       });
}

void
Process::Handle(const Action& aAction)
{
  if (!alive_) {
    return;
  }
  if (Now() < suspendedUntil_) {
    Post(std::chrono::ceil<Millis>(suspendedUntil_ - Now()) +
           world_.random_.Between(Millis(0), kWakeSpread),
         aAction);
    return;
  }
  aAction();
}

void
Process::AddLink(const LinkPtr& aLink)
{
  std::erase_if(links_, [](const auto& aKnown) { return aKnown.expired(); });
  links_.push_back(aLink);
}

Link::Link(World& aWorld,
           const std::shared_ptr<Process>& aSidecar,
           const std::shared_ptr<Process>& aEntry)
  : world_(aWorld)
  , serial_(++aWorld.serials_)
  , machines_{ aSidecar->Machine(), aEntry->Machine() }
{
  const MonoTime now = world_.events_.Now();
  for (End& end : ends_) {
    end.lastSent_ = now;
    end.lastReceived_ = now;
  }
  ends_[0].owner_ = aSidecar;
  ends_[1].owner_ = aEntry;
}

void
Link::Start()
{
  for (const Side side : { Side::Sidecar, Side::Entry }) {
    if (const auto owner = EndOf(side).owner_.lock()) {
      owner->AddLink(shared_from_this());
    }
    CheckTimers(side);
  }
}

Side
Link::Other(Side aSide)
{
  return aSide == Side::Sidecar ? Side::Entry : Side::Sidecar;
}

bool
Link::Send(Side aFrom, Message aMessage)
{
  End& end = EndOf(aFrom);
  if (end.closed_) {
    return false;
  }
  end.lastSent_ = world_.events_.Now();
  Transmit(aFrom,
           { .message_ = std::move(aMessage),
             .stamp_ = end.lastSent_,
             .echo_ = end.newestStamp_ });
  return true;
}

void
Link::Transmit(Side aFrom, Frame aFrame)
{
  EndOf(aFrom).wire_.push_back(std::move(aFrame));
  world_.events_.After(
    world_.random_.Between(Millis(0), kMaxLinkDelay),
    [self = shared_from_this(), aFrom] { self->Arrive(aFrom); });
}

void
Link::Arrive(Side aFrom)
{
  auto& wire = EndOf(aFrom).wire_;
  if (wire.empty()) {
    return;
  }
  const MonoTime cut = world_.CutUntil(machines_[0], machines_[1], aFrom);
  if (world_.events_.Now() < cut) {
    world_.events_.At(
      cut + world_.random_.Between(Millis(1), kMaxRepeatDelay),
      [self = shared_from_this(), aFrom] { self->Arrive(aFrom); });
    return;
  }
  Frame frame = std::move(wire.front());
  wire.pop_front();
  Enqueue(Other(aFrom), std::move(frame));
}

void
Link::Enqueue(Side aTo, Frame aFrame)
{
  End& end = EndOf(aTo);
  const auto owner = end.owner_.lock();
  if (!end.closed_ && owner) {
    end.inbox_.push_back(std::move(aFrame));
    owner->Post(Millis(0),
                [self = shared_from_this(), aTo] { self->Receive(aTo); });
  }
}

void
Link::Receive(Side aTo)
{
  End& end = EndOf(aTo);
  const auto owner = end.owner_.lock();
  if (end.closed_ || end.inbox_.empty() || !owner) {
    return;
  }
  Frame frame = std::move(end.inbox_.front());
  end.inbox_.pop_front();
  if (!frame.message_) {
    Finish(aTo, "closed by the other side");
    return;
  }
  const MonoTime now = world_.events_.Now();
  end.lastReceived_ = now;
  end.newestStamp_ = frame.stamp_;
  owner->OnMessage(shared_from_this(),
                   *frame.message_,
                   { .stamp_ = frame.stamp_.time_since_epoch(),
                     .echo_ = frame.echo_.time_since_epoch() });
}

void
Link::CheckTimers(Side aSide)
{
  End& end = EndOf(aSide);
  const auto owner = end.owner_.lock();
  if (end.closed_ || !owner) {
    return;
  }
  const MonoTime now = world_.events_.Now();
  if (now - end.lastReceived_ >= kSilenceBound) {
    Finish(aSide, "silent");
    // What was held up is lost with the link.
    end.wire_.clear();
    Transmit(aSide, {});
    return;
  }
  if (now - end.lastSent_ >= kKeepAliveInterval) {
    Send(aSide, KeepAlive{});
  }
  owner->Post(kTimerInterval,
              [self = shared_from_this(), aSide] { self->CheckTimers(aSide); });
}

void
Link::Close(Side aFrom)
{
  End& end = EndOf(aFrom);
  const auto owner = end.owner_.lock();
  if (end.closed_ || !owner) {
    return;
  }
  end.closed_ = true;
  Transmit(aFrom, {});
  owner->Post(Millis(0), [owner = owner.get(), self = shared_from_this()] {
    owner->OnLinkEnd(self);
  });
}

void
Link::Abandon(const Process& aProcess)
{
  for (const Side side : { Side::Sidecar, Side::Entry }) {
    End& end = EndOf(side);
    if (!end.closed_ && end.owner_.lock().get() == &aProcess) {
      end.closed_ = true;
      Transmit(side, {});
    }
  }
}

void
Link::Reset()
{
  for (const Side side : { Side::Sidecar, Side::Entry }) {
    EndOf(side).wire_.clear();
    Enqueue(side, {});
  }
}

void
Link::Finish(Side aSide, const std::string& aWhy)
{
  End& end = EndOf(aSide);
  end.closed_ = true;
  world_.Record({ .sidecar_ = machines_[0], .entry_ = machines_[1] },
                std::string(aSide == Side::Sidecar ? "sidecar" : "entry") +
                  " sees the end of the link: " + aWhy);
  if (const auto owner = end.owner_.lock()) {
    owner->OnLinkEnd(shared_from_this());
  }
}

} // namespace cornelfront::two_runs
