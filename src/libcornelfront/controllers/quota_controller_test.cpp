#include "controllers/quota_controller.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace cornelfront {
namespace {

constexpr MonoTime kNow{ std::chrono::hours(1) };

ServiceSchema
Desk()
{
  return { .service_ = "desk",
           .teams_ = {
             { "doors", { .startsPerSecond_ = 10, .burst_ = 60 } } } };
}

TEST(QuotaController, DividesOverEntriesAndRefills)
{
  unsigned entries = 1;
  QuotaController quotas([&] { return entries; });
  EXPECT_FALSE(quotas.Take(Desk(), "doors", 60, kNow));
  EXPECT_EQ(quotas.Take(Desk(), "doors", 1, kNow), Millis(100));
  entries = 2;
  EXPECT_EQ(quotas.Take(Desk(), "doors", 1, kNow), Millis(200));
  EXPECT_FALSE(quotas.Take(Desk(), "doors", 1, kNow + Millis(200)));
  EXPECT_FALSE(quotas.Take(Desk(), "no team", 1000, kNow));
}

TEST(QuotaController, NeverExceedsTheQuotaWithManyThreads)
{
  QuotaController quotas([] { return 1U; });
  const ServiceSchema desk = Desk();
  std::atomic<int> granted{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 30; ++i) {
        granted += quotas.Take(desk, "doors", 1, kNow) ? 0 : 1;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(granted, 60);
}

TEST(QuotaController, KeepsUsedQuotaWhilePruning)
{
  QuotaController quotas([] { return 1U; });
  EXPECT_FALSE(quotas.Take(Desk(), "doors", 60, kNow));
  quotas.Prune(kNow + Millis(1));
  EXPECT_TRUE(quotas.Take(Desk(), "doors", 60, kNow + Millis(1)));
  quotas.Prune(kNow + std::chrono::minutes(1));
  EXPECT_FALSE(
    quotas.Take(Desk(), "doors", 60, kNow + std::chrono::minutes(1)));
}

} // namespace
} // namespace cornelfront
