#include "cornelfront/late_order_ledger.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

using Where = StartLimit::Where;

constexpr MemberId kSidecar{ 1 };
constexpr MemberId kOther{ 2 };
constexpr MemberId kReplacement{ 3 };
const JobTaskId kTask{ "a", 0, 0, 1 };
const JobTaskId kSecond{ "a", 0, 0, 2 };

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

/// Number of the orders.
constexpr uint32_t kNumber = 5;

LateOrders
List(const JobTaskId& aTask,
     LateOrderState aState,
     bool aAll = false,
     uint32_t aNumber = kNumber)
{
  return { .all_ = aAll,
           .orders_ = { { aTask, aState, Millis(1000), aNumber } } };
}

class LateOrderLedgerTest : public testing::Test
{
protected:
  Where WhereOf(const JobTaskId& aTask) const
  {
    return ledger_.LimitOf(aTask).where_;
  }

  LateOrderLedger ledger_;
};

TEST_F(LateOrderLedgerTest, AWholeListReplacesTheEarlierOneOfItsSidecar)
{
  EXPECT_EQ(WhereOf(kTask), Where::Anywhere);
  ledger_.Record(kSidecar, List(kTask, LateOrderState::Held), At(0));
  EXPECT_EQ(WhereOf(kTask), Where::Nowhere);
  const std::vector<JobTaskId> changed{ kTask, kSecond };
  EXPECT_EQ(
    ledger_.Record(kSidecar, List(kSecond, LateOrderState::Held, true), At(1)),
    changed);
  EXPECT_EQ(WhereOf(kTask), Where::Anywhere);
  EXPECT_EQ(WhereOf(kSecond), Where::Nowhere);
  ledger_.Record(kSidecar, List(kSecond, LateOrderState::Settled), At(2));
  EXPECT_EQ(WhereOf(kSecond), Where::Anywhere);
  EXPECT_EQ(ledger_.Size(), 0U);
}

TEST_F(LateOrderLedgerTest, ATaskStartsWhereItsOrderIsLateOrNotAtAll)
{
  ledger_.Record(kSidecar, List(kTask, LateOrderState::OnlyHere), At(0));
  EXPECT_EQ(WhereOf(kTask), Where::OnlyAt);
  EXPECT_EQ(ledger_.LimitOf(kTask).sidecar_, kSidecar);
  ledger_.Record(kOther, List(kTask, LateOrderState::OnlyHere), At(1));
  EXPECT_EQ(WhereOf(kTask), Where::Nowhere) << "each upstream may begin it";
  ledger_.Record(kSidecar, List(kTask, LateOrderState::Settled), At(2));
  EXPECT_EQ(ledger_.LimitOf(kTask).sidecar_, kOther);
}

TEST_F(LateOrderLedgerTest, AnOrderCountsForItsTimeOnly)
{
  ledger_.Record(kSidecar, List(kTask, LateOrderState::Held), At(0));
  EXPECT_TRUE(ledger_.Expire(At(1000)).empty());
  EXPECT_EQ(WhereOf(kTask), Where::Nowhere);
  EXPECT_EQ(ledger_.Expire(At(1001)), std::vector<JobTaskId>{ kTask });
  EXPECT_EQ(WhereOf(kTask), Where::Anywhere);
}

TEST_F(LateOrderLedgerTest, ALostRunKeepsItsTaskUntilTheSidecarTells)
{
  ledger_.RecordLost(kSidecar, { kTask, kNumber }, At(1000));
  EXPECT_EQ(ledger_.LimitOf(kTask).sidecar_, kSidecar);
  EXPECT_EQ(ledger_.LimitOf(kTask).upstreamNumber_, kNumber);
  ledger_.Record(kSidecar, { .all_ = true }, At(10));
  EXPECT_EQ(WhereOf(kTask), Where::Anywhere);
}

TEST_F(LateOrderLedgerTest, AReplacementKeepsWhatItsPredecessorLeft)
{
  ledger_.RecordLost(kSidecar, { kTask, kNumber }, At(1000));
  ledger_.Record(kSidecar, List(kSecond, LateOrderState::Held), At(0));
  ledger_.OnReplaced(kSidecar, kReplacement);
  ledger_.Record(kReplacement, { .all_ = true }, At(10));
  EXPECT_EQ(ledger_.LimitOf(kTask).sidecar_, kReplacement);
  EXPECT_EQ(ledger_.LimitOf(kSecond).sidecar_, kReplacement);
  EXPECT_EQ(ledger_.LimitOf(kSecond).upstreamNumber_, kNumber);
  ledger_.Expire(At(1001));
  EXPECT_EQ(ledger_.Size(), 0U);
}

// Each of them would make a run of its own.
TEST_F(LateOrderLedgerTest, ATaskWithOrdersUnderTwoNumbersStartsNowhere)
{
  ledger_.RecordLost(kSidecar, { kTask, kNumber, true }, At(1000));
  ledger_.Record(
    kSidecar, List(kTask, LateOrderState::OnlyHere, true, kNumber), At(0));
  EXPECT_EQ(WhereOf(kTask), Where::OnlyAt);
  ledger_.Record(
    kSidecar, List(kTask, LateOrderState::OnlyHere, true, kNumber + 1), At(1));
  EXPECT_EQ(WhereOf(kTask), Where::Nowhere);
}

} // namespace
} // namespace cornelfront
