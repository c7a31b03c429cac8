/// \file
/// What a sidecar may start while an order without an answer may still be
/// carried out at its upstream, and under which number.

#include "cornelfront/late_order_ledger.h"
#include "policy/run_table_fixture_test.h"

namespace cornelfront::run_table_test {
namespace {

/// A process that has just been started, beside an upstream of which it knows a
/// heartbeat only.
class FreshProcessTest : public testing::Test
{
protected:
  FreshProcessTest()
  {
    table_.OnUpstream(Upstream(), At(0));
    table_.OnOwnerLinked(kOwner, At(0));
    table_.OnOrders(kOwner, Orders(1), At(0));
  }

  RunTable table_{ RunTableOptions{} };
};

// An order of its predecessor may begin the same task.
TEST_F(FreshProcessTest, NothingStartsBeforeTheUpstreamHasToldWhatRuns)
{
  EXPECT_TRUE(table_.TakeStarts(At(1)).empty());
  EXPECT_FALSE(table_.MakeUpstreamReport(At(1)).ready_);
  const uint64_t poll = table_.BeginPoll();
  ASSERT_TRUE(table_.OnPollResult(poll, {}, At(2)));
  EXPECT_TRUE(table_.MakeUpstreamReport(At(2)).ready_);
  EXPECT_EQ(table_.TakeStarts(At(2)).size(), 1U);
}

// A restart makes orders of before good again; under two numbers they would
// make two runs.
class LateOrderNumberTest : public RunTableTest
{
protected:
  static constexpr int kVoidMs = 300;

  /// Run 0 has been sent as often as it is repeated, without an answer.
  LateOrderNumberTest()
  {
    table_.OnOrders(kOwner, Orders(1), At(1));
    for (int ms = 1; !table_.TakeStarts(At(ms)).empty(); ++ms) {
      table_.OnStartAnswer(
        Key(0), StartAnswer::Unknown, { Millis(ms + 250) }, At(ms));
      Poll({}, ms);
    }
  }

  /// The upstream's clock has passed the deadlines of all orders.
  void PassDeadlines()
  {
    Wait(10, kVoidMs);
    Poll({ .clock_ = { Millis(kVoidMs) } }, kVoidMs);
  }

  /// Orders the next run of the task.
  std::vector<StartRequest> OrderAgain(uint32_t aRun, int aMs)
  {
    StartRuns orders = Orders(1);
    orders.runs_ = { { 0, aRun } };
    table_.OnOrders(kOwner, orders, At(aMs));
    return table_.TakeStarts(At(aMs));
  }

  LateOrderState LateState(int aMs) const
  {
    return table_.KnownLateOrders(At(aMs)).orders_.at(0).state_;
  }
};

TEST_F(LateOrderNumberTest, ARunThatIsReturnedMayStartOnlyHereUnderItsNumber)
{
  PassDeadlines();
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::NotStarted);
  const LateOrder order = table_.KnownLateOrders(At(kVoidMs)).orders_.at(0);
  EXPECT_EQ(order.state_, LateOrderState::OnlyHere);
  EXPECT_EQ(order.upstreamNumber_, 1U);
}

TEST_F(LateOrderNumberTest, TheNextRunOfTheTaskTakesTheNumberOfTheLateOrder)
{
  PassDeadlines();
  const auto starts = OrderAgain(2, kVoidMs);
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].key_, Key(0, 2));
  EXPECT_EQ(starts[0].upstreamRunNumber_, 1U);
  table_.OnStartAnswer(Key(0, 2), StartAnswer::Started, {}, At(kVoidMs + 1));
  Poll({ .running_ = { { Key(0, 1) } } }, kVoidMs + 10);
  EXPECT_FALSE(table_.HasOrphans());
}

