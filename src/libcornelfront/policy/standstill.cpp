#include "cornelfront/standstill.h"

#include <algorithm>

namespace cornelfront {
namespace {

/// Time within which a process has handled what waited while it did not run.
constexpr Millis kCatchUpTime{ 200 };

} // namespace

MonoTime::duration
Standstill::OnCall(MonoTime aNow)
{
  const MonoTime last = lastCall_.value_or(aNow);
  lastCall_ = std::max(last, aNow);
  const auto pause = *lastCall_ - last;
  if (pause > kLongestPause) {
    pausedAt_ = last;
    resumedAt_ = aNow;
  }
  return pause;
}

Millis
Standstill::AgeOfNews() const
{
  return pausedAt_ && *lastCall_ - resumedAt_ <= kCatchUpTime
           ? std::chrono::ceil<Millis>(*lastCall_ - *pausedAt_)
           : Millis(0);
}

} // namespace cornelfront
