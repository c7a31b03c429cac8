#include "cornelfront/transit_bound.h"

#include <algorithm>
#include <utility>

namespace cornelfront {
namespace {

using std::chrono::nanoseconds;

/// Two clocks that differ by 100 ppm drift by 2 ms in two windows.
constexpr Millis kWindow{ 10000 };
/// Stamps beyond this are malformed; their differences might overflow.
constexpr nanoseconds kMaxStamp{ int64_t{ 1 } << 61U };

bool
IsPlausible(nanoseconds aStamp)
{
  return aStamp > nanoseconds(0) && aStamp <= kMaxStamp;
}

} // namespace

std::optional<Millis>
TransitBound::Measure(const MessageTimes& aTimes, MonoTime aNow)
{
  const nanoseconds now = aNow.time_since_epoch();
  if (!IsPlausible(aTimes.stamp_) || !IsPlausible(now)) {
    return std::nullopt;
  }
  Advance(aNow);
  if (IsPlausible(aTimes.echo_) && aTimes.echo_ <= now) {
    const nanoseconds offset = aTimes.echo_ - aTimes.stamp_;
    current_ = std::max(current_.value_or(offset), offset);
  }
  const auto offset = LeastOffset();
  if (!offset) {
    return std::nullopt;
  }
  const nanoseconds longest = now - aTimes.stamp_ - *offset;
  return std::max(Millis(0), std::chrono::ceil<Millis>(longest));
}

void
TransitBound::Advance(MonoTime aNow)
{
  if (aNow - windowStart_ < kWindow) {
    return;
  }
  const bool adjacent = aNow - windowStart_ < 2 * kWindow;
  previous_ = adjacent ? current_ : std::nullopt;
  current_.reset();
  windowStart_ = aNow;
}

std::optional<nanoseconds>
TransitBound::LeastOffset() const
{
  if (!current_ || !previous_) {
    return current_ ? current_ : previous_;
  }
  return std::max(*current_, *previous_);
}

} // namespace cornelfront