TEST_F(LateOrderNumberTest, ATaskIsHeldIfTheNumberOfItsLateOrderIsUsedUp)
{
  Poll({ .ended_ = { { 1, Key(0), RunEnd::Failed } } }, 20);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Failed);
  EXPECT_EQ(LateState(20), LateOrderState::Held);
  EXPECT_TRUE(OrderAgain(2, 21).empty());
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
  Wait(30, 12050);
  Poll({ .clock_ = { Millis(12050) } }, 12050);
  const auto starts = OrderAgain(2, 12051);
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].upstreamRunNumber_, 2U);
}

// Its owner knows of an order of an earlier process under another number.
TEST_F(LateOrderNumberTest, ATaskWithLateOrdersUnderTwoNumbersIsReturned)
{
  PassDeadlines();
  Reports();
  StartRuns orders = Orders(1);
  orders.runs_ = { { .index_ = 0, .run_ = 6, .upstreamNumber_ = 5 } };
  table_.OnOrders(kOwner, orders, At(kVoidMs));
  EXPECT_TRUE(table_.TakeStarts(At(kVoidMs)).empty());
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

// A stop that had no answer, or an order of an earlier process, has used it up.
TEST_F(LateOrderNumberTest, ATaskIsHeldIfTheUpstreamRefusesTheNumber)
{
  PassDeadlines();
  Reports();
  ASSERT_EQ(OrderAgain(2, kVoidMs).size(), 1U);
  const int refusedMs = kVoidMs + 1;
  table_.OnStartAnswer(
    Key(0, 2), StartAnswer::RunNumberUsed, {}, At(refusedMs));
  EXPECT_TRUE(table_.TakeStarts(At(refusedMs)).empty());
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
  EXPECT_EQ(LateState(refusedMs), LateOrderState::Held);
}

// The next incarnation knows no number.
TEST_F(LateOrderNumberTest, ARestartMakesTheNumberGoodAgain)
{
  Poll({ .ended_ = { { 1, Key(0), RunEnd::Failed } } }, 20);
  table_.OnUpstream(Upstream(2), At(30));
  Poll({ .clock_ = { Millis(5) } }, 35);
  EXPECT_EQ(LateState(35), LateOrderState::OnlyHere);
  const auto starts = OrderAgain(2, 36);
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].upstreamRunNumber_, 1U);
}

// Its owner knows the number of an order that a killed process left.
using FreshAnswerTest = RunTableTest;

// An order that reaches an upstream while it is down may be carried out at its
// next start, when all who know of it may be gone.
TEST_F(FreshAnswerTest, NoOrderGoesToAnUpstreamThatHasBeenQuiet)
{
  table_.OnOrders(kOwner, Orders(1), At(101));
  EXPECT_TRUE(table_.AwaitsAnswer(At(101)));
  EXPECT_TRUE(table_.TakeStarts(At(101)).empty());
  EXPECT_TRUE(Reports().empty()) << "it waits for a poll";
  Poll({}, 102);
  EXPECT_EQ(table_.TakeStarts(At(102)).size(), 1U);
  EXPECT_FALSE(table_.AwaitsAnswer(At(102)));
}

// The upstream may have crashed since it sent the answer.
TEST_F(FreshAnswerTest, AnAnswerThatWaitedWhileTheProcessStoodStillIsNotFresh)
{
  const uint64_t waited = table_.BeginPoll();
  table_.OnOwnerHeard(kOwner, At(300));
  table_.OnOrders(kOwner, Orders(1), At(300));
  table_.OnPollResult(waited, {}, At(300));
  EXPECT_TRUE(table_.TakeStarts(At(300)).empty());
  EXPECT_TRUE(table_.AwaitsAnswer(At(300)));
  Poll({}, 302);
  EXPECT_EQ(table_.TakeStarts(At(302)).size(), 1U);
}

TEST_F(FreshAnswerTest, AnOrderIsRepeatedOnlyAfterAnAnswerToALaterPoll)
{
  table_.OnOrders(kOwner, Orders(1), At(1));
  const uint64_t earlier = table_.BeginPoll();
  ASSERT_EQ(table_.TakeStarts(At(1)).size(), 1U);
  table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(251) }, At(20));
  EXPECT_TRUE(table_.AwaitsAnswer(At(20)));
  table_.OnPollResult(earlier, {}, At(21));
  EXPECT_TRUE(table_.TakeStarts(At(21)).empty());
  Poll({}, 22);
  EXPECT_EQ(table_.TakeStarts(At(22)).size(), 1U);
}

