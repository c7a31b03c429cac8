#include "faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace cornelfront::soak {
namespace {

using harness::ProxiedLeg;

constexpr std::array<std::string_view, kFaultKinds> kNames = {
  "kill_entry",       "kill_sidecar",    "stop_entry",      "stop_sidecar",
  "pause_entry",      "pause_sidecar",   "pause_executor",  "reload_entry",
  "delay_leg",        "cut_leg",         "drop_to_client",  "drop_to_target",
  "freeze_leg",       "silence_open",    "store_refuses",   "store_silent",
  "store_loses",      "store_drops",     "executor_mute",   "executor_drains",
  "executor_stalls",  "executor_reborn", "zone_out",        "executor_closes",
  "executor_refuses", "store_closes",    "executor_leaves", "other_announced",
  "route_dropped",
};

/// Kinds of mixed faults come first.
constexpr int kMixedKinds = static_cast<int>(FaultKind::ZoneOut) + 1;
constexpr int kFirstDeparture = static_cast<int>(FaultKind::ExecutorLeaves);
constexpr int kFirstAnnouncement = static_cast<int>(FaultKind::OtherAnnounced);
constexpr int kFirstDroppedRoute = static_cast<int>(FaultKind::RouteDropped);
constexpr int kMinAnswerFaultMs = 500;
constexpr int kMinAnswerFaultPercent = 10;
constexpr int kMaxAnswerFaultPercent = 40;
/// Sets the generator of answer faults apart from that of the other ones.
constexpr uint64_t kAnswerFaultsSeed = 0x9e3779b97f4a7c15;
/// The same for departures.
constexpr uint64_t kDeparturesSeed = 0xd1b54a32d192ed03;
/// The mean time between two departures is this many times that of others,
/// since each of them takes an executor away for seconds.
constexpr int kDepartureGapFactor = 3;
/// The generator of announcements.
constexpr uint64_t kAnnouncementsSeed = 0x8cb92ba72f3d8dd7;
/// The generator of dropped routes.
constexpr uint64_t kDroppedRoutesSeed = 0xe7037ed1a0b428db;
/// The store may be silent, and other faults must not wait for it.
constexpr Millis kConfigureTimeout{ 500 };
/// A sidecar that is suspended takes the heartbeat later.
constexpr Millis kAnnouncementTimeout{ 20 };

constexpr int kMinDurationMs = 100;
constexpr int kMaxDurationMs = 4000;
/// A process that received SIGTERM is replaced after this time.
constexpr Millis kStopTime{ 5000 };
/// Longer than the bound on evacuations, so that the time after it is checked.
constexpr Millis kZoneOutTime{ 8000 };
constexpr Millis kDrainTime{ 6000 };
/// Percentage of faults that are repeated, and the interval between
/// repetitions.
constexpr int kRepeatPercent = 25;
constexpr unsigned kMaxRepetitions = 3;
constexpr Millis kRepeatInterval{ 250 };
/// The processes of a loss of power are started again up to this time later.
constexpr int kMaxPowerLossMs = 900;

/// Time after a fault during which a process may still be disconnected.
constexpr WallMillis kReconnectMs = 3000;
constexpr WallMillis kDrainBoundMs = 2000;
/// Interval of the executors' heartbeats, plus time for the answer.
constexpr WallMillis kHeartbeatMs = 500;
constexpr WallMillis kEvacuationBoundMs = 5000;
/// A stopping entry may refuse connections that arrive later than this.
constexpr WallMillis kStopNoticeMs = 2000;

bool
TargetsEntry(FaultKind aKind)
{
  return aKind == FaultKind::KillEntry || aKind == FaultKind::StopEntry ||
         aKind == FaultKind::PauseEntry || aKind == FaultKind::ReloadEntry ||
         aKind == FaultKind::ZoneOut;
}

bool
TargetsLeg(FaultKind aKind)
{
  return aKind >= FaultKind::DelayLeg && aKind <= FaultKind::SilenceOpen;
}

/// Returns true for faults of answers and departures, each of which says how
/// long it lasts when it begins, and for dropped routes. They end no process
/// and no connection of an entry, so they excuse no missed bound of a drain or
/// an evacuation and no aborted request.
bool
IsSelfEnding(FaultKind aKind)
{
  return static_cast<int>(aKind) >= kMixedKinds;
}

bool
TargetsStore(FaultKind aKind)
{
  return (aKind >= FaultKind::StoreRefuses &&
          aKind <= FaultKind::StoreDropsHistory) ||
         aKind == FaultKind::StoreCloses;
}

/// Returns true for planned operations, which must not abort requests.
bool
IsPlanned(FaultKind aKind)
{
  return aKind == FaultKind::StopEntry || aKind == FaultKind::ReloadEntry ||
         aKind == FaultKind::ExecutorDrains || aKind == FaultKind::ZoneOut;
}

bool
IsEntryLeg(ProxiedLeg aLeg)
{
  return aLeg == ProxiedLeg::EntryToStore ||
         aLeg == ProxiedLeg::SidecarsToEntry ||
         aLeg == ProxiedLeg::ClientToEntry;
}

class Planner
{
public:
  explicit Planner(const FaultPlanOptions& aOptions)
    : options_(aOptions)
    , mixedKinds_(Chosen(aOptions.kinds_, 0, kMixedKinds))
    , answerKinds_(Chosen(aOptions.kinds_, kMixedKinds, kFirstDeparture))
    , departureKinds_(
        Chosen(aOptions.kinds_, kFirstDeparture, kFirstAnnouncement))
    , announcementKinds_(
        Chosen(aOptions.kinds_, kFirstAnnouncement, kFirstDroppedRoute))
    , droppedRouteKinds_(
        Chosen(aOptions.kinds_, kFirstDroppedRoute, kFaultKinds))
    , random_(aOptions.seed_)
    , answerRandom_(aOptions.seed_ ^ kAnswerFaultsSeed)
    , departureRandom_(aOptions.seed_ ^ kDeparturesSeed)
    , announcementRandom_(aOptions.seed_ ^ kAnnouncementsSeed)
    , droppedRouteRandom_(aOptions.seed_ ^ kDroppedRoutesSeed)
  {
  }

