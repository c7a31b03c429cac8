#pragma once

/// \file
/// A seeded sequence of faults, and its injection from outside the processes by
/// signals, by fault proxies, and by the stand-ins for the store and the
/// executors.

#include "checks.h"
#include "departures.h"

#include <algorithm>
#include <random>
#include <vector>

namespace cornelfront::soak {

enum class FaultKind : uint8_t
{
  KillEntry,
  KillSidecar,
  /// Sends SIGTERM and starts a new process later.
  StopEntry,
  StopSidecar,
  PauseEntry,
  PauseSidecar,
  PauseExecutor,
  /// Sends SIGHUP.
  ReloadEntry,
  DelayLeg,
  /// Closes and refuses connections.
  CutLeg,
  DropToClient,
  DropToTarget,
  /// Connections stay open and forward nothing.
  FreezeLeg,
  /// Connections that are open now forward nothing any more; new ones work.
  SilenceOpen,
  StoreRefuses,
  StoreSilent,
  StoreLosesAnswers,
  StoreDropsHistory,
  ExecutorMute,
  ExecutorDrains,
  ExecutorStalls,
  /// The executor crashes and starts as a new incarnation.
  ExecutorRestarts,
  ZoneOut,
  // Faults of answers, which play beside all others.
  /// A share of the calls is carried out, and the connections closed without an
  /// answer.
  ExecutorCloses,
  /// A share of the orders is answered 503 and has done nothing.
  ExecutorRefuses,
  /// Both, for a share of the appends each.
  StoreCloses,
  // Departures, which play beside all others as well.
  /// The executor deregisters, ends and comes back as a new incarnation.
  ExecutorLeaves,
  // Beside all others as well.
  /// A heartbeat of another instance, which is not there, reaches a sidecar.
  OtherAnnounced,
  /// The operator publishes a configuration without the second queue, and
  /// later one that has it again.
  RouteDropped,
};

constexpr size_t kFaultKinds = static_cast<size_t>(FaultKind::RouteDropped) + 1;

std::string_view
ToString(FaultKind aKind);
/// Returns the kinds with these names.
/// \throws std::invalid_argument if a name is unknown
std::vector<FaultKind>
ParseFaultKinds(const std::vector<std::string>& aNames);

/// One fault of a plan.
struct Fault
{
  FaultKind kind_ = FaultKind::KillEntry;
  /// Time from the start of the plan.
  Millis at_{ 0 };
  Millis length_{ 0 };
  /// Index of the entry, sidecar or executor; for a zone, of its entry.
  unsigned target_ = 0;
  harness::ProxiedLeg leg_ = harness::ProxiedLeg::EntryToStore;
  Millis delay_{ 0 };
  /// Of a fault of answers: the share of the calls, and the seed by which they
  /// are drawn. Of an announcement, the seed is the number in its id.
  int percent_ = 0;
  uint64_t seed_ = 0;
  /// Of a departure.
  Departure departure_;
};

struct FaultPlanOptions
{
  uint64_t seed_ = 1;
  Millis length_{ 15000 };
  unsigned entries_ = 2;
  unsigned sidecars_ = 4;
  /// If not 0, the plan consists of losses of power at this interval: all
  /// entries and sidecars are killed and started again, each a little later
  /// than the others.
  Millis powerLossInterval_{ 0 };
  /// The processes of a loss of power are killed within this time.
  Millis powerLossSpread_{ 100 };
  /// How long they are gone; drawn for each of them if 0.
  Millis powerLossDown_{ 0 };
  /// Sidecars keep their power.
  bool powerLossEntriesOnly_ = false;
  /// Kinds of mixed faults, of faults of answers, of departures and of
  /// announcements; all if empty.
  std::vector<FaultKind> kinds_;
  /// Mean time between two mixed faults, and between two faults of answers;
  /// departures are fewer.
  Millis meanGap_{ 700 };
  Millis maxDelay_{ 300 };
  /// Disturbs the connections of clients, in two of three faults of a leg.
  bool disturbsClients_ = false;
  /// Orders that reach an executor while it is mute are carried out later.
  bool lateOrders_ = false;
  /// The cluster has a second queue, whose route may be dropped.
  bool secondQueue_ = false;
};

/// Returns faults ordered by time. The same options always give the same plan.
std::vector<Fault>
MakeFaultPlan(const FaultPlanOptions& aOptions);

/// Injects the faults of a plan and records when each took effect. Not
/// thread-safe.
class FaultInjector
{
public:
  FaultInjector(harness::PlatformCluster& aCluster, FaultPlanOptions aOptions);

  /// Returns once the plan is finished and all faults have ended.
  void Run(const std::vector<Fault>& aPlan);

  /// Intervals that follow from the injected faults, up to \p aEnd.
  std::vector<NoStartInterval> NoStartIntervals(WallMillis aEnd) const;
  std::vector<UndisturbedInterval> UndisturbedIntervals(WallMillis aEnd) const;

private:
  struct Injected
  {
    Fault fault_;
    WallMillis from_ = 0;
    /// When its end is due.
    WallMillis to_ = 0;
    /// When its end had been carried out; on a busy machine later than due.
    WallMillis healed_ = 0;

    WallMillis LastEffect() const { return std::max(to_, healed_); }
  };

  /// Returns false if the fault could not be injected.
  bool Begin(const Fault& aFault);
  /// Returns false if its executor is suspended and so can't be told.
  bool BeginSelfEnding(const Fault& aFault);
  bool IsPaused(unsigned aExecutor) const;
  void End(const Fault& aFault);
  void RecordHealed(const Fault& aFault, WallMillis aNow);
  void HealAll();
  /// Writes the evacuation record of the target's zone; an empty value deletes
  /// it. Returns false if the store did not acknowledge it.
  bool WriteOperatorRecord(unsigned aTarget, const std::string& aValue);
  /// Publishes a configuration with or without the second queue; the store may
  /// not take it.
  void Configure(bool aSecondQueue);
  bool AffectsExecutor(const Fault& aFault, unsigned aExecutor) const;
  /// Returns true if \p aDisturbs holds for a fault whose effect overlaps the
  /// interval.
  template<class Predicate>
  bool Disturbed(WallMillis aFrom,
                 WallMillis aTo,
                 const Predicate& aDisturbs) const;

  harness::PlatformCluster& cluster_;
  const FaultPlanOptions options_;
  std::vector<Injected> injected_;
  WallMillis started_ = 0;
};

} // namespace cornelfront::soak