TEST_F(FreshAnswerTest, AnOrderForFreeResourcesLeavesASuspectUpstream)
{
  StartRuns orders = Orders(1);
  orders.runs_ = { { .index_ = 0, .run_ = 1, .onlyIfFree_ = true } };
  Tick(50, 600);
  table_.OnOwnerHeard(kOwner, At(601));
  table_.OnOrders(kOwner, orders, At(601));
  EXPECT_TRUE(table_.TakeStarts(At(601)).empty());
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

using FixedNumberTest = RunTableTest;

TEST_F(FixedNumberTest, ARunWhoseNumberIsFixedIsReturnedInsteadOfRenumbered)
{
  StartRuns orders = Orders(1);
  orders.runs_ = { { .index_ = 0, .run_ = 2, .upstreamNumber_ = 1 } };
  table_.OnOrders(kOwner, orders, At(1));
  const auto starts = table_.TakeStarts(At(1));
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].upstreamRunNumber_, 1U);
  table_.OnStartAnswer(Key(0, 2), StartAnswer::RunNumberUsed, {}, At(2));
  EXPECT_TRUE(table_.TakeStarts(At(2)).empty());
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

/// The upstream has refused the number of a run, and the owner knows what the
/// sidecar told it before the next order.
class OtherNumberTest : public RunTableTest
{
protected:
  OtherNumberTest()
  {
    table_.OnOrders(kOwner, Orders(1), At(1));
    EXPECT_EQ(table_.TakeStarts(At(1)).size(), 1U);
    Tell(2);
    table_.OnStartAnswer(Key(0), StartAnswer::RunNumberUsed, {}, At(2));
    Tell(2);
    EXPECT_GT(table_.TakeStarts(At(2)).at(0).upstreamRunNumber_, 1U);
  }

  void Tell(int aMs)
  {
    ledger_.Record(kSidecar, table_.TakeLateOrders(At(aMs)), At(aMs));
  }

  StartLimit::Where Where() const
  {
    return ledger_.LimitOf(Key(0).task_).where_;
  }

  static constexpr MemberId kSidecar{ 7 };
  LateOrderLedger ledger_;
};

// Its owner knew only the first one, and the next process sent that.
TEST_F(OtherNumberTest, ASidecarThatIsKilledBeforeTheAnswerLeavesTheTaskHeld)
{
  constexpr MemberId kNext{ 8 };
  ledger_.OnReplaced(kSidecar, kNext);
  ledger_.RecordLost(
    kNext,
    { .task_ = Key(0).task_, .upstreamNumber_ = 1, .replaced_ = true },
    At(12000));
  EXPECT_EQ(Where(), StartLimit::Where::Nowhere);
}

// It adopts the run under the number that its owner gave it.
TEST_F(OtherNumberTest, ALeaderThatLinksLaterKnowsTheOrder)
{
  const LateOrders known = table_.KnownLateOrders(At(3));
  ASSERT_EQ(known.orders_.size(), 1U);
  EXPECT_GT(known.orders_[0].upstreamNumber_, 1U);
  EXPECT_EQ(known.orders_[0].state_, LateOrderState::Held);
}

TEST_F(OtherNumberTest, AnAnswerEndsTheHold)
{
  table_.OnStartAnswer(Key(0), StartAnswer::Started, {}, At(3));
  Tell(3);
  EXPECT_EQ(Where(), StartLimit::Where::Anywhere);
}

TEST_F(OtherNumberTest, AStartThatIsRefusedEndsTheHold)
{
  table_.OnStartAnswer(Key(0), StartAnswer::Refused, {}, At(3));
  Tell(3);
  EXPECT_EQ(Where(), StartLimit::Where::Anywhere);
}

} // namespace
} // namespace cornelfront::run_table_test
