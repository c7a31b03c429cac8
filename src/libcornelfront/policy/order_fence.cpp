#include "cornelfront/order_fence.h"

#include <algorithm>

namespace cornelfront {
namespace {

constexpr int64_t kFirstStepMs = 1000;
constexpr int64_t kMaxStepMs = 3'600'000;

} // namespace

void
OrderFence::OnIncarnation(int64_t aStartedMs, UpstreamTime aClock)
{
  // The time of day may have been set back between two starts.
  value_ = std::max(value_ + 1, aStartedMs + aClock.value_.count());
  step_ = kFirstStepMs;
}

void
OrderFence::OnNoAnswer()
{
  ++value_;
}

void
OrderFence::OnRefused(int64_t aSent)
{
  if (value_ > aSent) {
    return;
  }
  value_ += step_;
  step_ = std::min(2 * step_, kMaxStepMs);
}

} // namespace cornelfront
