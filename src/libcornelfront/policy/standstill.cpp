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
    // Only time in which the process runs lets it catch up.
    for (Pause& recent : recent_) {
      recent.end_ += pause;
    }
  }
  while (!recent_.empty() && *lastCall_ - recent_.front().end_ > kCatchUpTime) {
    recent_.pop_front();
  }
  if (pause > kLongestPause) {
    recent_.push_back({ last, *lastCall_ });
  }
  return pause;
}

Millis
Standstill::AgeOfNews() const
{
  return recent_.empty()
           ? Millis(0)
           : std::chrono::ceil<Millis>(*lastCall_ - recent_.front().begin_);
}

} // namespace cornelfront