  std::vector<Fault> Plan()
  {
    std::vector<Fault> plan =
      options_.powerLossInterval_ > Millis(0) ? PowerLosses() : MixedFaults();
    for (const std::vector<Fault>& beside :
         { AnswerFaults(), Departures(), Announcements(), DroppedRoutes() }) {
      plan.insert(plan.end(), beside.begin(), beside.end());
    }
    std::stable_sort(
      plan.begin(), plan.end(), [](const Fault& aA, const Fault& aB) {
        return aA.at_ < aB.at_;
      });
    return plan;
  }

private:
  /// Returns the kinds of a range that were chosen; all if none of any was.
  static std::vector<FaultKind> Chosen(const std::vector<FaultKind>& aKinds,
                                       int aFirst,
                                       int aEnd)
  {
    std::vector<FaultKind> chosen;
    for (const FaultKind kind : aKinds) {
      if (static_cast<int>(kind) >= aFirst && static_cast<int>(kind) < aEnd) {
        chosen.push_back(kind);
      }
    }
    for (int kind = aFirst; aKinds.empty() && kind < aEnd; ++kind) {
      chosen.push_back(static_cast<FaultKind>(kind));
    }
    return chosen;
  }

  /// These have a generator of their own, so that the plan of the other faults
  /// of a seed is the same with and without them.
  std::vector<Fault> AnswerFaults()
  {
    std::vector<Fault> plan;
    if (answerKinds_.empty()) {
      return plan;
    }
    const auto pick = [this](int aMin, int aMax) {
      return std::uniform_int_distribution<int>(aMin, aMax)(answerRandom_);
    };
    for (Millis at = NextGap(answerRandom_); at < options_.length_;
         at += NextGap(answerRandom_)) {
      const int last = static_cast<int>(answerKinds_.size()) - 1;
      plan.push_back(
        { .kind_ = answerKinds_[static_cast<size_t>(pick(0, last))],
          .at_ = at,
          .length_ = Millis(pick(kMinAnswerFaultMs, kMaxDurationMs)),
          .target_ = static_cast<unsigned>(
            pick(0, static_cast<int>(options_.sidecars_) - 1)),
          .percent_ = pick(kMinAnswerFaultPercent, kMaxAnswerFaultPercent),
          .seed_ = answerRandom_() });
    }
    return plan;
  }

