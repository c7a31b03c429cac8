#include "cornelfront/predecessor.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

/// A lease of 1,000 ms, 31 ms on a slow clock, and lapseDelay_.
constexpr Millis kLongestLease{ 1000 + 31 + 100 };
/// 250 ms, and 8 ms on a slow clock that was read 100 ms before.
constexpr Millis kOrderTimeout{ 250 + 8 };

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
    { .age_ = Millis(60000), .polledAt_ = Millis(300), .hasOrphans_ = true }));
}

TEST(PredecessorTest, AnAnswerCountsIfItsPollWasSentOnceTheOrdersWereVoid)
{
  const Millis old{ 60000 };
  const Millis age{ 350 };
  EXPECT_FALSE(
    HaveEnded({ .age_ = age, .polledAt_ = Millis(5), .upstreamAge_ = old }));
  EXPECT_FALSE(HaveEnded(
    { .age_ = age, .polledAt_ = kOrderTimeout, .upstreamAge_ = old }));
  EXPECT_TRUE(HaveEnded({ .age_ = age,
                          .polledAt_ = kOrderTimeout + Millis(2),
                          .upstreamAge_ = old }));
}

// The predecessor may have extended the lease of an earlier one, which lives
// on, until it learned of this one or was killed.
TEST(PredecessorTest, AnAnswerOfAYoungIncarnationProvesNothingOfAnEarlierOne)
{
  const Millis age{ 400 };
  const Millis oldEnough = age + RunTableOptions{}.leaseExpiry_;
  EXPECT_FALSE(HaveEnded(
    { .age_ = age, .polledAt_ = Millis(300), .upstreamAge_ = Millis(100) }));
  EXPECT_FALSE(HaveEnded(
    { .age_ = age, .polledAt_ = Millis(300), .upstreamAge_ = oldEnough }));
  EXPECT_TRUE(HaveEnded({ .age_ = age,
                          .polledAt_ = Millis(300),
                          .upstreamAge_ = oldEnough + Millis(1) }));
  EXPECT_FALSE(HaveEnded({ .age_ = age, .polledAt_ = Millis(300) }));
  EXPECT_TRUE(HaveEnded({ .age_ = kLongestLease + Millis(1),
                          .polledAt_ = Millis(300),
                          .upstreamAge_ = Millis(100) }));
}

TEST(PredecessorTest, TheAgeOfAnUpstreamIsTheLowerOfItsClockAndTheTimeOfDay)
{
  const UpstreamTime clock{ Millis(5000) };
  EXPECT_EQ(UpstreamAge(1000, clock, Millis(7000)), Millis(5000));
  EXPECT_EQ(UpstreamAge(1000, clock, Millis(1300)), Millis(300));
  EXPECT_EQ(UpstreamAge(0, clock, Millis(7000)), std::nullopt);
}

} // namespace
} // namespace cornelfront
