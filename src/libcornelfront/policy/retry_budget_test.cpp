#include "cornelfront/retry_budget.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };

TEST(RetryBudget, AllowsAFractionOfTheTraffic)
{
  constexpr int kRequests = 10000;
  RetryBudget budget({ .minRetriesPerSecond_ = 0 }, kStart);
  MonoTime now = kStart;
  int retries = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += Millis(1);
    budget.OnRequest(now);
    retries += budget.TryRetry(now) ? 1 : 0;
  }
  EXPECT_LE(retries, kRequests / 10);
  EXPECT_GE(retries, kRequests / 11);
}

TEST(RetryBudget, AllowsAFewRetriesWithoutTraffic)
{
  RetryBudget budget({}, kStart);
  EXPECT_TRUE(budget.TryRetry(kStart));
  EXPECT_FALSE(budget.TryRetry(kStart));
  EXPECT_FALSE(budget.TryRetry(kStart + Millis(900)));
  EXPECT_TRUE(budget.TryRetry(kStart + Millis(1100)));
}

TEST(RetryBudget, UnusedRetriesExpire)
{
  RetryBudget budget({ .minRetriesPerSecond_ = 0 }, kStart);
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest(kStart);
  }
  EXPECT_TRUE(budget.TryRetry(kStart));
  EXPECT_FALSE(budget.TryRetry(kStart + std::chrono::minutes(1)));
}

} // namespace
} // namespace cornelfront