  /// These have a generator of their own for the same reason.
  std::vector<Fault> Departures()
  {
    std::vector<Fault> plan;
    if (departureKinds_.empty()) {
      return plan;
    }
    const auto gap = [this] {
      return NextGap(departureRandom_) * kDepartureGapFactor;
    };
    for (Millis at = gap(); at < options_.length_; at += gap()) {
      const Departure departure = DrawDeparture(departureRandom_);
      std::uniform_int_distribution<unsigned> executor(0,
                                                       options_.sidecars_ - 1);
      plan.push_back({ .kind_ = FaultKind::ExecutorLeaves,
                       .at_ = at,
                       .length_ = departure.Length(),
                       .target_ = executor(departureRandom_),
                       .departure_ = departure });
    }
    return plan;
  }

  /// These have a generator of their own for the same reason.
  std::vector<Fault> Announcements()
  {
    std::vector<Fault> plan;
    if (announcementKinds_.empty()) {
      return plan;
    }
    std::uniform_int_distribution<unsigned> sidecar(0, options_.sidecars_ - 1);
    for (Millis at = NextGap(announcementRandom_); at < options_.length_;
         at += NextGap(announcementRandom_)) {
      plan.push_back({ .kind_ = FaultKind::OtherAnnounced,
                       .at_ = at,
                       .target_ = sidecar(announcementRandom_),
                       .seed_ = plan.size() });
    }
    return plan;
  }

  /// One after the other: two configurations tell nothing of each other's
  /// routes.
  std::vector<Fault> DroppedRoutes()
  {
    std::vector<Fault> plan;
    if (droppedRouteKinds_.empty() || !options_.secondQueue_) {
      return plan;
    }
    std::uniform_int_distribution<int> length(kMinDurationMs, kMaxDurationMs);
    Millis at = NextGap(droppedRouteRandom_);
    while (at < options_.length_) {
      const Millis lasts(length(droppedRouteRandom_));
      plan.push_back(
        { .kind_ = FaultKind::RouteDropped, .at_ = at, .length_ = lasts });
      at += lasts + NextGap(droppedRouteRandom_);
    }
    return plan;
  }

  std::vector<Fault> MixedFaults()
  {
    std::vector<Fault> plan;
    if (mixedKinds_.empty()) {
      return plan;
    }
    Millis at = NextGap(random_);
    while (at < options_.length_) {
      Fault fault = NextFault(at);
      const unsigned times =
        Pick(1, 100) <= kRepeatPercent
          ? static_cast<unsigned>(Pick(2, static_cast<int>(kMaxRepetitions)))
          : 1;
      for (unsigned i = 0; i < times; ++i) {
        plan.push_back(fault);
        fault.at_ += kRepeatInterval;
      }
      at += NextGap(random_);
    }
    return plan;
  }

