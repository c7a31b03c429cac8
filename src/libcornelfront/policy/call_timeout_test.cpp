#include "cornelfront/call_timeout.h"

#include <gtest/gtest.h>

#include <random>

namespace cornelfront {
namespace {

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

/// Makes calls one after the other, of which a share has no answer, and returns
/// the mean timeout.
double
MeanTimeout(double aLost, Millis aAnswer, int aCalls)
{
  CallTimeout timeout{ CallTimeoutOptions{} };
  std::mt19937_64 random(1);
  std::bernoulli_distribution lost(aLost);
  MonoTime now = At(0);
  double sum = 0.0;
  for (int i = 0; i < aCalls; ++i) {
    const MonoTime sent = now;
    const Millis limit = timeout.Current(now);
    sum += static_cast<double>(limit.count());
    if (lost(random) || aAnswer > limit) {
      now += limit;
      timeout.OnNoAnswer(sent, now);
    } else {
      now += aAnswer;
      timeout.OnAnswer(aAnswer);
    }
  }
  return sum / aCalls;
}

TEST(CallTimeoutTest, AShareOfLostCallsKeepsTheTimeoutShort)
{
  constexpr int kCalls = 5000;
  constexpr Millis kAnswer{ 2 };
  EXPECT_EQ(MeanTimeout(0.0, kAnswer, kCalls), 20.0);
  for (const double lost : { 0.02, 0.05, 0.1, 0.15, 0.3 }) {
    EXPECT_LT(MeanTimeout(lost, kAnswer, kCalls), 30.0) << lost;
  }
}

TEST(CallTimeoutTest, ASlowUpstreamGetsTheTimeThatItNeeds)
{
  CallTimeout timeout{ CallTimeoutOptions{} };
  for (int i = 0; i < 50; ++i) {
    timeout.OnAnswer(Millis(2));
  }
  ASSERT_EQ(timeout.Current(At(0)), Millis(20));
  constexpr Millis kSlow{ 100 };
  MonoTime now = At(0);
  int unanswered = 0;
  for (int i = 0; i < 40; ++i) {
    const MonoTime sent = now;
    if (kSlow > timeout.Current(now)) {
      now += timeout.Current(now);
      timeout.OnNoAnswer(sent, now);
      ++unanswered;
    } else {
      now += kSlow;
      timeout.OnAnswer(kSlow);
    }
  }
  EXPECT_LE(unanswered, 6) << "doubled from 10 ms until 100 ms fit";
}

TEST(CallTimeoutTest, CallsThatWereLostTogetherDoubleItOnce)
{
  CallTimeout timeout{ CallTimeoutOptions{} };
  for (int i = 0; i < 8; ++i) {
    timeout.OnNoAnswer(At(0), At(20 + i));
  }
  EXPECT_EQ(timeout.Current(At(30)), Millis(20)) << "doubled from 10";
  timeout.OnNoAnswer(At(30), At(70));
  EXPECT_EQ(timeout.Current(At(70)), Millis(40)) << "still in a row";
  timeout.OnAnswer(Millis(1));
  EXPECT_EQ(timeout.Current(At(80)), Millis(10));
  EXPECT_EQ(timeout.Current(At(3070)), Millis(20)) << "no loss for 3 s";
}

TEST(CallTimeoutTest, StaysWithinItsBounds)
{
  CallTimeout timeout{ CallTimeoutOptions{} };
  for (int i = 0; i < 100; ++i) {
    timeout.OnNoAnswer(At(1000 * i), At(1000 * i + 500));
  }
  EXPECT_EQ(timeout.Current(At(99500)), Millis(320));
  // A clock that jumps, and a wait that was cut short.
  for (const Millis time : { Millis::max(), Millis(-5), Millis::min() }) {
    timeout.OnAnswer(time);
    EXPECT_GE(timeout.Current(At(99500)), Millis(10));
    EXPECT_LE(timeout.Current(At(99500)), Millis(320));
  }
}

} // namespace
} // namespace cornelfront
