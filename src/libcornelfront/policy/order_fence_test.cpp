#include "cornelfront/order_fence.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

UpstreamTime
Clock(int64_t aMs)
{
  return { Millis(aMs) };
}

TEST(OrderFenceTest, ACallAfterOneWithoutAnAnswerHasAHigherFence)
{
  OrderFence fence;
  fence.OnIncarnation(4000, {});
  const int64_t unanswered = fence.Value();
  fence.OnNoAnswer();
  EXPECT_GT(fence.Value(), unanswered);
}

TEST(OrderFenceTest, AReplacedProcessBeginsAboveItsPredecessor)
{
  OrderFence earlier;
  earlier.OnIncarnation(4000, Clock(2000));
  for (int i = 0; i < 300; ++i) {
    earlier.OnNoAnswer();
  }
  OrderFence later;
  later.OnIncarnation(4000, Clock(2500));
  EXPECT_GT(later.Value(), earlier.Value());
}

TEST(OrderFenceTest, TheNextIncarnationIsAboveAllEarlierOrders)
{
  OrderFence fence;
  fence.OnIncarnation(4000, Clock(9000));
  fence.OnNoAnswer();
  const int64_t before = fence.Value();
  fence.OnIncarnation(3000, {});
  EXPECT_GT(fence.Value(), before) << "the time of day was set back";
}

TEST(OrderFenceTest, RefusalsRaiseTheFenceByDoubledSteps)
{
  OrderFence fence;
  fence.OnIncarnation(4000, {});
  fence.OnRefused(4000);
  EXPECT_EQ(fence.Value(), 5000);
  fence.OnRefused(4000);
  EXPECT_EQ(fence.Value(), 5000) << "the refused call was sent before the step";
  fence.OnRefused(5000);
  EXPECT_EQ(fence.Value(), 7000);
}

} // namespace
} // namespace cornelfront
