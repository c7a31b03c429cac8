/// \file
/// Faults of the model for two_runs_test.cpp.

#include "policy/two_runs_model_test.h"

namespace cornelfront::two_runs {
namespace {

constexpr Millis kEntryRestart{ 500 };
constexpr Millis kSidecarRestart{ 500 };
constexpr Millis kSlowSidecarRestart{ 3000 };
constexpr Millis kMaxHeartbeatDelay{ 1500 };
constexpr Millis kMaxDowntime{ 4500 };
/// Time for which all entries and sidecars are down.
constexpr Millis kMaxPowerDowntime{ 1000 };
/// Bounds of the time from one loss of power to the next.
constexpr Millis kMinPowerPause{ 1500 };
constexpr Millis kMaxPowerPause{ 6000 };
constexpr Millis kMaxCallDelay{ 2 };
constexpr size_t kMaxClients = 4;
/// Share of the late calls that are late by less than a second.
constexpr double kSlightlyLate = 0.3;

} // namespace

void
World::StartSidecar(size_t aMachine, Millis aHeartbeatDelay)
{
  sidecars_[aMachine] = std::make_shared<SidecarProcess>(*this, aMachine);
  registeredSidecars_[aMachine] = sidecars_[aMachine]->Id();
  sidecars_[aMachine]->Start(aHeartbeatDelay);
}

void
World::StartEntry(size_t aMachine)
{
  entries_[aMachine] = std::make_shared<EntryProcess>(*this, aMachine);
  entries_[aMachine]->Start();
}

LinkPtr
World::Connect(const std::shared_ptr<Process>& aSidecar, size_t aEntry)
{
  const size_t sidecar = aSidecar->Machine();
  const MonoTime cut = std::max(CutUntil(sidecar, aEntry, Side::Sidecar),
                                CutUntil(sidecar, aEntry, Side::Entry));
  if (!entries_[aEntry] || events_.Now() < cut) {
    return nullptr;
  }
  auto link = std::make_shared<Link>(*this, aSidecar, entries_[aEntry]);
  std::erase_if(links_, [](const auto& aKnown) { return aKnown.expired(); });
  links_.push_back(link);
  link->Start();
  Record({ .sidecar_ = sidecar, .entry_ = aEntry }, "link established");
  return link;
}

MonoTime
World::CutUntil(size_t aSidecar, size_t aEntry, Side aFrom) const
{
  const auto cut = cuts_.find({ aSidecar, aEntry, aFrom });
  return cut == cuts_.end() ? MonoTime() : cut->second;
}

CallFate
World::DrawFate(size_t aSidecar, bool aStop)
{
  const Millis delay = random_.Between(Millis(0), kMaxCallDelay);
  const CallFault& fault = callFaults_.at(aSidecar);
  if (events_.Now() >= fault.until_ || (fault.onlyStops_ && !aStop) ||
      !random_.Chance(fault.share_)) {
    return { .delay_ = delay };
  }
  switch (fault.way_.value_or(DrawWay())) {
    case CallWay::CarriedOut:
      return { .answered_ = false, .delay_ = delay };
    case CallWay::NeverCarriedOut:
      return { .answered_ = false };
    case CallWay::CarriedOutLate:
      break;
  }
  return { .answered_ = false,
           .delay_ = random_.Chance(kSlightlyLate)
                       ? random_.Between(Millis(20), Millis(1000))
                       : random_.Between(Millis(2000), Millis(12000)) };
}

CallWay
World::DrawWay()
{
  return static_cast<CallWay>(random_.Below(kCallWays));
}

std::vector<World::Fault>
World::Faults()
{
  std::vector<Fault> faults;
  const auto add = [&](bool aWanted, Fault aFault) {
    if (aWanted) {
      faults.push_back(std::move(aFault));
    }
  };
  add(scenario_.entriesKilled_,
      [this] { KillEntry(random_.Below(entries_.size()), kEntryRestart); });
  add(scenario_.entriesCutAndKilled_, [this] { CutAndKillEntry(); });
  add(scenario_.entriesSuspended_, [this] { SuspendEntry(); });
  add(scenario_.sidecarsReplaced_, [this] { ReplaceSidecar(); });
  add(scenario_.sidecarsSuspended_, [this] { SuspendSidecar(); });
  add(scenario_.linksReset_, [this] { ResetLink(); });
  add(scenario_.linksCut_, [this] { CutLinks(); });
  add(scenario_.callsUnanswered_, [this] { LoseSome(false); });
  add(scenario_.stopsUnanswered_, [this] { LoseSome(true); });
  add(scenario_.clientsReset_, [this] { ResetClients(); });
  add(scenario_.upstreamsRestarted_, [this] { CrashUpstream(); });
  add(scenario_.powerLost_, [this] { LosePower(); });
  add(scenario_.upstreamsLeave_, [this] { DrainUpstream(); });
  add(scenario_.othersAnnounced_, [this] { AnnounceOther(); });
  return faults;
}

void
World::ScheduleFault()
{
  if (events_.Now() >= kReplayStart + kBusyTime) {
    return;
  }
  const std::vector<Fault> faults = Faults();
  for (size_t i = 0; i < scenario_.faultsAtOnce_; ++i) {
    faults[random_.Below(faults.size())]();
  }
  events_.After(random_.Between(Millis(50), Millis(900)),
                [this] { ScheduleFault(); });
}

void
World::KillEntry(size_t aMachine, Millis aDowntime)
{
  const auto entry = std::exchange(entries_[aMachine], nullptr);
  if (!entry) {
    return;
  }
  Record({ .entry_ = aMachine }, "ENTRY KILLED");
  entry->Kill();
  const auto submissions = submissions_;
  for (const auto& [id, job] : submissions) {
    if (jobs_.at(job).entry_ == aMachine) {
      Disconnect(job, "its entry is gone");
    }
  }
  events_.After(aDowntime, [this, aMachine] { StartEntry(aMachine); });
}

/// Orders that the entry sent before its end arrive after the cut.
void
World::CutAndKillEntry()
{
  const size_t entry = random_.Below(entries_.size());
  const Millis time = random_.Between(Millis(300), Millis(1000));
  for (size_t sidecar = 0; sidecar < sidecars_.size(); ++sidecar) {
    Cut(sidecar, entry, 2, events_.Now() + time);
  }
  events_.After(random_.Between(Millis(0), time),
                [this, entry] { KillEntry(entry, kEntryRestart); });
}

void
World::KillSidecar(size_t aMachine, Millis aDowntime)
{
  const auto sidecar = std::exchange(sidecars_[aMachine], nullptr);
  if (!sidecar) {
    return;
  }
  Record({ .sidecar_ = aMachine }, "SIDECAR KILLED");
  sidecar->Kill();
  events_.After(aDowntime, [this, aMachine] {
    Record({ .sidecar_ = aMachine }, "sidecar starts again");
    StartSidecar(aMachine, random_.Between(Millis(0), kMaxHeartbeatDelay));
  });
}

void
World::ReplaceSidecar()
{
  const size_t machine = random_.Below(sidecars_.size());
  if (sidecars_[machine]) {
    KillSidecar(machine,
                random_.Chance(0.5) ? kSidecarRestart : kSlowSidecarRestart);
  }
}

/// Also for less than what an entry takes for a suspension.
void
World::SuspendEntry()
{
  const size_t machine = random_.Below(entries_.size());
  if (entries_[machine]) {
    const Millis time = random_.Between(
      Millis(200), scenario_.endsHeldUp_ ? Millis(4000) : Millis(1500));
    Record({ .entry_ = machine },
           "ENTRY SUSPENDED for " + std::to_string(time.count()) + " ms");
    entries_[machine]->Suspend(time);
  }
}

void
World::SuspendSidecar()
{
  const size_t machine = random_.Below(sidecars_.size());
  if (sidecars_[machine]) {
    const Millis time = random_.Between(Millis(700), Millis(4000));
    Record({ .sidecar_ = machine },
           "SIDECAR SUSPENDED for " + std::to_string(time.count()) + " ms");
    sidecars_[machine]->Suspend(time);
  }
}

void
World::ResetLink()
{
  if (links_.empty()) {
    return;
  }
  const LinkPtr link = links_[random_.Below(links_.size())].lock();
  if (link && link->Open()) {
    link->Reset();
  }
}

/// Cuts one pair, a sidecar from all entries, or an entry from all sidecars.
void
World::CutLinks()
{
  const size_t kind = random_.Below(3);
  const size_t way = random_.Below(3);
  const size_t sidecar = random_.Below(sidecars_.size());
  const size_t entry = random_.Below(entries_.size());
  const MonoTime until =
    events_.Now() + random_.Between(Millis(300), Millis(3000));
  for (size_t s = 0; s < sidecars_.size(); ++s) {
    for (size_t e = 0; e < entries_.size(); ++e) {
      if ((kind == 2 || s == sidecar) && (kind == 1 || e == entry)) {
        Cut(s, e, way, until);
      }
    }
  }
}

void
World::Cut(size_t aSidecar, size_t aEntry, size_t aWay, MonoTime aUntil)
{
  constexpr std::array<const char*, 3> kWays = { "to the sidecar",
                                                 "to the entry",
                                                 "both ways" };
  for (const Side side : { Side::Sidecar, Side::Entry }) {
    if (aWay == 2 || (aWay == 1) == (side == Side::Sidecar)) {
      MonoTime& until = cuts_[{ aSidecar, aEntry, side }];
      until = std::max(until, aUntil);
    }
  }
  Record(
    { .sidecar_ = aSidecar, .entry_ = aEntry },
    std::string("LINK CUT ") + kWays.at(aWay) + " for " +
      std::to_string(
        std::chrono::duration_cast<Millis>(aUntil - events_.Now()).count()) +
      " ms");
}

void
World::LoseSome(bool aOnlyStops)
{
  const size_t machine = random_.Below(sidecars_.size());
  const Millis time = random_.Between(Millis(1000), Millis(7000));
  const double share = random_.Between(0.3, 0.9);
  std::optional<CallWay> way;
  if (random_.Chance(0.5)) {
    way = DrawWay();
  }
  callFaults_.at(machine) = { .until_ = events_.Now() + time,
                              .share_ = share,
                              .onlyStops_ = aOnlyStops,
                              .way_ = way };
  Record({ .sidecar_ = machine },
         std::string(aOnlyStops ? "STOPS" : "CALLS") + " UNANSWERED for " +
           std::to_string(time.count()) + " ms, share " +
           std::to_string(share));
}

void
World::ResetClients()
{
  for (size_t i = 0; i <= random_.Below(kMaxClients) && !submissions_.empty();
       ++i) {
    auto submission = submissions_.begin();
    std::advance(submission, random_.Below(submissions_.size()));
    Disconnect(std::string(submission->second), "reset");
  }
}

void
World::CrashUpstream()
{
  const Millis downtime = random_.Between(Millis(0), kMaxDowntime);
  const Millis heartbeatDelay =
    random_.Chance(0.5) ? random_.Between(Millis(0), Millis(2))
                        : random_.Between(Millis(0), kMaxHeartbeatDelay);
  upstreams_[random_.Below(sidecars_.size())]->Crash(downtime, heartbeatDelay);
}

/// A heartbeat that was meant for another sidecar, or that is of an incarnation
/// whose machine had its time of day set back since.
void
World::AnnounceOther()
{
  const size_t machine = random_.Below(upstreams_.size());
  UpstreamInfo info = upstreams_[machine]->Info();
  info.startedMs_ += 1 + static_cast<int64_t>(random_.Below(10000));
  if (random_.Chance(0.8)) {
    info.id_ += "-other";
  }
  counts_.runsBesideOthers_ += upstreams_[machine]->RunCount();
  if (const auto sidecar = sidecars_[machine]) {
    sidecar->Post(Millis(1), [sidecar = sidecar.get(), info] {
      sidecar->OnHeartbeat(info);
    });
  }
}

/// Upstreams run on; a sidecar may be back before it gets a heartbeat.
void
World::LosePower()
{
  if (events_.Now() < nextPowerLoss_) {
    return;
  }
  nextPowerLoss_ =
    events_.Now() + random_.Between(kMinPowerPause, kMaxPowerPause);
  ++counts_.powerLosses_;
  Record({}, "ALL MACHINES LOSE POWER");
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    KillSidecar(i, random_.Between(Millis(0), kMaxPowerDowntime));
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    KillEntry(i, random_.Between(Millis(0), kMaxPowerDowntime));
  }
}

void
World::OnHeartbeat(size_t aMachine)
{
  if (const auto sidecar = sidecars_[aMachine]) {
    sidecar->Post(
      Millis(1),
      [sidecar = sidecar.get(), info = upstreams_[aMachine]->Info()] {
        sidecar->OnHeartbeat(info);
      });
  }
}

} // namespace cornelfront::two_runs