  std::vector<Fault> PowerLosses()
  {
    std::vector<Fault> plan;
    const int spread = static_cast<int>(options_.powerLossSpread_.count());
    const auto add = [&](FaultKind aKind, unsigned aTarget, Millis aAt) {
      plan.push_back(
        { .kind_ = aKind,
          .at_ = aAt + Millis(Pick(0, spread)),
          .length_ = options_.powerLossDown_ > Millis(0)
                       ? options_.powerLossDown_
                       : Millis(Pick(kMinDurationMs, kMaxPowerLossMs)),
          .target_ = aTarget });
    };
    const unsigned sidecars =
      options_.powerLossEntriesOnly_ ? 0 : options_.sidecars_;
    for (Millis at = options_.powerLossInterval_; at < options_.length_;
         at += options_.powerLossInterval_) {
      for (unsigned i = 0; i < options_.entries_; ++i) {
        add(FaultKind::KillEntry, i, at);
      }
      for (unsigned i = 0; i < sidecars; ++i) {
        add(FaultKind::KillSidecar, i, at);
      }
    }
    return plan;
  }

  int Pick(int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, aMax)(random_);
  }
  unsigned PickOf(unsigned aCount)
  {
    return static_cast<unsigned>(Pick(0, static_cast<int>(aCount) - 1));
  }
  Millis NextGap(std::mt19937_64& aRandom) const
  {
    std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(options_.meanGap_.count()));
    return Millis(static_cast<int64_t>(gap(aRandom)));
  }

  FaultKind NextKind()
  {
    return mixedKinds_[PickOf(static_cast<unsigned>(mixedKinds_.size()))];
  }

  ProxiedLeg NextLeg()
  {
    if (!options_.disturbsClients_) {
      return static_cast<ProxiedLeg>(Pick(0, 3));
    }
    return Pick(0, 2) > 0 ? ProxiedLeg::ClientToEntry
                          : static_cast<ProxiedLeg>(Pick(0, 4));
  }

  Fault NextFault(Millis aAt)
  {
    Fault fault{ .kind_ = NextKind(),
                 .at_ = aAt,
                 .length_ = Millis(Pick(kMinDurationMs, kMaxDurationMs)),
                 .leg_ = NextLeg(),
                 .delay_ = Millis(
                   Pick(1, static_cast<int>(options_.maxDelay_.count()))) };
    const bool ofEntry = TargetsEntry(fault.kind_) ||
                         (TargetsLeg(fault.kind_) && IsEntryLeg(fault.leg_));
    fault.target_ = PickOf(ofEntry ? options_.entries_ : options_.sidecars_);
    if (fault.kind_ == FaultKind::StopEntry ||
        fault.kind_ == FaultKind::StopSidecar) {
      fault.length_ = kStopTime;
    } else if (fault.kind_ == FaultKind::ZoneOut) {
      fault.length_ = kZoneOutTime;
    } else if (fault.kind_ == FaultKind::ExecutorDrains) {
      fault.length_ = kDrainTime;
    }
    return fault;
  }

  const FaultPlanOptions options_;
  const std::vector<FaultKind> mixedKinds_;
  const std::vector<FaultKind> answerKinds_;
  const std::vector<FaultKind> departureKinds_;
  const std::vector<FaultKind> announcementKinds_;
  const std::vector<FaultKind> droppedRouteKinds_;
  std::mt19937_64 random_;
  std::mt19937_64 answerRandom_;
  std::mt19937_64 departureRandom_;
  std::mt19937_64 announcementRandom_;
  std::mt19937_64 droppedRouteRandom_;
};

std::string
Flag(const char* aName, bool aOn)
{
  return std::string("{\"") + aName + "\":" + (aOn ? "true}" : "false}");
}

/// Returns the fields that set or clear a fault of a proxy.
std::string
LegFields(const Fault& aFault, bool aOn)
{
  switch (aFault.kind_) {
    case FaultKind::DelayLeg:
      return R"({"delay_ms":)" +
             std::to_string(aOn ? aFault.delay_.count() : 0) + "}";
    case FaultKind::CutLeg:
      return Flag("cut", aOn);
    case FaultKind::DropToClient:
      return Flag("drop_to_client", aOn);
    case FaultKind::DropToTarget:
      return Flag("drop_to_target", aOn);
    case FaultKind::FreezeLeg:
      return Flag("freeze", aOn);
    default:
      return Flag("freeze_existing", aOn);
  }
}

