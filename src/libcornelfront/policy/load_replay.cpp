/// \file
/// LoadReplayer: processes and the whole run; results.

#include "policy/load_replay_pvt.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {
namespace {

/// Share of the worth of a late job.
constexpr double kLateWorth = 0.2;

} // namespace

LoadReplayer::LoadReplayer(const LoadPattern& aPattern)
  : pattern_(aPattern)
  , random_(aPattern.seed_)
{
  result_.kinds_.resize(aPattern.kinds_.size());
  for (size_t i = 0; i < aPattern.kinds_.size(); ++i) {
    result_.kinds_[i].kind_ = aPattern.kinds_[i].name_;
  }
  result_.windows_.resize(static_cast<size_t>(
    (aPattern.duration_ + kReplayWindow - Millis(1)) / kReplayWindow));
}

LoadReplayResult
LoadReplayer::Run()
{
  for (uint32_t i = 0; i < pattern_.upstreams_; ++i) {
    AddSidecar(i);
  }
  for (uint32_t i = 0; i < pattern_.entries_; ++i) {
    AddEntry(i);
  }
  for (const LoadFault& fault : pattern_.faults_) {
    Schedule(fault);
  }
  for (size_t i = 0; i < pattern_.kinds_.size(); ++i) {
    ScheduleArrival(i);
  }
  Millis longest{ 0 };
  for (const LoadKind& kind : pattern_.kinds_) {
    longest = std::max(longest, kind.clientTimeout_);
  }
  events_.RunUntil(kReplayStart + pattern_.duration_ + 2 * longest);
  return std::move(result_);
}

std::string
LoadReplayer::ZoneOf(uint32_t aIndex) const
{
  return "zone-" + std::to_string(aIndex % pattern_.zones_);
}

void
LoadReplayer::AddSidecar(uint32_t aIndex)
{
  auto sidecar = std::make_unique<SimulatedSidecar>();
  sidecar->id_ = MemberId{ random_() };
  sidecar->zone_ = ZoneOf(aIndex);
  sidecar->speed_ = pattern_.speeds_[aIndex % pattern_.speeds_.size()];
  StartSidecar(*sidecar);
  sidecars_.push_back(std::move(sidecar));
  SimulatedSidecar* added = sidecars_.back().get();
  events_.At(kReplayStart + RandomOffset(kReplaySidecarTick),
             [this, added] { TickSidecar(*added); });
}

void
LoadReplayer::StartSidecar(SimulatedSidecar& aSidecar)
{
  aSidecar.up_ = true;
  aSidecar.upstream_ = "upstream-" + std::to_string(random_());
  aSidecar.table_ = std::make_unique<RunTable>(RunTableOptions{});
  aSidecar.table_->OnUpstream(
    { .id_ = aSidecar.upstream_,
      .startedMs_ = static_cast<int64_t>(random_() >> 1U),
      .service_ = "service",
      .capacity_ = { .cpu_ = pattern_.upstreamCpu_ } },
    events_.Now());
  aSidecar.owners_.clear();
  aSidecar.running_.clear();
  aSidecar.ended_.clear();
  aSidecar.nextEnd_ = 1;
}

void
LoadReplayer::AddEntry(uint32_t aIndex)
{
  auto entry = std::make_unique<SimulatedEntry>();
  entry->zone_ = ZoneOf(aIndex);
  entries_.push_back(std::move(entry));
  StartEntry(*entries_.back());
  SimulatedEntry* added = entries_.back().get();
  events_.At(kReplayStart + RandomOffset(kReplayEntryTick),
             [this, added] { TickEntry(*added); });
}

void
LoadReplayer::StartEntry(SimulatedEntry& aEntry)
{
  aEntry.id_ = MemberId{ random_() };
  aEntry.up_ = true;
  JobSchedulerOptions options = pattern_.scheduler_;
  options.self_ = aEntry.id_;
  options.zone_ = aEntry.zone_;
  aEntry.scheduler_ = std::make_unique<JobScheduler>(std::move(options));
  for (const auto& sidecar : sidecars_) {
    if (sidecar->up_) {
      Link(aEntry, *sidecar);
    }
  }
}

void
LoadReplayer::Link(SimulatedEntry& aEntry, SimulatedSidecar& aSidecar)
{
  const MonoTime now = events_.Now();
  aSidecar.owners_.insert_or_assign(
    aEntry.id_,
    SimulatedSidecar::Owner{ .schedule_ = ReportSchedule(pattern_.reports_) });
  aSidecar.table_->OnOwnerLinked(aEntry.id_, now);
  aEntry.scheduler_->OnSidecarLinked(aSidecar.id_, aSidecar.zone_, now);
  aEntry.scheduler_->OnHeldRuns(
    aSidecar.id_, aSidecar.table_->MakeHeldRuns(aEntry.id_), RunEnd::Lost, now);
  Report(aSidecar, aEntry.id_, {});
}

Millis
LoadReplayer::RandomOffset(Millis aMax)
{
  return Millis(std::uniform_int_distribution<int64_t>(
    0, std::max<int64_t>(aMax.count() - 1, 0))(random_));
}

double
LoadReplayer::LogNormal(double aSpread)
{
  return std::exp(std::normal_distribution<double>(0.0, 1.0)(random_) *
                    aSpread -
                  aSpread * aSpread / 2);
}

double
LoadOutcomes::Worth() const
{
  if (submitted_ == 0) {
    return 1.0;
  }
  return (static_cast<double>(inTime_) +
          kLateWorth * static_cast<double>(late_)) /
         static_cast<double>(submitted_);
}

double
LoadReplayResult::WorstWindow() const
{
  double worst = 1.0;
  for (const LoadOutcomes& window : windows_) {
    worst = std::min(worst, window.Worth());
  }
  return worst;
}

LoadReplayResult
ReplayLoad(const LoadPattern& aPattern)
{
  return LoadReplayer(aPattern).Run();
}

} // namespace cornelfront
