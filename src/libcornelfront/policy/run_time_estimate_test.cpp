#include "cornelfront/run_time_estimate.h"

#include <gtest/gtest.h>

#include <random>

namespace cornelfront {
namespace {

TEST(RunTimeEstimate, StartsFromTheDeclaration)
{
  const RunTimeEstimate estimate(Millis(200));
  EXPECT_NEAR(estimate.Median().count(), 200, 20);
  EXPECT_EQ(estimate.Mean(), Millis(200));
}

class WrongDeclaration : public testing::TestWithParam<int>
{};

TEST_P(WrongDeclaration, ConvergesToTheDistribution)
{
  RunTimeEstimate estimate{ Millis(GetParam()) };
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> runTime(100, 300);
  for (int i = 0; i < 200; ++i) {
    estimate.OnRunTime(Millis(runTime(random)));
  }
  EXPECT_NEAR(estimate.Median().count(), 200, 40);
  EXPECT_NEAR(estimate.Mean().count(), 200, 40);
  EXPECT_NEAR(estimate.Quantile(0.95).count(), 290, 58);
}

INSTANTIATE_TEST_SUITE_P(TenTimes,
                         WrongDeclaration,
                         testing::Values(20, 200, 2000));

TEST(RunTimeEstimate, MedianIgnoresRareLongTasks)
{
  RunTimeEstimate estimate(Millis(100));
  for (int i = 0; i < 200; ++i) {
    estimate.OnRunTime(i % 10 == 0 ? Millis(5000) : Millis(100));
  }
  EXPECT_NEAR(estimate.Median().count(), 100, 20);
  EXPECT_GT(estimate.Quantile(0.99), Millis(4000));
}

TEST(SpeedEstimate, DetectsASlowSidecarAndItsRecovery)
{
  SpeedEstimate speed;
  for (int i = 0; i < 7; ++i) {
    speed.OnRunTime(Millis(1000), Millis(200));
    EXPECT_FALSE(speed.IsSlow()) << "too few answers";
  }
  speed.OnRunTime(Millis(1000), Millis(200));
  EXPECT_TRUE(speed.IsSlow());
  EXPECT_NEAR(speed.Factor(), 5, 0.1);
  for (int i = 0; i < 30; ++i) {
    speed.OnRunTime(Millis(200), Millis(200));
  }
  EXPECT_FALSE(speed.IsSlow());
}

TEST(SpeedEstimate, OneLongTaskDoesNotMakeASidecarSlow)
{
  SpeedEstimate speed;
  for (int i = 0; i < 20; ++i) {
    speed.OnRunTime(Millis(200), Millis(200));
  }
  speed.OnRunTime(Millis(20000), Millis(200));
  EXPECT_FALSE(speed.IsSlow());
}

} // namespace
} // namespace cornelfront