std::string
StoreFields(FaultKind aKind, bool aOn)
{
  switch (aKind) {
    case FaultKind::StoreRefuses:
      return aOn ? R"({"down":"503"})" : R"({"down":"no"})";
    case FaultKind::StoreSilent:
      return aOn ? R"({"down":"silent"})" : R"({"down":"no"})";
    case FaultKind::StoreLosesAnswers:
      return Flag("lose_append_answers", aOn);
    default:
      return Flag("drop_history", aOn);
  }
}

std::string
ExecutorFields(FaultKind aKind, bool aOn, bool aLateOrders)
{
  switch (aKind) {
    case FaultKind::ExecutorMute:
      return aOn && aLateOrders ? R"({"unanswered":true,"late_orders":true})"
                                : Flag("unanswered", aOn);
    case FaultKind::ExecutorDrains:
      return Flag("draining", aOn);
    case FaultKind::ExecutorStalls:
      return Flag("stalls", aOn);
    default:
      return Flag("reborn", aOn);
  }
}

/// Returns a heartbeat of an instance that started at \p aStarted.
std::string
AnnouncementBody(WallMillis aStarted)
{
  return R"({"service":"desk","state":"ready","seq":1,"clockMs":1,)"
         R"("capacity":{"cpu":4000,"memMb":100000},"born":)" +
         std::to_string(aStarted) + "}";
}

std::string
SelfEndingFields(const Fault& aFault)
{
  if (aFault.kind_ == FaultKind::ExecutorLeaves) {
    return DepartureFields(aFault.departure_);
  }
  const std::string percent = std::to_string(aFault.percent_);
  std::string fields = R"({"answers":{"for_ms":)" +
                       std::to_string(aFault.length_.count()) + R"(,"seed":)" +
                       std::to_string(aFault.seed_);
  if (aFault.kind_ != FaultKind::ExecutorRefuses) {
    fields += R"(,"close_percent":)" + percent;
  }
  if (aFault.kind_ != FaultKind::ExecutorCloses) {
    fields += R"(,"refuse_percent":)" + percent;
  }
  return fields + "}}";
}

} // namespace

std::string_view
ToString(FaultKind aKind)
{
  return kNames.at(static_cast<size_t>(aKind));
}

std::vector<FaultKind>
ParseFaultKinds(const std::vector<std::string>& aNames)
{
  std::vector<FaultKind> kinds;
  for (const std::string& name : aNames) {
    const auto* found = std::find(kNames.begin(), kNames.end(), name);
    if (found == kNames.end()) {
      throw std::invalid_argument("no kind of fault is named " + name);
    }
    kinds.push_back(static_cast<FaultKind>(found - kNames.begin()));
  }
  return kinds;
}

std::vector<Fault>
MakeFaultPlan(const FaultPlanOptions& aOptions)
{
  return Planner(aOptions).Plan();
}

FaultInjector::FaultInjector(harness::PlatformCluster& aCluster,
                             FaultPlanOptions aOptions)
  : cluster_(aCluster)
  , options_(std::move(aOptions))
{
}

