#include "cornelfront/transit_bound.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

using std::chrono::nanoseconds;

/// The sender's clock is behind that of the receiver by this.
constexpr Millis kOffset{ 5000 };

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

/// Times of a message sent at \p aSentMs, with an echo of \p aEchoMs; both on
/// the receiver's clock.
MessageTimes
Times(int aSentMs, int aEchoMs)
{
  return { .stamp_ = At(aSentMs).time_since_epoch() - kOffset,
           .echo_ = At(aEchoMs).time_since_epoch() };
}

TEST(TransitBoundTest, TheFirstMessageIsBoundedByItsEcho)
{
  TransitBound transit;
  EXPECT_EQ(transit.Measure(Times(10, 2), At(12)), Millis(10));
}

TEST(TransitBoundTest, AQuickExchangeBoundsLaterMessagesWithOldEchoes)
{
  TransitBound transit;
  transit.Measure(Times(10, 7), At(12));
  // Sent at 400 and received at 410, while nothing of ours had arrived there.
  EXPECT_EQ(transit.Measure(Times(400, 7), At(410)), Millis(13));
}

TEST(TransitBoundTest, AMessageHeldUpByACutIsKnownToBeOld)
{
  TransitBound transit;
  transit.Measure(Times(10, 8), At(12));
  const auto bound = transit.Measure(Times(100, 8), At(900));
  ASSERT_TRUE(bound);
  EXPECT_GE(*bound, Millis(800)) << "never less than it was";
  EXPECT_LE(*bound, Millis(802));
}

TEST(TransitBoundTest, FiguresOlderThanTwoWindowsDoNotCount)
{
  TransitBound transit;
  transit.Measure(Times(10, 9), At(11));
  EXPECT_EQ(transit.Measure(Times(15000, 14900), At(15001)), Millis(2));
  EXPECT_EQ(transit.Measure(Times(60000, 59900), At(60001)), Millis(101));
}

TEST(TransitBoundTest, WithoutAnEchoNothingIsKnown)
{
  TransitBound transit;
  MessageTimes times = Times(10, 2);
  times.echo_ = nanoseconds(0);
  EXPECT_FALSE(transit.Measure(times, At(12)));
}

TEST(TransitBoundTest, ImpossibleTimesChangeNothing)
{
  TransitBound transit;
  transit.Measure(Times(10, 7), At(12));
  for (const nanoseconds stamp :
       { nanoseconds::min(), nanoseconds(-1), nanoseconds::max() }) {
    EXPECT_FALSE(transit.Measure({ .stamp_ = stamp, .echo_ = stamp }, At(13)));
  }
  // An echo of a time that has not come yet.
  transit.Measure(Times(20, 100000), At(22));
  EXPECT_EQ(transit.Measure(Times(400, 7), At(410)), Millis(13));
}

} // namespace
} // namespace cornelfront
