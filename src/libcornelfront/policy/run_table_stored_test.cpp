/// \file
/// Runs of stored jobs, their ends, and the leader that they wait for.

#include "policy/run_table_fixture_test.h"

#include <algorithm>
#include <optional>

namespace cornelfront::run_table_test {
namespace {

class StoredRunsTest : public RunTableTest
{
protected:
  StoredRunsTest()
  {
    table_.SetRegistered();
    table_.OnTakeOver(kOwner, { 1, kAuthority }, At(0));
    StartRuns orders = Orders(2);
    orders.term_ = 1;
    table_.OnOrders(kOwner, orders, At(0));
    for (const StartRequest& order : table_.TakeStarts(At(0))) {
      table_.OnStartAnswer(order.key_, StartAnswer::Started, {}, At(1));
    }
  }
};

TEST_F(StoredRunsTest, ListsAnEndUntilItIsAcknowledged)
{
  Poll(
    { .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Done } } },
    10);
  EXPECT_TRUE(Reports().at(0).unacknowledged_);
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U);
  table_.OnAcknowledgeEnds({ { Key(0) } });
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
}

TEST_F(StoredRunsTest, OnlyAnEndOfARunThatIsNotHeldIsMarkedAsFound)
{
  Poll({ .ended_ = { { 1, Key(0), RunEnd::Done },
                     { 2, Key(7), RunEnd::Failed } } },
       10);
  const std::vector<RunReport> reports = Reports();
  ASSERT_EQ(reports.size(), 3U) << "and run 1, which is missing";
  EXPECT_EQ(reports[0].key_, Key(0));
  EXPECT_FALSE(reports[0].found_);
  EXPECT_EQ(reports[1].key_, Key(7));
  EXPECT_TRUE(reports[1].found_);
  EXPECT_EQ(table_.TakeFoundEnds().size(), 1U);
  EXPECT_TRUE(table_.TakeFoundEnds().empty());
}

TEST_F(StoredRunsTest, ANewLeaderReceivesRunsAndUnacknowledgedEnds)
{
  Poll(
    { .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Done } } },
    10);
  EXPECT_TRUE(table_.OnTakeOver(kOther, { 2, kAuthority }, At(20)));
  const HeldRuns held = table_.MakeHeldRuns(kOther);
  EXPECT_EQ(held.term_, 2U);
  EXPECT_EQ(held.runs_, std::vector<RunKey>{ Key(1) });
  ASSERT_EQ(held.reports_.size(), 1U);
  EXPECT_EQ(held.reports_[0].key_, Key(0));
}

// If this process is lost, the task waits for as long as it is listed.
TEST_F(StoredRunsTest, ARunThatWaitsUnderAnotherNumberIsListedForTheOrderDelay)
{
  StartRuns orders = Orders(0);
  orders.term_ = 1;
  orders.runs_ = { { 7, 1 } };
  table_.OnOrders(kOwner, orders, At(2));
  ASSERT_EQ(table_.TakeStarts(At(2)).size(), 1U);
  table_.OnStartAnswer(Key(7), StartAnswer::RunNumberUsed, {}, At(3));
  const LateOrders known = table_.KnownLateOrders(At(3));
  ASSERT_EQ(known.orders_.size(), 1U);
  EXPECT_LE(known.orders_[0].left_, table_.Options().maxStoredOrderDelay_);
}

TEST_F(StoredRunsTest, OrdersOfAnEarlierLeaderAreRefused)
{
  table_.OnTakeOver(kOther, { 2, kAuthority }, At(20));
  EXPECT_FALSE(table_.OnTakeOver(kOwner, { 1, kAuthority }, At(30)));
  StartRuns late = Orders(0);
  late.term_ = 1;
  late.runs_ = { { 7, 1 } };
  table_.OnOrders(kOwner, late, At(30));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
  EXPECT_TRUE(table_.TakeStarts(At(30)).empty());
}

TEST_F(StoredRunsTest, RunsAreStoppedAfterTheLeaderTimeout)
{
  PollOften({ .running_ = { { Key(0) }, { Key(1) } } }, 50, 2950);
  table_.Tick(At(2999));
  EXPECT_TRUE(table_.TakeStops(At(2999)).empty());
  table_.Tick(At(3000));
  EXPECT_EQ(table_.TakeStops(At(3000)).size(), 2U);
}