void
FaultInjector::Run(const std::vector<Fault>& aPlan)
{
  started_ = WallMillisNow();
  const MonoTime start = MonoClock::now();
  struct Change
  {
    Millis at_;
    bool begin_;
    Fault fault_;
  };
  std::vector<Change> changes;
  for (const Fault& fault : aPlan) {
    changes.push_back({ fault.at_, true, fault });
    changes.push_back({ fault.at_ + fault.length_, false, fault });
  }
  std::stable_sort(
    changes.begin(), changes.end(), [](const Change& aA, const Change& aB) {
      return aA.at_ < aB.at_;
    });
  for (const Change& change : changes) {
    std::this_thread::sleep_until(start + change.at_);
    if (change.begin_) {
      const WallMillis from = WallMillisNow();
      if (!Begin(change.fault_)) {
        continue;
      }
      injected_.push_back(
        { change.fault_, from, from + change.fault_.length_.count() });
      std::cout << from - started_ << " ms: " << ToString(change.fault_.kind_)
                << " target=" << change.fault_.target_
                << " leg=" << static_cast<int>(change.fault_.leg_)
                << " ms=" << change.fault_.length_.count();
      if (change.fault_.kind_ == FaultKind::ExecutorLeaves) {
        std::cout << " " << DepartureFields(change.fault_.departure_);
      } else if (IsSelfEnding(change.fault_.kind_)) {
        std::cout << " percent=" << change.fault_.percent_;
      }
      std::cout << "\n";
    } else {
      End(change.fault_);
      RecordHealed(change.fault_, WallMillisNow());
    }
  }
  HealAll();
}

void
FaultInjector::RecordHealed(const Fault& aFault, WallMillis aNow)
{
  for (Injected& injected : injected_) {
    const Fault& known = injected.fault_;
    if (known.kind_ == aFault.kind_ && known.target_ == aFault.target_ &&
        known.leg_ == aFault.leg_ && known.at_ == aFault.at_) {
      injected.healed_ = aNow;
    }
  }
}

bool
FaultInjector::IsPaused(unsigned aExecutor) const
{
  return std::any_of(
    injected_.begin(), injected_.end(), [&](const Injected& aInjected) {
      return aInjected.fault_.kind_ == FaultKind::PauseExecutor &&
             aInjected.fault_.target_ == aExecutor && aInjected.healed_ == 0;
    });
}

bool
FaultInjector::BeginSelfEnding(const Fault& aFault)
{
  if (aFault.kind_ == FaultKind::RouteDropped) {
    Configure(false);
    return true;
  }
  if (aFault.kind_ == FaultKind::OtherAnnounced) {
    cluster_.Heartbeat(aFault.target_,
                       "other-" + std::to_string(aFault.seed_),
                       AnnouncementBody(WallMillisNow()),
                       kAnnouncementTimeout);
    return true;
  }
  if (TargetsStore(aFault.kind_)) {
    cluster_.StoreFault(SelfEndingFields(aFault));
    return true;
  }
  if (IsPaused(aFault.target_)) {
    return false; // waking it would cut the other fault short
  }
  cluster_.ExecutorFault(aFault.target_, SelfEndingFields(aFault));
  return true;
}

bool
FaultInjector::Begin(const Fault& aFault)
{
  if (IsSelfEnding(aFault.kind_)) {
    return BeginSelfEnding(aFault);
  }
  const unsigned target = aFault.target_;
  switch (aFault.kind_) {
    case FaultKind::KillEntry:
      cluster_.Entry(target).Kill();
      return true;
    case FaultKind::KillSidecar:
      cluster_.Sidecar(target).Kill();
      return true;
    case FaultKind::StopEntry:
      cluster_.Entry(target).Signal(SIGTERM);
      return true;
    case FaultKind::StopSidecar:
      cluster_.Sidecar(target).Signal(SIGTERM);
      return true;
    case FaultKind::PauseEntry:
      cluster_.Entry(target).Signal(SIGSTOP);
      return true;
    case FaultKind::PauseSidecar:
      cluster_.Sidecar(target).Signal(SIGSTOP);
      return true;
    case FaultKind::PauseExecutor:
      cluster_.Executor(target).Signal(SIGSTOP);
      return true;
    case FaultKind::ReloadEntry:
      cluster_.ReloadEntry(target);
      return true;
    case FaultKind::ZoneOut:
      return WriteOperatorRecord(target, "{}");
    default:
      break;
  }
  if (TargetsLeg(aFault.kind_)) {
    cluster_.ProxyFault(aFault.leg_, target, LegFields(aFault, true));
  } else if (TargetsStore(aFault.kind_)) {
    cluster_.StoreFault(StoreFields(aFault.kind_, true));
  } else {
    // A suspended stand-in does not answer on /control.
    cluster_.Executor(target).Signal(SIGCONT);
    cluster_.ExecutorFault(
      target, ExecutorFields(aFault.kind_, true, options_.lateOrders_));
  }
  return true;
}

