#include "cornelfront/standstill.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

MonoTime
At(int64_t aMs)
{
  return MonoTime(Millis(aMs));
}

TEST(Standstill, WhatIsNoticedInOrdinaryTimesIsNew)
{
  Standstill standstill;
  EXPECT_EQ(standstill.OnCall(At(5000)), Millis(0));
  EXPECT_EQ(standstill.OnCall(At(5075)), Millis(75));
  EXPECT_EQ(standstill.AgeOfNews(), Millis(0));
}

TEST(Standstill, WhatIsNoticedSoonAfterItIsAsOldAsItsBegin)
{
  Standstill standstill;
  standstill.OnCall(At(5000));
  EXPECT_EQ(standstill.OnCall(At(5300)), Millis(300));
  EXPECT_EQ(standstill.AgeOfNews(), Millis(300));
  standstill.OnCall(At(5350));
  EXPECT_EQ(standstill.AgeOfNews(), Millis(350));
  for (int64_t time = 5400; time <= 5550; time += 50) {
    standstill.OnCall(At(time));
  }
  EXPECT_EQ(standstill.AgeOfNews(), Millis(0));
}

// A process that has stood still often has little time to catch up.
TEST(Standstill, AShortOneDoesNotHideALongOneBeforeIt)
{
  Standstill standstill;
  standstill.OnCall(At(5000));
  standstill.OnCall(At(5500));
  standstill.OnCall(At(5580));
  EXPECT_EQ(standstill.AgeOfNews(), Millis(580));
}

TEST(Standstill, ALongOneRightAfterItDoesNotHideOneEither)
{
  Standstill standstill;
  standstill.OnCall(At(0));
  standstill.OnCall(At(500));
  standstill.OnCall(At(510));
  standstill.OnCall(At(1000));
  EXPECT_EQ(standstill.AgeOfNews(), Millis(1000));
}

TEST(Standstill, ATimeBeforeTheLastCallIsTakenForThatOfTheLastCall)
{
  Standstill standstill;
  standstill.OnCall(At(5000));
  EXPECT_EQ(standstill.OnCall(At(4000)), Millis(0));
  EXPECT_EQ(standstill.LastCall(), At(5000));
}

} // namespace
} // namespace cornelfront