TEST_F(StoredRunsTest, DiscardsEndsWithTheLeaseOfALostLeader)
{
  const UpstreamPollResult pollResult{
    .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Done } }
  };
  PollOften(pollResult, 10, 2990);
  table_.Tick(At(2999));
  EXPECT_TRUE(table_.LeaseEnd(At(2999)));
  table_.Tick(At(3000));
  EXPECT_FALSE(table_.LeaseEnd(At(3000)));
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U) << "the lease may still be in force";
  EXPECT_FALSE(table_.MakeUpstreamReport(At(3000)).ready_);
  table_.OnOrders(kOther, Orders(1), At(3010));
  EXPECT_TRUE(table_.TakeStarts(At(3010)).empty()) << "would extend the lease";
  table_.OnDeadlineSent({ Millis(4000) });
  PollOften(pollResult, 3050, 4100);
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U) << "the lease may be in force";
  EXPECT_FALSE(table_.LeaseEnd(At(4100)));
  PollOften(pollResult, 4101, 4101);
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
  EXPECT_FALSE(table_.LeaseEnd(At(4200))) << "a stopped run may still go on";
  table_.OnTakeOver(kOther, { 2, kAuthority }, At(4210));
  for (const RunReport& report : table_.MakeHeldRuns(kOther).reports_) {
    EXPECT_EQ(report.end_, RunEnd::NotStarted) << "the order of 3010";
  }
  Poll({ .ended_ = { { 2, Key(1), RunEnd::LeaseExpired } } }, 4220);
  EXPECT_EQ(table_.LeaseEnd(At(4220)), At(5220));
}

TEST_F(StoredRunsTest, ExtendsTheLeaseIfAllEndsAreAcknowledged)
{
  PollOften({ .running_ = { { Key(0) }, { Key(1) } } }, 50, 3500);
  EXPECT_TRUE(table_.LeaseEnd(At(3500)));
}

TEST_F(StoredRunsTest, EndsOfAPredecessorsRunsAreReportedToTheLeader)
{
  Poll({ .running_ = { { Key(0) }, { Key(1) } },
         .ended_ = { { 4, Key(9), RunEnd::Done } } },
       10);
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(9));
  EXPECT_TRUE(reports[0].unacknowledged_);
  EXPECT_EQ(table_.AcknowledgedEnds(), 3U);
}

// An end that is acknowledged although the leader has not stored it would let
// the next leader start its task again.
TEST_F(StoredRunsTest, UnacknowledgedEndsNeverHideNewerOnes)
{
  const UpstreamPollResult full{ .running_ = { { Key(1) } },
                                 .ended_ = { { 1, Key(0), RunEnd::Done },
                                             { 401, Key(9), RunEnd::Done } } };
  Poll(full, 10);
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U);
  EXPECT_FALSE(table_.LeaseEnd(At(10))) << "its end makes them void";
  PollOften(full, 20, 1180);
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U);
  PollOften(full, 1190, 1290);
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U) << "its lease may be in force";
  PollOften(full, 1301, 1301);
  EXPECT_EQ(table_.AcknowledgedEnds(), 401U);
}

// A poll that was sent shortly before and is carried out late gives the
// upstream a new lease; without a lapse its ends are good, and to acknowledge
// them would let the next leader start their tasks again.
TEST_F(StoredRunsTest, EndsAreVoidOnlyOnceTheUpstreamsClockIsPastAllOrders)
{
  UpstreamPollResult slow{ .ended_ = { { 1, Key(0), RunEnd::Done } } };
  PollOften(slow, 10, 2990);
  table_.OnLeaseGranted(At(3990), { Millis(3990) });
  slow.clock_ = UpstreamTime{ Millis(4090) };
  for (int ms = 3000; ms <= 9000; ms += 50) {
    Poll(slow, ms);
    table_.Tick(At(ms));
  }
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U) << "its clock stood still";
  slow.clock_ = UpstreamTime{ Millis(4091) };
  Poll(slow, 9010);
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
}

// The store is silent for all, so no other process leads, and the leader stays
// linked; the next one would take its ends for void after 10.5 s.
TEST_F(StoredRunsTest, ALinkedLeaderWithoutAuthorityKeepsNoEnds)
{
  table_.OnTakeOver(kOther, { 2, Millis(1000) }, At(5));
  const UpstreamPollResult pollResult{
    .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Done } }
  };
  std::optional<int> firstStop;
  for (int ms = 10; ms <= 5160; ms += 50) {
    if (ms == 510) {
      table_.OnLeaderAuthority(kOther, { 2, Millis(500) }, At(ms));
    }
    table_.OnOwnerHeard(kOther, At(ms));
    PollOften(pollResult, ms, ms);
    if (!firstStop && !table_.TakeStops(At(ms)).empty()) {
      firstStop = ms;
    }
    if (const auto end = table_.LeaseEnd(At(ms))) {
      EXPECT_LT(ms, 4010);
      table_.OnLeaseGranted(*end, { Millis(ms + 1000) });
    }
  }
  EXPECT_EQ(firstStop, 4010);
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
}