void
FaultInjector::End(const Fault& aFault)
{
  if (aFault.kind_ == FaultKind::RouteDropped) {
    return Configure(true);
  }
  if (IsSelfEnding(aFault.kind_)) {
    return;
  }
  const unsigned target = aFault.target_;
  switch (aFault.kind_) {
    case FaultKind::KillEntry:
    case FaultKind::StopEntry:
      return cluster_.StartEntry(target);
    case FaultKind::KillSidecar:
    case FaultKind::StopSidecar:
      return cluster_.StartSidecar(target);
    case FaultKind::PauseEntry:
      return cluster_.Entry(target).Signal(SIGCONT);
    case FaultKind::PauseSidecar:
      return cluster_.Sidecar(target).Signal(SIGCONT);
    case FaultKind::PauseExecutor:
      return cluster_.Executor(target).Signal(SIGCONT);
    case FaultKind::ZoneOut:
      WriteOperatorRecord(target, "");
      return;
    case FaultKind::ReloadEntry:
    case FaultKind::StoreDropsHistory:
    case FaultKind::ExecutorRestarts:
      return;
    default:
      break;
  }
  if (TargetsLeg(aFault.kind_)) {
    cluster_.ProxyFault(aFault.leg_, target, LegFields(aFault, false));
  } else if (TargetsStore(aFault.kind_)) {
    cluster_.StoreFault(StoreFields(aFault.kind_, false));
  } else {
    cluster_.Executor(target).Signal(SIGCONT);
    cluster_.ExecutorFault(
      target, ExecutorFields(aFault.kind_, false, options_.lateOrders_));
  }
}

bool
FaultInjector::WriteOperatorRecord(unsigned aTarget, const std::string& aValue)
{
  try {
    cluster_.WriteOperatorRecord("evacuate/" + cluster_.ZoneOf(aTarget),
                                 aValue);
    return true;
  } catch (const std::runtime_error& error) {
    // The store has a fault as well. Without its acknowledgement there is no
    // bound to check.
    std::cout << "operator record not written: " << error.what() << "\n";
    return false;
  }
}

void
FaultInjector::Configure(bool aSecondQueue)
{
  std::vector<std::string> queues{ "q1" };
  if (aSecondQueue) {
    queues.emplace_back(harness::kDroppedQueue);
  }
  try {
    cluster_.Configure(queues, kConfigureTimeout);
  } catch (const std::runtime_error& error) {
    std::cout << "configuration not written: " << error.what() << "\n";
  }
}

void
FaultInjector::HealAll()
{
  // If faults of one kind overlapped, one of them may still be set.
  for (unsigned i = 0; i < options_.entries_; ++i) {
    cluster_.Entry(i).Signal(SIGCONT);
  }
  for (unsigned i = 0; i < options_.sidecars_; ++i) {
    cluster_.Sidecar(i).Signal(SIGCONT);
    cluster_.Executor(i).Signal(SIGCONT);
    cluster_.ExecutorFault(i, R"({"draining":false,"stalls":false})");
  }
  cluster_.StoreFault(R"({"down":"no","lose_append_answers":false})");
  for (unsigned i = 0; i < options_.entries_; ++i) {
    WriteOperatorRecord(i, "");
  }
  if (options_.secondQueue_) {
    Configure(true);
  }
}

