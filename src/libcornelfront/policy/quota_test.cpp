#include "cornelfront/quota.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr TeamQuota kQuota{ .startsPerSecond_ = 100, .burst_ = 50 };

TEST(TeamQuotas, GrantsTheBurstThenTheRate)
{
  TeamQuotas quotas;
  EXPECT_FALSE(quotas.Take("crew", kQuota, 50, 1, kStart));
  EXPECT_EQ(quotas.Take("crew", kQuota, 1, 1, kStart), Millis(10));
  EXPECT_FALSE(quotas.Take("crew", kQuota, 1, 1, kStart + Millis(10)));
  EXPECT_FALSE(quotas.Take("other", kQuota, 50, 1, kStart));
}

TEST(TeamQuotas, DividesAmongTheLiveEntries)
{
  constexpr unsigned kEntries = 5;
  TeamQuotas quotas;
  EXPECT_FALSE(quotas.Take("crew", kQuota, 10, kEntries, kStart));
  EXPECT_EQ(quotas.Take("crew", kQuota, 1, kEntries, kStart), Millis(50));
}

TEST(TeamQuotas, ALargeJobDelaysLaterOnes)
{
  TeamQuotas quotas;
  EXPECT_FALSE(quotas.Take("crew", kQuota, 1900, 1, kStart));
  const auto wait = quotas.Take("crew", kQuota, 1900, 1, kStart);
  ASSERT_TRUE(wait);
  EXPECT_EQ(*wait, std::chrono::seconds(19));
  EXPECT_TRUE(quotas.Take("crew", kQuota, 1900, 1, kStart + *wait / 2));
  EXPECT_FALSE(quotas.Take("crew", kQuota, 1900, 1, kStart + *wait));
}

TEST(TeamQuotas, NeverExceedsTheRateInTheLongRun)
{
  constexpr Millis kSpan{ 10000 };
  TeamQuotas quotas;
  int granted = 0;
  for (Millis at{ 0 }; at < kSpan; at += Millis(1)) {
    granted += quotas.Take("crew", kQuota, 1, 1, kStart + at) ? 0 : 1;
  }
  EXPECT_NEAR(granted, 1050, 2);
}

TEST(TeamQuotas, RefundsAndPrunes)
{
  TeamQuotas quotas;
  quotas.Take("crew", kQuota, 50, 1, kStart);
  quotas.Refund("crew", 50);
  EXPECT_FALSE(quotas.Take("crew", kQuota, 50, 1, kStart));
  quotas.Prune(kStart + Millis(400));
  EXPECT_EQ(quotas.size(), 1U);
  quotas.Prune(kStart + Millis(501));
  EXPECT_EQ(quotas.size(), 0U);
}

} // namespace
} // namespace cornelfront
