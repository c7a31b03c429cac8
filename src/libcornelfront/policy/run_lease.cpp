/// \file
/// RunTable: the time to which the lease of the upstream may be extended.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cornelfront {
namespace {

constexpr std::array<std::string_view, 8> kLeaseLimitReasons = {
  "none",           "upstream_silent",  "orphaned",    "owner_silent",
  "owner_unlinked", "stop_unconfirmed", "leader_lost", "upstream_leaving",
};

/// An upstream's clock may be this many times as slow as this machine's.
constexpr double kSlowestClock = 1.0 / 0.98;

void
Lower(LeaseLimit& aLimit, MonoTime aEnd, LeaseLimitReason aReason)
{
  if (aEnd < aLimit.end_) {
    aLimit = { aEnd, aReason };
  }
}

} // namespace

std::string_view
ToString(LeaseLimitReason aReason)
{
  return kLeaseLimitReasons.at(static_cast<size_t>(aReason));
}

Millis
LapseAllowance(const RunTableOptions& aOptions)
{
  // The end is a time on the upstream's clock, read at most this long before.
  const Millis longest = aOptions.maxLeaseSilence_ + aOptions.lease_;
  const auto slow = static_cast<int64_t>(
    std::ceil(static_cast<double>(longest.count()) * (kSlowestClock - 1.0)));
  return Millis(slow) + aOptions.lapseDelay_;
}

LeaseLimit
RunTable::LimitLease(MonoTime aNow) const
{
  LeaseLimit limit{ .end_ = aNow + options_.lease_ };
  if (MustLetLeaseLapse(aNow)) {
    Lower(limit, aNow, LeaseLimitReason::LeaderLost);
  }
  if (!orphans_.empty()) {
    Lower(limit, aNow, LeaseLimitReason::Orphaned);
  }
  if (departure_) {
    Lower(limit, aNow, LeaseLimitReason::UpstreamLeaving);
  }
  Lower(limit,
        upstreamHeardAt_ + options_.maxLeaseSilence_ + options_.lease_,
        LeaseLimitReason::UpstreamSilent);
  // Waiting runs too: they live on the lease that was given before they start.
  for (const auto& [key, run] : runs_) {
    LimitLeaseBy(run, limit);
  }
  return limit;
}

void
RunTable::LimitLeaseBy(const Run& aRun, LeaseLimit& aLimit) const
{
  // A best-effort run that its owner only wants to move elsewhere may go on
  // until it ends; that of a stored job may have another leader by then.
  const bool mustEnd =
    aRun.stop_ &&
    (aRun.stop_->reason_ != StopReason::Ordered || aRun.term_ > 0);
  if (mustEnd) {
    Lower(aLimit,
          aRun.stop_->requestedAt_ + options_.lease_,
          LeaseLimitReason::StopUnconfirmed);
  }
  LimitLeaseByOwner(aRun, aLimit);
}

void
RunTable::LimitLeaseByOwner(const Run& aRun, LeaseLimit& aLimit) const
{
  const auto owner = owners_.find(aRun.owner_);
  if (aRun.term_ > 0 || owner == owners_.end()) {
    return;
  }
  const Owner& state = owner->second;
  Lower(aLimit,
        state.heardAt_ + options_.ownerLease_,
        LeaseLimitReason::OwnerSilent);
  if (state.unlinkedAt_) {
    Lower(aLimit,
          *state.unlinkedAt_ + options_.lease_,
          LeaseLimitReason::OwnerUnlinked);
  }
}

bool
RunTable::LeaseFits(const Run& aRun) const
{
  LeaseLimit granted{ .end_ = leaseGranted_ };
  LimitLeaseByOwner(aRun, granted);
  return granted.end_ == leaseGranted_;
}

std::optional<MonoTime>
RunTable::LeaseEnd(MonoTime aNow) const
{
  if (!runsKnown_) {
    return std::nullopt;
  }
  const MonoTime end = LimitLease(aNow).end_;
  return end > aNow ? std::optional(end) : std::nullopt;
}

MonoTime
RunTable::LeaseOverAt(MonoTime aNow) const
{
  // An order extends the lease by its deadline, and a predecessor of this
  // process may have granted that of what was not ordered here.
  const bool ownOnly = runsKnown_ && orphans_.empty();
  const MonoTime inherited =
    ownOnly ? orderedUntil_ : aNow + options_.leaseExpiry_;
  return std::max({ leaseGranted_, orderedUntil_, inherited }) +
         LapseAllowance(options_);
}

bool
RunTable::HasLapsedInSilence(MonoTime aNow) const
{
  const MonoTime silentSince =
    std::max(upstreamHeardAt_, resumedAt_.value_or(upstreamHeardAt_));
  return Since(silentSince, aNow) > options_.upstreamTimeout_ &&
         aNow > leaseGranted_ + LapseAllowance(options_);
}

void
RunTable::ExtendLeases(MonoClock::duration aPause)
{
  leaseGranted_ += aPause;
  orderedUntil_ += aPause;
  if (departure_) {
    departure_->leaseOverAt_ += aPause;
  }
  for (auto& [key, run] : formerRuns_) {
    run.leaseOverAt_ += aPause;
  }
  for (auto& [key, run] : runs_) {
    run.mayRunElsewhereUntil_ += aPause;
  }
}

bool
RunTable::MayExtendByStart(MonoTime aNow) const
{
  return LimitLease(aNow).end_ >= aNow + options_.startTimeout_;
}

} // namespace cornelfront