template<class Predicate>
bool
FaultInjector::Disturbed(WallMillis aFrom,
                         WallMillis aTo,
                         const Predicate& aDisturbs) const
{
  return std::any_of(
    injected_.begin(), injected_.end(), [&](const Injected& aInjected) {
      return aInjected.from_ < aTo &&
             aInjected.LastEffect() + kReconnectMs > aFrom &&
             aDisturbs(aInjected.fault_);
    });
}

bool
FaultInjector::AffectsExecutor(const Fault& aFault, unsigned aExecutor) const
{
  if (IsPlanned(aFault.kind_) || IsSelfEnding(aFault.kind_)) {
    return false;
  }
  const bool elsewhere = TargetsEntry(aFault.kind_) ||
                         (TargetsLeg(aFault.kind_) && IsEntryLeg(aFault.leg_));
  return TargetsStore(aFault.kind_) ||
         (!elsewhere && aFault.target_ == aExecutor);
}

std::vector<NoStartInterval>
FaultInjector::NoStartIntervals(WallMillis aEnd) const
{
  std::vector<NoStartInterval> intervals;
  const auto add = [&](unsigned aExecutor,
                       const Injected& aInjected,
                       WallMillis aBound,
                       const char* aWhy) {
    const WallMillis to = std::min(aInjected.to_, aEnd);
    const bool disturbed =
      Disturbed(aInjected.from_, to, [&](const Fault& aFault) {
        return AffectsExecutor(aFault, aExecutor);
      });
    if (!disturbed) {
      intervals.push_back({ aExecutor, aInjected.from_ + aBound, to, aWhy });
    }
  };
  for (const Injected& injected : injected_) {
    // Of several overlapping faults, the end of the first clears all of them,
    // so the interval of none is known.
    const bool overlapped = std::any_of(
      injected_.begin(), injected_.end(), [&](const Injected& aOther) {
        return &aOther != &injected &&
               aOther.fault_.kind_ == injected.fault_.kind_ &&
               aOther.to_ > injected.from_ && aOther.from_ < injected.to_;
      });
    if (overlapped) {
      continue;
    }
    if (injected.fault_.kind_ == FaultKind::ExecutorDrains) {
      add(injected.fault_.target_,
          injected,
          kDrainBoundMs + kHeartbeatMs,
          "draining");
    } else if (injected.fault_.kind_ == FaultKind::ZoneOut) {
      for (unsigned i = 0; i < options_.sidecars_; ++i) {
        if (cluster_.ZoneOf(i) == cluster_.ZoneOf(injected.fault_.target_)) {
          add(i, injected, kEvacuationBoundMs, "zone out of service");
        }
      }
    }
  }
  return intervals;
}

std::vector<UndisturbedInterval>
FaultInjector::UndisturbedIntervals(WallMillis aEnd) const
{
  std::vector<UndisturbedInterval> intervals;
  for (unsigned entry = 0; entry < options_.entries_; ++entry) {
    WallMillis calmFrom = started_;
    std::vector<std::pair<WallMillis, WallMillis>> disturbed;
    for (const Injected& injected : injected_) {
      if (IsSelfEnding(injected.fault_.kind_)) {
        continue;
      }
      if (!IsPlanned(injected.fault_.kind_)) {
        disturbed.emplace_back(injected.from_,
                               injected.LastEffect() + kReconnectMs);
      } else if (injected.fault_.kind_ == FaultKind::StopEntry &&
                 injected.fault_.target_ == entry) {
        disturbed.emplace_back(injected.from_ + kStopNoticeMs,
                               injected.LastEffect() + kReconnectMs);
      }
    }
    std::sort(disturbed.begin(), disturbed.end());
    disturbed.emplace_back(aEnd + 1, aEnd + 1);
    for (const auto& [from, to] : disturbed) {
      if (from > calmFrom) {
        intervals.push_back({ entry, calmFrom, from });
      }
      calmFrom = std::max(calmFrom, to);
    }
  }
  return intervals;
}

} // namespace cornelfront::soak
