#include "cornelfront/backoff.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const MonoTime kStart{ std::chrono::seconds(100) };

BackoffOptions
WithoutJitter()
{
  return { .initial_ = Millis(1), .max_ = Millis(200), .jitter_ = 0.0 };
}

TEST(Backoff, DoublesUpToTheMaximum)
{
  Backoff backoff(WithoutJitter());
  for (const int expected : { 1, 2, 4, 8, 16, 32, 64, 128, 200, 200 }) {
    EXPECT_EQ(backoff.OnFailure(kStart, kStart), Millis(expected));
  }
}

TEST(Backoff, ASuccessStartsAgain)
{
  Backoff backoff(WithoutJitter());
  backoff.OnFailure(kStart, kStart);
  backoff.OnFailure(kStart, kStart);
  backoff.Reset();
  EXPECT_EQ(backoff.OnFailure(kStart, kStart), Millis(1));
}

TEST(Backoff, CountsFromTheStartOfTheAttempt)
{
  Backoff backoff({ .initial_ = Millis(100), .jitter_ = 0.0 });
  EXPECT_EQ(backoff.OnFailure(kStart, kStart + Millis(30)), Millis(70));
  EXPECT_EQ(backoff.OnFailure(kStart, kStart + Millis(600)), Millis(0));
}

TEST(Backoff, JitterStaysWithinItsShare)
{
  Backoff backoff({ .initial_ = Millis(1000),
                    .max_ = Millis(1000),
                    .jitter_ = 0.3,
                    .seed_ = 1 });
  Millis least{ 1000 };
  Millis most{ 0 };
  for (int i = 0; i < 200; ++i) {
    const Millis delay = backoff.OnFailure(kStart, kStart);
    least = std::min(least, delay);
    most = std::max(most, delay);
  }
  EXPECT_GE(least, Millis(700));
  EXPECT_LE(most, Millis(1000));
  EXPECT_LT(least, most - Millis(100)) << "all processes retry together";
}

// An upstream that resets each connection for five seconds: with a poll each
// millisecond this cost about 2,000 connections.
TEST(Backoff, BoundsTheAttemptsAgainstAnUpstreamThatResetsConnections)
{
  Backoff backoff({ .initial_ = Millis(1), .max_ = Millis(200), .seed_ = 1 });
  int attempts = 0;
  for (MonoTime now = kStart; now < kStart + std::chrono::seconds(5);
       ++attempts) {
    now += std::max(backoff.OnFailure(now, now), Millis(1));
  }
  EXPECT_LE(attempts, 50);
}

} // namespace
} // namespace cornelfront
