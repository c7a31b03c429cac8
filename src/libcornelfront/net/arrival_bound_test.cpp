#include "net/arrival_bound.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr int kKept = 5;
constexpr int kNew = 6;

MonoTime
At(int64_t aMs)
{
  return MonoTime(Millis(aMs));
}

class ArrivalBoundTest : public testing::Test
{
protected:
  void Look(int64_t aMs, bool aLeft = false, bool aListenerEmpty = true)
  {
    bound_.BeginLook(At(aMs));
    bound_.EndLook(aLeft, aListenerEmpty);
  }

  void LookAndAccept(int64_t aMs, bool aListenerEmpty = true)
  {
    bound_.BeginLook(At(aMs));
    bound_.OnAccept(kNew);
    bound_.EndLook(false, aListenerEmpty);
  }

  ArrivalBound bound_{ At(1000) };
};

TEST_F(ArrivalBoundTest, WhatALookFindsArrivedAfterTheLookBefore)
{
  Look(1100);
  bound_.BeginLook(At(4100));
  EXPECT_EQ(bound_.ArrivedAfter(kKept), At(1100));
  bound_.EndLook(false, true);
  EXPECT_EQ(bound_.ArrivedAfter(kKept), At(4100));
}

TEST_F(ArrivalBoundTest, ALookThatLeavesSomethingUnreadProvesNothing)
{
  Look(1100);
  Look(1200, true);
  EXPECT_EQ(bound_.ArrivedAfter(kKept), At(1100));
}

// What it holds may have waited with it.
TEST_F(ArrivalBoundTest, ANewConnectionCameAfterTheLookThatLeftNoneUnaccepted)
{
  Look(1100);
  LookAndAccept(4100);
  bound_.BeginLook(At(4101));
  EXPECT_EQ(bound_.ArrivedAfter(kNew), At(1100));
  EXPECT_EQ(bound_.ArrivedAfter(kKept), At(4100));
  bound_.EndLook(false, true);
  EXPECT_EQ(bound_.ArrivedAfter(kNew), At(4101));
}

TEST_F(ArrivalBoundTest, ConnectionsThatCanNotBeAcceptedWait)
{
  Look(1100);
  Look(1200, false, false);
  Look(1300, false, false);
  LookAndAccept(1400);
  EXPECT_EQ(bound_.ArrivedAfter(kNew), At(1100));
}

TEST_F(ArrivalBoundTest, ABusyServerKnowsThatRequestsAreNew)
{
  for (int64_t time = 1100; time < 2000; time += 10) {
    LookAndAccept(time);
  }
  EXPECT_EQ(bound_.ArrivedAfter(kKept), At(1990));
  EXPECT_EQ(bound_.ArrivedAfter(kNew), At(1980));
}

} // namespace
} // namespace cornelfront
