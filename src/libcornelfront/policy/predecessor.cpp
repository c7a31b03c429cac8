#include "cornelfront/predecessor.h"

#include <algorithm>

namespace cornelfront {
namespace {

/// Time after which the orders of a predecessor are void:
/// RunTableOptions::startTimeout_ on a slow clock that it had read up to
/// upstreamQuietAfter_ before.
constexpr Millis kOrderTimeout{ 260 };

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
  if (aView.hasOrphans_) {
    return false;
  }
  const Millis longestLease = aOptions.lease_ + LapseAllowance(aOptions);
  // An order could still begin a run after an earlier poll.
  const bool answered = aView.polledAt_ && *aView.polledAt_ >= kOrderTimeout;
  // Already when the predecessor ended.
  const bool wasThere = aView.upstreamAge_ && *aView.upstreamAge_ - aView.age_ >
                                                aOptions.leaseExpiry_;
  return aView.age_ > longestLease || (answered && wasThere);
}

} // namespace cornelfront