// The kernel or a suspended leader may keep a message for long; what it says of
// the authority counts from its sending.
TEST_F(StoredRunsTest, AnOldMessageOfTheLeaderProlongsNothing)
{
  table_.OnTakeOver(kOther, { 2, Millis(1000) }, At(5));
  for (int ms = 10; ms <= 3960; ms += 50) {
    table_.OnOwnerHeard(kOther, At(ms));
    PollOften({ .running_ = { { Key(0) }, { Key(1) } } }, ms, ms);
  }
  table_.OnLeaderAuthority(kOther, { 2, Millis(1000) }, At(3990), Millis(4000));
  table_.OnLeaderAuthority(kOwner, { 1, Millis(4000) }, At(3990));
  EXPECT_TRUE(table_.TakeStops(At(3990)).empty());
  table_.Tick(At(4005));
  EXPECT_EQ(table_.TakeStops(At(4005)).size(), 2U);
}

// A leader claims only seconds after all entries were lost; until then the
// upstream goes on with other work.
TEST_F(RunTableTest, PredecessorsEndsLapseIfNoLeaderComes)
{
  const UpstreamPollResult pollResult{ .ended_ = {
                                         { 1, Key(0), RunEnd::Done } } };
  PollOften(pollResult, 10, 3960);
  ASSERT_TRUE(table_.LeaseEnd(At(3960)));
  table_.OnLeaseGranted(At(4960), { Millis(4960) });
  PollOften(pollResult, 4010, 5060);
  EXPECT_FALSE(table_.LeaseEnd(At(5060)));
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U) << "the lease may be in force";
  PollOften(pollResult, 5061, 5061);
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
  EXPECT_TRUE(table_.LeaseEnd(At(5061)));
}

TEST_F(StoredRunsTest, NoneStartsWhileManyEndsAreUnacknowledged)
{
  constexpr uint32_t kMaxOpen = 300;
  UpstreamPollResult result;
  for (uint32_t i = 0; i < kMaxOpen - 1; ++i) {
    result.ended_.push_back({ i + 1, Key(100 + i), RunEnd::Done });
  }
  result.running_ = { { Key(0) } };
  Poll(result, 10);
  StartRuns orders = Orders(2);
  orders.runs_ = { { 50, 1 } };
  orders.term_ = 1;
  table_.OnOrders(kOwner, orders, At(20));
  EXPECT_TRUE(table_.TakeStarts(At(20)).empty());
  StartRuns bestEffort = Orders(1);
  bestEffort.job_ = "fedcba9876543210";
  table_.OnOrders(kOwner, bestEffort, At(21));
  EXPECT_EQ(table_.TakeStarts(At(21)).size(), 1U) << "these leave no ends";
  table_.OnAcknowledgeEnds({ { Key(100), Key(101) } });
  EXPECT_EQ(table_.TakeStarts(At(22)).size(), 1U);
}

TEST_F(RunTableTest, StoredJobsAreRefusedBeforeRegistration)
{
  StartRuns orders = Orders(1);
  orders.term_ = 1;
  table_.OnOrders(kOwner, orders, At(0));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

// The entry's view was outdated: another entry has taken the resources. The run
// comes back at once instead of waiting behind it.
TEST_F(RunTableTest, ReturnsARunThatWasOrderedOnlyForFreeResources)
{
  StartRuns orders = Orders(5);
  for (RunOrder& order : orders.runs_) {
    order.onlyIfFree_ = true;
  }
  table_.OnOrders(kOwner, orders, At(0));
  EXPECT_EQ(table_.TakeStarts(At(0)).size(), 4U);
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(4));
  EXPECT_EQ(reports[0].end_, RunEnd::NotStarted);
  EXPECT_EQ(table_.Size(), 4U);
}

TEST_F(RunTableTest, ReturnsSuchARunWhileTheUpstreamSaysThatItIsFull)
{
  Start(1);
  StartRuns orders = Orders(2);
  orders.runs_.erase(orders.runs_.begin());
  orders.runs_[0].onlyIfFree_ = true;
  table_.OnOrders(kOwner, orders, At(2));
  const auto starts = table_.TakeStarts(At(2));
  ASSERT_EQ(starts.size(), 1U);
  table_.OnStartAnswer(starts[0].key_, StartAnswer::Full, {}, At(3));
  EXPECT_TRUE(table_.TakeStarts(At(3)).empty());
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::NotStarted);
}

// An unanswered order may still be carried out, so the run must not be placed
// elsewhere.
TEST_F(RunTableTest, KeepsSuchARunWhileItMayHaveStarted)
{
  StartRuns orders = Orders(1);
  orders.runs_[0].onlyIfFree_ = true;
  table_.OnOrders(kOwner, orders, At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
  table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(250) }, At(1));
  table_.TakeStarts(At(2));
  table_.OnStartAnswer(Key(0), StartAnswer::Full, {}, At(3));
  table_.TakeStarts(At(4));
  EXPECT_TRUE(Reports().empty());
  EXPECT_EQ(table_.Size(), 1U);
}

} // namespace
} // namespace cornelfront::run_table_test
