#include "cornelfront/predecessor.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

/// A lease of 1,000 ms, 31 ms on a slow clock, and lapseDelay_.
constexpr Millis kLongestLease{ 1000 + 31 + 100 };

bool
HaveEnded(const PredecessorView& aView)
{
  return HavePredecessorRunsEnded(aView, RunTableOptions{});
}

TEST(PredecessorTest, AnUpstreamWithoutAnAnswerIsWaitedForUntilItsLeaseIsOver)
{
  EXPECT_FALSE(HaveEnded({ .age_ = kLongestLease }));
  EXPECT_TRUE(HaveEnded({ .age_ = kLongestLease + Millis(1) }));
}

TEST(PredecessorTest, RunsThatAreListedHaveNotEnded)
{
  EXPECT_FALSE(HaveEnded(
    { .age_ = Millis(60000), .answered_ = true, .hasOrphans_ = true }));
}

TEST(PredecessorTest, AnAnswerWithoutRunsCountsOnceTheOrdersAreVoid)
{
  EXPECT_FALSE(HaveEnded({ .age_ = Millis(299), .answered_ = true }));
  EXPECT_TRUE(HaveEnded({ .age_ = Millis(300), .answered_ = true }));
}

} // namespace
} // namespace cornelfront
