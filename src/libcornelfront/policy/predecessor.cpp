#include "cornelfront/predecessor.h"

namespace cornelfront {
namespace {

/// Time after which the orders of a predecessor are void.
constexpr Millis kOrderTimeout{ 300 };

} // namespace

bool
HavePredecessorRunsEnded(const PredecessorView& aView,
                         const RunTableOptions& aOptions)
{
  if (aView.hasOrphans_ || aView.age_ < kOrderTimeout) {
    return false;
  }
  const Millis longestLease = aOptions.lease_ + LapseAllowance(aOptions);
  return aView.answered_ || aView.age_ > longestLease;
}

} // namespace cornelfront
