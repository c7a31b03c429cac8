#include "cornelfront/ramp.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr Millis kDuration{ 3000 };

TEST(Ramp, GrowsLinearlyOverManySidecarsOfOneSlot)
{
  constexpr uint32_t kSidecars = 1000;
  constexpr int kTolerance = 50;
  for (int quarter = 0; quarter <= 4; ++quarter) {
    int usable = 0;
    for (uint64_t id = 1; id <= kSidecars; ++id) {
      const Ramp ramp = StartRamp({ id }, kDuration, kStart);
      usable += static_cast<int>(
        RampedSlots(ramp, 1, kStart + kDuration * quarter / 4));
    }
    EXPECT_NEAR(usable, kSidecars * quarter / 4.0, kTolerance);
  }
}

TEST(Ramp, StepsReachAllSlots)
{
  constexpr uint32_t kSlots = 8;
  for (uint64_t id = 1; id <= 50; ++id) {
    const Ramp ramp = StartRamp({ id }, kDuration, kStart);
    MonoTime now = kStart;
    int steps = 0;
    while (!IsRampOver(ramp, now)) {
      const uint32_t before = RampedSlots(ramp, kSlots, now);
      const MonoTime next = NextRampStep(ramp, kSlots, now);
      ASSERT_GT(next, now);
      EXPECT_LE(RampedSlots(ramp, kSlots, next), before + 1);
      now = next;
      ++steps;
    }
    EXPECT_EQ(RampedSlots(ramp, kSlots, now), kSlots);
    EXPECT_LE(steps, static_cast<int>(kSlots) + 2);
  }
}

} // namespace
} // namespace cornelfront
