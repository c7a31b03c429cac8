#pragma once

/// \file
/// A seeded series of faults, and its injection from outside the processes:
/// signals, proxies, and the stand-ins of the store and of executors.

#include "checks.h"

#include <random>
#include <vector>

namespace cornelfront::soak {

enum class FaultKind : uint8_t
{
  KillEntry,
  KillSidecar,
  /// SIGTERM, and a new process later.
  StopEntry,
  StopSidecar,
  PauseEntry,
  PauseSidecar,
  PauseExecutor,
  /// SIGHUP.
  ReloadEntry,
  DelayLeg,
  /// Closes and refuses connections.
  CutLeg,
  DropToClient,
  DropToTarget,
  /// Connections stay open and carry nothing.
  FreezeLeg,
  /// Those open now stay silent for good; new ones work.
  SilenceOpen,
  StoreRefuses,
  StoreSilent,
  StoreLosesAnswers,
  StoreDropsHistory,
  ExecutorMute,
  ExecutorDrains,
  ExecutorStalls,
  /// Crashes and starts as a new incarnation.
  ExecutorReborn,
  ZoneOut,
};

constexpr size_t kFaultKinds = static_cast<size_t>(FaultKind::ZoneOut) + 1;

std::string_view
ToString(FaultKind aKind);

struct Fault
{
  FaultKind kind_ = FaultKind::KillEntry;
  /// From the start of the series.
  Millis at_{ 0 };
  Millis length_{ 0 };
  /// Entry, sidecar or executor; the entry with the same number for zones.
  unsigned target_ = 0;
  harness::ProxiedLeg leg_ = harness::ProxiedLeg::EntryToStore;
  Millis delay_{ 0 };
};

struct FaultPlanOptions
{
  uint64_t seed_ = 1;
  Millis length_{ 15000 };
  unsigned entries_ = 2;
  unsigned sidecars_ = 4;
};

/// The same options always give the same series, ordered by time.
std::vector<Fault>
MakeFaultPlan(const FaultPlanOptions& aOptions);

/// Injects a series and keeps a record of what was disturbed when. One thread.
class FaultInjector
{
public:
  FaultInjector(harness::PlatformCluster& aCluster, FaultPlanOptions aOptions);

  /// Returns once the series is over and all faults are taken back.
  void Run(const std::vector<Fault>& aPlan);

  /// Spans that follow from the series, up to \p aEnd.
  std::vector<ClosedSpan> ClosedSpans(Stamp aEnd) const;
  std::vector<CalmSpan> CalmSpans(Stamp aEnd) const;

private:
  struct Injected
  {
    Fault fault_;
    Stamp from_ = 0;
    Stamp to_ = 0;
  };

  /// Returns false if the fault was not injected after all.
  bool Begin(const Fault& aFault);
  void End(const Fault& aFault);
  void HealAll();
  /// Writes the state of a target's zone; returns false without an
  /// acknowledgement of the store.
  bool Operate(unsigned aTarget, const std::string& aValue);
  bool DisturbsExecutor(const Fault& aFault, unsigned aExecutor) const;
  /// True if \p aDisturbs holds for a fault that touches the span.
  template<class Predicate>
  bool Disturbed(Stamp aFrom, Stamp aTo, const Predicate& aDisturbs) const;

  harness::PlatformCluster& cluster_;
  const FaultPlanOptions options_;
  std::vector<Injected> injected_;
  Stamp begun_ = 0;
};

} // namespace cornelfront::soak
