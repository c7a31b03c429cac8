#include "cornelfront/predecessor.h"

#include <algorithm>

namespace cornelfront {
namespace {

/// Time after which the orders of a predecessor are void.
constexpr Millis kOrderTimeout{ 300 };

} // namespace

std::optional<Millis>
UpstreamAge(int64_t aStartedMs, UpstreamTime aClock, Millis aTimeOfDay)
{
  if (aStartedMs == 0) {
    return std::nullopt;
  }
  return std::min(aClock.value_, aTimeOfDay - Millis(aStartedMs));
}

bool
HavePredecessorRunsEnded(const PredecessorView& aView,
                         const RunTableOptions& aOptions)
{
  if (aView.hasOrphans_ || aView.age_ < kOrderTimeout) {
    return false;
  }
  const Millis longestLease = aOptions.lease_ + LapseAllowance(aOptions);
  // Already when the predecessor ended.
  const bool wasThere = aView.upstreamAge_ && *aView.upstreamAge_ - aView.age_ >
                                                aOptions.leaseExpiry_;
  return aView.age_ > longestLease || (aView.answered_ && wasThere);
}

} // namespace cornelfront
