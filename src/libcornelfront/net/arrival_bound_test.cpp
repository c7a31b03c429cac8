#include "net/arrival_bound.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

MonoTime
At(int64_t aMs)
{
  return MonoTime(Millis(aMs));
}

class ArrivalBoundTest : public testing::Test
{
protected:
  void Look(int64_t aMs, bool aAccepts, bool aLeft)
  {
    bound_.BeginLook(At(aMs));
    if (aAccepts) {
      bound_.OnAccept();
    }
    bound_.EndLook(aLeft);
  }

  ArrivalBound bound_{ At(1000) };
};

TEST_F(ArrivalBoundTest, WhatALookFindsArrivedAfterTheLookBefore)
{
  Look(1100, false, false);
  bound_.BeginLook(At(4100));
  EXPECT_EQ(bound_.ArrivedAfter(), At(1100));
  bound_.EndLook(false);
  EXPECT_EQ(bound_.ArrivedAfter(), At(4100));
}

TEST_F(ArrivalBoundTest, ALookThatLeavesSomethingUnreadProvesNothing)
{
  Look(1100, false, false);
  Look(1200, false, true);
  EXPECT_EQ(bound_.ArrivedAfter(), At(1100));
}

// What a new connection holds is read by the look after the one that accepts.
TEST_F(ArrivalBoundTest, ALookThatAcceptsAConnectionProvesNothing)
{
  Look(1100, true, false);
  EXPECT_EQ(bound_.ArrivedAfter(), At(1000));
  Look(1200, false, false);
  EXPECT_EQ(bound_.ArrivedAfter(), At(1200));
}

} // namespace
} // namespace cornelfront
