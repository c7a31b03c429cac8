#include "cornelfront/late_order_ledger.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MemberId kSidecar{ 1 };
constexpr MemberId kOther{ 2 };
constexpr Millis kRetention{ 1000 };
const JobTaskId kTask{ "a", 0, 0, 1 };
const JobTaskId kSecond{ "a", 0, 0, 2 };

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

class LateOrderLedgerTest : public testing::Test
{
protected:
  LateOrderLedger ledger_{ kRetention };
};

TEST_F(LateOrderLedgerTest, AListReplacesTheEarlierOneOfItsSidecar)
{
  EXPECT_TRUE(ledger_.Record(kSidecar, { { kTask } }, At(0)).empty());
  EXPECT_TRUE(ledger_.Contains(kTask));
  EXPECT_EQ(ledger_.Record(kSidecar, { { kSecond } }, At(1)),
            std::vector<JobTaskId>{ kTask });
  EXPECT_FALSE(ledger_.Contains(kTask));
  EXPECT_TRUE(ledger_.Contains(kSecond));
  EXPECT_EQ(ledger_.Record(kSidecar, {}, At(2)),
            std::vector<JobTaskId>{ kSecond });
  EXPECT_EQ(ledger_.Size(), 0U);
}

TEST_F(LateOrderLedgerTest, ATaskIsListedWhileAnySidecarListsIt)
{
  ledger_.Record(kSidecar, { { kTask } }, At(0));
  ledger_.Record(kOther, { { kTask } }, At(1));
  EXPECT_TRUE(ledger_.Record(kSidecar, {}, At(2)).empty());
  EXPECT_TRUE(ledger_.Contains(kTask));
}

TEST_F(LateOrderLedgerTest, AListOutlivesItsSidecarForALimitedTime)
{
  ledger_.Record(kSidecar, { { kTask } }, At(0));
  EXPECT_TRUE(ledger_.Expire(At(1000)).empty());
  EXPECT_TRUE(ledger_.Contains(kTask));
  EXPECT_EQ(ledger_.Expire(At(1001)), std::vector<JobTaskId>{ kTask });
  EXPECT_FALSE(ledger_.Contains(kTask));
}

} // namespace
} // namespace cornelfront
