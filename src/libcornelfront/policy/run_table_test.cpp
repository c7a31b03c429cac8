#include "cornelfront/run_table.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cornelfront {
namespace {

constexpr MemberId kOwner{ 1 };
constexpr MemberId kOther{ 2 };
const std::string kJob = "00000000000000a1";
/// Longer than any test lasts.
constexpr Millis kAuthority{ 60000 };

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

UpstreamInfo
Upstream(int64_t aStarted = 1)
{
  return { .id_ = "u1",
           .startedMs_ = aStarted,
           .service_ = "desk",
           .capacity_ = { .cpu_ = 4000, .memoryMb_ = 100 } };
}

StartRuns
Orders(uint32_t aCount, int64_t aCpu = 1000, uint8_t aPriority = 0)
{
  StartRuns orders{ .job_ = kJob,
                    .payload_ = "p",
                    .service_ = "desk",
                    .resources_ = { .cpu_ = aCpu, .memoryMb_ = 1 },
                    .priority_ = aPriority,
                    .estimate_ = Millis(100),
                    .timeToLatestStart_ = Millis(500),
                    .startTimeout_ = Millis(1000) };
  for (uint32_t i = 0; i < aCount; ++i) {
    orders.runs_.push_back({ i, 1 });
  }
  return orders;
}

RunKey
Key(uint32_t aIndex, uint32_t aRun = 1)
{
  return { { kJob, 0, 0, aIndex }, aRun };
}

class RunTableTest : public testing::Test
{
protected:
  RunTableTest()
  {
    table_.OnUpstream(Upstream(), At(0));
    table_.OnOwnerLinked(kOwner, At(0));
  }

  /// Orders and starts runs at time 0; the upstream acknowledges them at 1 ms.
  void Start(uint32_t aCount)
  {
    table_.OnOrders(kOwner, Orders(aCount), At(0));
    for (const StartRequest& order : table_.TakeStarts(At(0))) {
      table_.OnStartAnswer(order.key_, StartAnswer::Started, {}, At(1));
    }
  }

  std::vector<RunReport> Reports(MemberId aOwner = kOwner)
  {
    return table_.TakeUpdates()[aOwner].reports_;
  }

  std::vector<RunKey> Stops(int aMs)
  {
    std::vector<RunKey> keys;
    for (const StopRequest& stop : table_.TakeStops(At(aMs))) {
      keys.push_back(stop.key_);
    }
    return keys;
  }

  /// A poll that starts and is answered at this time.
  void Poll(const UpstreamPollResult& aPollResult, int aMs)
  {
    const uint64_t begin = table_.BeginPoll();
    table_.OnPollResult(begin, aPollResult, At(aMs));
  }

  /// The upstream refuses the starts of these runs.
  void Refuse(uint32_t aFirst, uint32_t aEnd, int aMs)
  {
    for (uint32_t i = aFirst; i < aEnd; ++i) {
      table_.OnStartAnswer(Key(i), StartAnswer::Refused, {}, At(aMs));
    }
  }

  /// Ticks as a running process does, from and up to these times.
  void Tick(int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ms += 50) {
      table_.Tick(At(ms));
    }
  }

  /// The same, while the owner is heard of.
  void Wait(int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ms += 10) {
      table_.OnOwnerHeard(kOwner, At(ms));
      table_.Tick(At(ms));
    }
  }

  /// The same with polls, each with this answer. The upstream's clock shows the
  /// time of the test.
  void PollOften(UpstreamPollResult aPollResult, int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ms += 50) {
      aPollResult.clock_ = UpstreamTime{ Millis(ms) };
      Poll(aPollResult, ms);
      table_.Tick(At(ms));
    }
  }

  RunTable table_{ RunTableOptions{} };
};

TEST_F(RunTableTest, IgnoresAnswersOfAnEarlierIncarnation)
{
  const uint64_t early = table_.BeginPoll();
  table_.OnUpstream(Upstream(2), At(1));
  Start(1);
  for (const auto replacement : { Replacement::OtherId, Replacement::SameId }) {
    EXPECT_FALSE(table_.OnUpstreamReplaced(early, replacement, At(2)));
  }
  EXPECT_FALSE(table_.OnPollResult(early, {}, At(2)));
  EXPECT_EQ(table_.Size(), 1U) << "still runs on the present one";
  EXPECT_TRUE(Reports().empty());
  EXPECT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::OtherId, At(3)));
  ASSERT_EQ(Reports().size(), 1U);
}

TEST_F(RunTableTest, StartsWaitingRunsWhenResourcesBecomeFree)
{
  table_.OnOrders(kOwner, Orders(5), At(0));
  EXPECT_EQ(table_.TakeStarts(At(0)).size(), 4U);
  for (uint32_t i = 0; i < 4; ++i) {
    table_.OnStartAnswer(Key(i), StartAnswer::Started, {}, At(1));
  }
  EXPECT_TRUE(table_.TakeStarts(At(2)).empty());
  Poll({ .running_ = { { Key(1) }, { Key(2) }, { Key(3) } },
         .ended_ = { { 1, Key(0), RunEnd::Done } } },
       100);
  const auto starts = table_.TakeStarts(At(100));
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].key_, Key(4));
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::Done);
  EXPECT_EQ(reports[0].runTime_, Millis(99));
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
}

TEST_F(RunTableTest, StartsUrgentRunsFirstAndLateRunsLast)
{
  StartRuns late = Orders(1, 4000, 0);
  late.timeToLatestStart_ = Millis(10);
  StartRuns urgent = Orders(1, 4000, 1);
  urgent.step_ = 1;
  StartRuns other = Orders(1, 4000, 2);
  other.step_ = 2;
  table_.OnOrders(kOwner, late, At(0));
  table_.OnOrders(kOwner, other, At(0));
  table_.OnOrders(kOwner, urgent, At(0));
  std::vector<uint32_t> steps;
  for (int i = 0; i < 3; ++i) {
    const auto starts = table_.TakeStarts(At(20 + i));
    ASSERT_EQ(starts.size(), 1U);
    steps.push_back(starts[0].key_.task_.step_);
    table_.OnStartAnswer(starts[0].key_, StartAnswer::Refused, {}, At(20 + i));
  }
  EXPECT_EQ(steps, (std::vector<uint32_t>{ 1, 2, 0 }));
}

struct AnswerCase
{
  const char* name_;
  StartAnswer answer_;
  bool reported_;
  bool startsAgain_;
};

class StartAnswerTest
  : public RunTableTest
  , public testing::WithParamInterface<AnswerCase>
{};

TEST_P(StartAnswerTest, ReportsOrRestartsTheRun)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
  table_.OnStartAnswer(Key(0), GetParam().answer_, { Millis(1000) }, At(1));
  EXPECT_EQ(!Reports().empty(), GetParam().reported_);
  EXPECT_EQ(!table_.TakeStarts(At(100)).empty(), GetParam().startsAgain_);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  StartAnswerTest,
  testing::Values(
    AnswerCase{ "started", StartAnswer::Started, false, false },
    AnswerCase{ "full", StartAnswer::Full, false, true },
    AnswerCase{ "too_late", StartAnswer::DeadlinePassed, false, true },
    AnswerCase{ "old_number", StartAnswer::RunNumberUsed, false, true },
    AnswerCase{ "refused", StartAnswer::Refused, true, false },
    AnswerCase{ "not_sent", StartAnswer::NotSent, true, false },
    AnswerCase{ "unknown", StartAnswer::Unknown, false, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

TEST_F(RunTableTest, RenumbersARunWhoseNumberIsUsed)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).at(0).upstreamRunNumber_, 1U);
  table_.OnStartAnswer(Key(0), StartAnswer::RunNumberUsed, {}, At(1));
  EXPECT_GT(table_.TakeStarts(At(2)).at(0).upstreamRunNumber_, 1U);
}

TEST_F(RunTableTest, RetainsAnUnansweredStartUntilItsDeadline)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  // Leave all orders unanswered until the repeats are used up.
  for (int i = 0; !table_.TakeStarts(At(i)).empty(); ++i) {
    ASSERT_LT(i, 10);
    table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(1000) }, At(i));
  }
  Poll({ .clock_ = { Millis(1000) } }, 50);
  EXPECT_TRUE(Reports().empty());
  Poll({ .clock_ = { Millis(1001) } }, 60);
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::NotStarted);
}

TEST_F(RunTableTest, AnUnansweredStartThatIsRefusedLaterStaysUncertain)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  ASSERT_FALSE(table_.TakeStarts(At(0)).empty());
  table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(1000) }, At(1));
  ASSERT_FALSE(table_.TakeStarts(At(2)).empty());
  table_.OnStartAnswer(Key(0), StartAnswer::Full, { Millis(1000) }, At(3));
  EXPECT_TRUE(table_.TakeStarts(At(100)).empty());
  EXPECT_TRUE(Reports().empty());
  Poll({ .clock_ = { Millis(900) }, .running_ = { { Key(0) } } }, 200);
  Poll(
    { .clock_ = { Millis(1100) }, .ended_ = { { 1, Key(0), RunEnd::Done } } },
    300);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Done);
}

TEST_F(RunTableTest, APollSentBeforeTheStartDoesNotEndTheRun)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  const uint64_t begin = table_.BeginPoll();
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
  table_.OnStartAnswer(Key(0), StartAnswer::Started, {}, At(1));
  table_.OnPollResult(begin, {}, At(2));
  EXPECT_TRUE(Reports().empty());
  Poll({}, 3);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

TEST_F(RunTableTest, ANewIncarnationEndsAllRunsThatThePreviousOneListed)
{
  Start(2);
  Poll({ .running_ = { { Key(0) }, { Key(1) } } }, 5);
  table_.OnUpstream(Upstream(2), At(10));
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 2U);
  EXPECT_EQ(reports[0].end_, RunEnd::Lost);
  EXPECT_EQ(reports[1].end_, RunEnd::Lost);
  EXPECT_EQ(table_.Size(), 0U);
}

TEST_F(RunTableTest, ANewIncarnationWithAnotherIdEndsAllRuns)
{
  Start(2);
  UpstreamInfo other = Upstream(2);
  other.id_ = "u2";
  table_.OnUpstream(other, At(10));
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 2U);
  EXPECT_EQ(reports[0].end_, RunEnd::Lost);
  EXPECT_EQ(table_.Size(), 0U);
}

// What is being stopped still counts.
TEST_F(RunTableTest, ACapacityThatShrinksAdmitsNoStartBeyondIt)
{
  Start(2);
  UpstreamInfo shrunk = Upstream();
  shrunk.capacity_.cpu_ = 2500;
  table_.OnUpstream(shrunk, At(5));
  EXPECT_EQ(table_.MakeUpstreamReport(At(5)).capacity_.cpu_, 2500);
  table_.OnOrders(kOwner, Orders(4), At(6));
  EXPECT_TRUE(table_.TakeStarts(At(6)).empty());
  table_.OnStop({ .runs_ = { Key(0) } }, At(7));
  EXPECT_TRUE(table_.TakeStarts(At(7)).empty());
  Poll({ .running_ = { { Key(1) } },
         .ended_ = { { 1, Key(0), RunEnd::Stopped } } },
       10);
  EXPECT_EQ(table_.TakeStarts(At(10)).size(), 1U);
  EXPECT_TRUE(table_.TakeStarts(At(11)).empty());
  table_.OnUpstream(Upstream(), At(12));
  EXPECT_EQ(table_.TakeStarts(At(12)).size(), 1U) << "it has grown again";
}

TEST_F(RunTableTest, RunsOfASilentUpstreamAreLostOnlyAfterItsLease)
{
  Start(1);
  Poll({ .running_ = { { Key(0) } } }, 10);
  for (int ms = 20; ms <= 1600; ms += 20) {
    table_.OnOwnerHeard(kOwner, At(ms));
    table_.Tick(At(ms));
    EXPECT_TRUE(Reports().empty()) << ms;
  }
  EXPECT_FALSE(table_.MakeUpstreamReport(At(1600)).ready_);
  table_.OnOwnerHeard(kOwner, At(1620));
  table_.Tick(At(1620));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

TEST_F(RunTableTest, RunsOfASilentOwnerAreStopped)
{
  Start(1);
  Tick(50, 700);
  EXPECT_TRUE(table_.TakeStops(At(700)).empty());
  table_.Tick(At(701));
  EXPECT_EQ(Stops(701), std::vector<RunKey>{ Key(0) });
  // The stop is repeated until the end is listed.
  EXPECT_TRUE(table_.TakeStops(At(750)).empty());
  EXPECT_FALSE(table_.TakeStops(At(860)).empty());
}

TEST_F(RunTableTest, WaitingRunsOfASilentOwnerNeverStart)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  Tick(50, 700);
  ASSERT_EQ(table_.Size(), 1U);
  table_.Tick(At(701));
  EXPECT_TRUE(table_.TakeStarts(At(701)).empty());
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

TEST_F(RunTableTest, OrphanedRunsAreStopped)
{
  Poll({ .running_ = { { Key(7) } } }, 10);
  EXPECT_TRUE(table_.HasOrphans());
  EXPECT_EQ(Stops(10), std::vector<RunKey>{ Key(7) });
  Poll({}, 20);
  EXPECT_FALSE(table_.HasOrphans());
}

TEST_F(RunTableTest, NothingStartsWhileClosedOrDraining)
{
  table_.SetClosed(true, At(0));
  table_.OnOrders(kOwner, Orders(1), At(0));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
  table_.SetClosed(false, At(1));
  table_.OnOrders(kOwner, Orders(2, 4000), At(1));
  EXPECT_EQ(table_.TakeStarts(At(1)).size(), 1U);
  UpstreamInfo draining = Upstream();
  draining.draining_ = true;
  table_.OnUpstream(draining, At(2));
  // The waiting run is refused; the one being started is not affected.
  EXPECT_EQ(Reports().size(), 1U);
  EXPECT_EQ(table_.Size(), 1U);
  EXPECT_FALSE(table_.MakeUpstreamReport(At(2)).ready_);
}

TEST_F(RunTableTest, AServiceThatIsNotServedHereIsRefused)
{
  StartRuns orders = Orders(1);
  orders.service_ = "planner";
  table_.OnOrders(kOwner, orders, At(0));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

TEST_F(RunTableTest, RefusesASecondRunOfATaskFromAnotherOwner)
{
  Start(1);
  StartRuns again = Orders(0);
  again.runs_ = { { 0, 2 } };
  table_.OnOrders(kOther, again, At(5));
  EXPECT_EQ(Reports(kOther).at(0).end_, RunEnd::NotStarted);
  EXPECT_TRUE(table_.TakeStarts(At(5)).empty());
}

TEST_F(RunTableTest, HeldRunsAndRecentReportsAreSentOnANewLink)
{
  Start(2);
  Poll(
    { .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Failed } } },
    10);
  Reports();
  const HeldRuns held = table_.MakeHeldRuns(kOwner);
  EXPECT_EQ(held.runs_, std::vector<RunKey>{ Key(1) });
  ASSERT_EQ(held.reports_.size(), 1U);
  EXPECT_EQ(held.reports_[0].end_, RunEnd::Failed);
}

TEST_F(RunTableTest, ReportsAStallWhenProgressIsTooSlow)
{
  Start(2);
  const auto stalled = [this](int aMs) {
    Poll({ .running_ = { { Key(0), 5 }, { Key(1), 90 } } }, aMs);
    std::vector<RunKey> keys;
    const auto told = table_.TakeUpdates()[kOwner].stalled_;
    for (const StalledRun& run : told) {
      EXPECT_EQ(run.percent_, 5);
      keys.push_back(run.key_);
    }
    return keys;
  };
  EXPECT_TRUE(stalled(300).empty());
  EXPECT_EQ(stalled(302), std::vector<RunKey>{ Key(0) });
  EXPECT_TRUE(stalled(310).empty());
  EXPECT_EQ(stalled(510), std::vector<RunKey>{ Key(0) });
}

TEST_F(RunTableTest, ProcessesAnEndOnlyOnce)
{
  Start(1);
  const UpstreamPollResult pollResult{ .ended_ = {
                                         { 1, Key(0), RunEnd::Done } } };
  Poll(pollResult, 10);
  EXPECT_EQ(Reports().size(), 1U);
  Start(1);
  Poll(
    { .running_ = { { Key(0) } }, .ended_ = { { 1, Key(0), RunEnd::Done } } },
    30);
  EXPECT_TRUE(Reports().empty());
}

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

// A sidecar that is killed again and again must not keep ends good for longer
// than its predecessors heard of a leader.
TEST_F(RunTableTest, WithoutALeaderThePredecessorsEndsLapse)
{
  const UpstreamPollResult pollResult{ .ended_ = {
                                         { 1, Key(0), RunEnd::Done } } };
  PollOften(pollResult, 10, 1260);
  EXPECT_FALSE(table_.LeaseEnd(At(1260)));
  EXPECT_EQ(table_.AcknowledgedEnds(), 0U) << "the predecessor's lease";
  PollOften(pollResult, 1311, 1311);
  EXPECT_EQ(table_.AcknowledgedEnds(), 1U);
  EXPECT_TRUE(table_.LeaseEnd(At(1311)));
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

/// A call that is the first one after the process was suspended.
struct FirstCallCase
{
  const char* name_;
  void (*call_)(RunTable&, MonoTime);
};

class FirstCallAfterSuspensionTest
  : public RunTableTest
  , public testing::WithParamInterface<FirstCallCase>
{};

// Meanwhile the entry may have taken these runs as lost and started them
// elsewhere.
TEST_P(FirstCallAfterSuspensionTest, StartsNothingThatWaitedThroughIt)
{
  table_.OnOrders(kOwner, Orders(5), At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 4U);
  table_.OnStartAnswer(Key(0), StartAnswer::Started, {}, At(1));
  table_.OnStartAnswer(Key(1), StartAnswer::Started, {}, At(1));
  table_.OnStartAnswer(Key(2), StartAnswer::Unknown, { Millis(250) }, At(1));
  GetParam().call_(table_, At(602));
  Poll(
    { .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Done } } },
    603);
  EXPECT_TRUE(table_.TakeStarts(At(603)).empty());
  const auto reports = Reports();
  EXPECT_TRUE(std::any_of(reports.begin(), reports.end(), [](const auto& aEnd) {
    return aEnd.key_ == Key(4) && aEnd.end_ == RunEnd::NotStarted;
  }));
  const auto stops = Stops(760);
  EXPECT_NE(std::find(stops.begin(), stops.end(), Key(1)), stops.end());
}

INSTANTIATE_TEST_SUITE_P(
  Calls,
  FirstCallAfterSuspensionTest,
  testing::Values(
    FirstCallCase{ "upstream",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnUpstream(Upstream(), aNow);
                   } },
    FirstCallCase{ "late_answer_of_another_incarnation",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnUpstreamReplaced(0, Replacement::SameId, aNow);
                   } },
    FirstCallCase{
      "operator",
      [](RunTable& aTable, MonoTime aNow) { aTable.SetClosed(false, aNow); } },
    FirstCallCase{ "owner_linked",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnOwnerLinked(kOwner, aNow);
                   } },
    FirstCallCase{ "owner_heard",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnOwnerHeard(kOwner, aNow);
                   } },
    FirstCallCase{ "take_over",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnTakeOver(kOther, { 1, kAuthority }, aNow);
                   } },
    FirstCallCase{ "orders",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnOrders(kOther, Orders(1), aNow);
                   } },
    FirstCallCase{
      "stop",
      [](RunTable& aTable, MonoTime aNow) { aTable.OnStop({}, aNow); } },
    FirstCallCase{ "starts",
                   [](RunTable& aTable, MonoTime aNow) {
                     EXPECT_TRUE(aTable.TakeStarts(aNow).empty());
                   } },
    FirstCallCase{ "start_answer",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnStartAnswer(
                       Key(3), StartAnswer::DeadlinePassed, {}, aNow);
                   } },
    FirstCallCase{ "poll_result",
                   [](RunTable& aTable, MonoTime aNow) {
                     aTable.OnPollResult(aTable.BeginPoll(), {}, aNow);
                   } },
    FirstCallCase{ "tick",
                   [](RunTable& aTable, MonoTime aNow) { aTable.Tick(aNow); } },
    FirstCallCase{
      "stops",
      [](RunTable& aTable, MonoTime aNow) { aTable.TakeStops(aNow); } }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

// Nobody knows how long they waited in the buffer of the link.
TEST_F(RunTableTest, OrdersThatAreReadRightAfterASuspensionAreRefused)
{
  table_.Tick(At(0));
  table_.OnOwnerHeard(kOwner, At(601));
  table_.OnOrders(kOwner, Orders(1), At(601));
  EXPECT_TRUE(table_.TakeStarts(At(601)).empty());
  ASSERT_EQ(table_.Size(), 0U);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
  table_.OnOrders(kOwner, Orders(1), At(602));
  EXPECT_EQ(table_.TakeStarts(At(602)).size(), 1U);
}

TEST_F(RunTableTest, ReportsASuspensionOnceAndOnlyBeyondTheThreshold)
{
  Start(2);
  EXPECT_FALSE(table_.TakeSuspension(At(601)));
  table_.Tick(At(1202));
  const auto suspension = table_.TakeSuspension(At(1210));
  ASSERT_TRUE(suspension);
  EXPECT_EQ(suspension->length_, Millis(601));
  EXPECT_EQ(suspension->runs_, 2U);
  EXPECT_FALSE(table_.TakeSuspension(At(1210)));
}

TEST_F(RunTableTest, NothingStartsAfterItsStartTimeoutEvenBeforeATick)
{
  table_.OnOrders(kOwner, Orders(5), At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 4U);
  for (int ms = 500; ms <= 1000; ms += 500) {
    table_.OnOwnerHeard(kOwner, At(ms));
  }
  Refuse(0, 4, 1000);
  EXPECT_TRUE(table_.TakeStarts(At(1000)).empty());
  EXPECT_EQ(Reports().size(), 5U);
}

TEST_F(RunTableTest, NothingStartsForASilentOwnerEvenBeforeATick)
{
  table_.OnOrders(kOwner, Orders(5), At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 4U);
  Refuse(0, 3, 500);
  table_.OnStartAnswer(Key(3), StartAnswer::Unknown, { Millis(250) }, At(500));
  EXPECT_TRUE(table_.TakeStarts(At(701)).empty());
  EXPECT_EQ(Stops(701), std::vector<RunKey>{ Key(3) });
  EXPECT_EQ(Reports().size(), 4U);
}

TEST_F(RunTableTest, AnUnansweredStartIsNotRepeatedAfterItsStartTimeout)
{
  table_.OnOrders(kOwner, Orders(1), At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
  for (int ms = 500; ms <= 1000; ms += 500) {
    table_.OnOwnerHeard(kOwner, At(ms));
  }
  table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(250) }, At(999));
  EXPECT_TRUE(table_.TakeStarts(At(1000)).empty());
  EXPECT_TRUE(Reports().empty()) << "the order may still be carried out";
  Poll({ .clock_ = { Millis(251) } }, 1010);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::NotStarted);
}

// A cut had held the call up until the executor had started again under its id.
TEST_F(RunTableTest, ALateDeregistrationOfAnEarlierIncarnationEndsNoRun)
{
  table_.OnUpstream(Upstream(2), At(0));
  Start(1);
  EXPECT_FALSE(table_.OnUpstreamLeft({ .id_ = "u1", .startedMs_ = 1 }, At(10)));
  EXPECT_TRUE(Reports().empty());
  EXPECT_EQ(table_.Size(), 1U);
  EXPECT_TRUE(table_.HasUpstream());
}

TEST_F(RunTableTest, ADeregistrationEndsTheRunsOfItsIncarnation)
{
  Start(2);
  EXPECT_FALSE(table_.OnUpstreamLeft({ .id_ = "u2", .startedMs_ = 1 }, At(10)));
  EXPECT_EQ(table_.Size(), 2U);
  EXPECT_TRUE(table_.OnUpstreamLeft({ .id_ = "u1", .startedMs_ = 1 }, At(20)));
  EXPECT_EQ(Reports().size(), 2U);
  EXPECT_FALSE(table_.HasUpstream());
}

TEST_F(RunTableTest, ADeregistrationWithoutAStartTimeIsMatchedById)
{
  Start(1);
  EXPECT_FALSE(table_.OnUpstreamLeft({ .id_ = "u2" }, At(10)));
  EXPECT_EQ(table_.Size(), 1U);
  EXPECT_TRUE(table_.OnUpstreamLeft({ .id_ = "u1" }, At(20)));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

// The current incarnation answers nothing, but its runs go on until their lease
// ends.
TEST_F(RunTableTest,
       ALateHeartbeatOfAnEarlierIncarnationEndsNoRunBeforeTheLease)
{
  table_.OnUpstream(Upstream(2), At(0));
  Poll({}, 0);
  Start(1);
  Poll({ .running_ = { { Key(0) } } }, 10);
  for (const int ms : { 20, 600, 700, 1610 }) {
    EXPECT_EQ(table_.IdentifySender(Upstream(1), At(ms)),
              HeartbeatSender::Outdated)
      << ms;
  }
  // By then the runs have been given up for the lease's sake.
  EXPECT_EQ(table_.IdentifySender(Upstream(1), At(1611)),
            HeartbeatSender::Successor);
  table_.OnOwnerHeard(kOwner, At(1611));
  table_.Tick(At(1611));
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

TEST_F(RunTableTest, AnEqualStartTimeUnderAnotherIdIsNoProofOfAReplacement)
{
  UpstreamInfo other = Upstream(1);
  other.id_ = "u2";
  EXPECT_EQ(table_.IdentifySender(other, At(10)), HeartbeatSender::Outdated);
  EXPECT_EQ(table_.IdentifySender(other, At(1601)), HeartbeatSender::Successor);
}

TEST_F(RunTableTest, ALaterStartTimeReplacesTheIncarnationAtOnce)
{
  EXPECT_EQ(table_.IdentifySender(Upstream(1), At(10)),
            HeartbeatSender::Current);
  EXPECT_EQ(table_.IdentifySender(Upstream(2), At(10)),
            HeartbeatSender::Successor);
  UpstreamInfo other = Upstream(2);
  other.id_ = "u2";
  EXPECT_EQ(table_.IdentifySender(other, At(10)), HeartbeatSender::Successor);
}

// The time of day was set back between the starts, and the poll tells.
TEST_F(RunTableTest,
       AnEarlierStartTimeCountsAtOnceWhenTheUpstreamIsKnownToBeGone)
{
  table_.OnUpstream(Upstream(2), At(0));
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  EXPECT_EQ(table_.IdentifySender(Upstream(1), At(11)),
            HeartbeatSender::Successor);
}

// Its heartbeat was under way for long, or the time of day was set back between
// the two starts.
TEST_F(RunTableTest, AnIncarnationThatAPollHasShownToBeGoneNeverReturns)
{
  table_.OnUpstream(Upstream(2), At(0));
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  EXPECT_EQ(table_.IdentifySender(Upstream(2), At(11)),
            HeartbeatSender::Outdated);
  table_.OnUpstream(Upstream(1), At(20));
  for (const int ms : { 30, 1700 }) {
    EXPECT_EQ(table_.IdentifySender(Upstream(2), At(ms)),
              HeartbeatSender::Outdated)
      << ms;
  }
  EXPECT_EQ(table_.IdentifySender(Upstream(3), At(30)),
            HeartbeatSender::Successor);
}

TEST_F(RunTableTest, AnIncarnationThatHasLeftNeverReturns)
{
  table_.OnUpstreamLeft({ .id_ = "u1", .startedMs_ = 1 }, At(10));
  EXPECT_EQ(table_.IdentifySender(Upstream(1), At(11)),
            HeartbeatSender::Outdated);
  EXPECT_EQ(table_.IdentifySender(Upstream(2), At(11)),
            HeartbeatSender::Successor);
}

// The call may have been one of an earlier incarnation.
TEST_F(RunTableTest, ADeregistrationWithoutAStartTimeKeepsNoHeartbeatOut)
{
  table_.OnUpstreamLeft({ .id_ = "u1" }, At(10));
  EXPECT_EQ(table_.IdentifySender(Upstream(1), At(11)),
            HeartbeatSender::Successor);
}

/// The upstream crashes and starts again under its id. Until it has seen a call
/// with its new start time, it takes orders that were meant for the incarnation
/// before, so that what was ordered last may run there.
class RestartedUpstreamTest : public RunTableTest
{
protected:
  /// Run 0 is listed by the first incarnation. Runs 1 to 3 were ordered after
  /// its last answer: one was started, one has no answer, one awaits it.
  RestartedUpstreamTest()
  {
    Start(1);
    Poll({ .running_ = { { Key(0) } } }, 5);
    table_.OnOrders(kOwner, Orders(4), At(6));
    Reports();
    for (const StartRequest& order : table_.TakeStarts(At(6))) {
      started_.push_back(order.key_);
    }
    table_.OnStartAnswer(Key(1), StartAnswer::Started, {}, At(7));
    table_.OnStartAnswer(Key(2), StartAnswer::Unknown, { Millis(250) }, At(7));
  }

  std::vector<RunKey> started_;
};

TEST_F(RestartedUpstreamTest, ARunThatItMayHaveTakenIsNotReportedAsLost)
{
  ASSERT_EQ(started_, (std::vector<RunKey>{ Key(1), Key(2), Key(3) }));
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(0)) << "the first one had listed it";
  EXPECT_EQ(reports[0].end_, RunEnd::Lost);
  EXPECT_TRUE(table_.TakeStarts(At(10)).empty());
  table_.OnUpstream(Upstream(2), At(20));
  EXPECT_TRUE(Reports().empty());
  EXPECT_TRUE(table_.TakeStarts(At(20)).empty()) << "ordered once";
  table_.OnStartAnswer(Key(3), StartAnswer::Unknown, { Millis(250) }, At(21));
  EXPECT_TRUE(table_.TakeStarts(At(21)).empty()) << "ordered once";
  Poll({ .running_ = { { Key(1) }, { Key(3) } } }, 30);
  EXPECT_FALSE(table_.HasOrphans());
  reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(2));
  EXPECT_EQ(reports[0].end_, RunEnd::Lost);
  EXPECT_EQ(reports[0].runTime_, Millis(20));
  Poll(
    { .running_ = { { Key(3) } }, .ended_ = { { 1, Key(1), RunEnd::Done } } },
    40);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Done);
  EXPECT_EQ(table_.Size(), 1U);
}

TEST_F(RestartedUpstreamTest, AHeartbeatDoesNotEndARunThatItMayHaveTaken)
{
  table_.OnUpstream(Upstream(2), At(10));
  ASSERT_EQ(Reports().size(), 1U);
  Poll({ .running_ = { { Key(1) }, { Key(2) } } }, 30);
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(3));
  EXPECT_EQ(table_.Size(), 2U);
}

// The order that had no answer may arrive after its repetition was carried out.
TEST_F(RestartedUpstreamTest, ARepeatedOrderMayBeTakenAlthoughTheRunWasListed)
{
  ASSERT_EQ(table_.TakeStarts(At(8)).size(), 1U);
  table_.OnStartAnswer(Key(2), StartAnswer::Started, {}, At(9));
  Poll({ .running_ = { { Key(0) }, { Key(1) }, { Key(2) } } }, 20);
  table_.OnUpstream(Upstream(2), At(30));
  EXPECT_EQ(Reports().size(), 2U) << "runs 0 and 1";
  Poll({ .running_ = { { Key(2) } } }, 40);
  EXPECT_EQ(Reports().at(0).key_, Key(3));
  EXPECT_EQ(table_.Size(), 1U);
}

TEST_F(RestartedUpstreamTest, SilenceEndsOnlyRunsWhoseOrdersWereAnswered)
{
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  Reports();
  Wait(20, 1610);
  EXPECT_TRUE(Reports().empty());
  Wait(1611, 1611);
  auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(1));
  EXPECT_EQ(reports[0].end_, RunEnd::Lost);
  Wait(1620, 12006);
  EXPECT_TRUE(Reports().empty()) << "their orders may be carried out";
  Wait(12007, 12007);
  EXPECT_EQ(Reports().size(), 2U);
  EXPECT_EQ(table_.Size(), 0U);
}

TEST_F(RestartedUpstreamTest, AnUnansweredOrderOutlivesTheSilenceBeforeARestart)
{
  Wait(20, 1700);
  auto reports = Reports();
  ASSERT_EQ(reports.size(), 2U) << "runs 0 and 1";
  table_.OnUpstream(Upstream(2), At(1710));
  Poll({ .running_ = { { Key(2) } } }, 1720);
  EXPECT_FALSE(table_.HasOrphans());
  reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].key_, Key(3));
}

TEST_F(RestartedUpstreamTest, AnUnansweredOrderOutlivesADeregistration)
{
  ASSERT_TRUE(table_.OnUpstreamLeft({ .id_ = "u1", .startedMs_ = 1 }, At(10)));
  EXPECT_EQ(Reports().size(), 2U) << "runs 0 and 1";
  table_.OnUpstream(Upstream(2), At(20));
  Poll({ .running_ = { { Key(2) } } }, 30);
  EXPECT_FALSE(table_.HasOrphans());
  EXPECT_EQ(table_.Size(), 1U);
}

using LateTasks = std::map<JobTaskId, LateOrderState>;

LateTasks
LateTasksOf(const LateOrders& aOrders)
{
  LateTasks tasks;
  for (const LateOrder& order : aOrders.orders_) {
    tasks[order.task_] = order.state_;
  }
  return tasks;
}

// The client may submit the job again, to an entry that sent none of the
// orders.
TEST_F(RestartedUpstreamTest, ListsLateOrdersUntilTheNextIncarnationTells)
{
  const auto late = [&](int aMs) {
    return LateTasksOf(table_.KnownLateOrders(At(aMs)));
  };
  const LateTasks unanswered{ { Key(2).task_, LateOrderState::Held } };
  EXPECT_EQ(late(10), unanswered) << "it has no answer";
  Wait(20, 600);
  const LateTasks both{ { Key(2).task_, LateOrderState::Held },
                        { Key(3).task_, LateOrderState::Held } };
  EXPECT_EQ(late(606), both);
  Wait(610, 1700);
  EXPECT_EQ(late(1700), both);
  table_.OnUpstream(Upstream(2), At(1710));
  EXPECT_EQ(late(1710), both);
  Poll({ .running_ = { { Key(2) } } }, 1720);
  EXPECT_EQ(late(1720).at(Key(2).task_), LateOrderState::Held)
    << "it goes on, although its client may have left long ago";
  EXPECT_EQ(late(1720).at(Key(3).task_), LateOrderState::OnlyHere)
    << "a further incarnation may begin it";
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Stopped } } }, 1730);
  const LateTasks onlyHere{ { Key(2).task_, LateOrderState::OnlyHere },
                            { Key(3).task_, LateOrderState::OnlyHere } };
  EXPECT_EQ(late(1730), onlyHere);
  Wait(1740, 12100);
  EXPECT_TRUE(late(12100).empty());
}

TEST_F(RestartedUpstreamTest, TellsChangesOfLateOrdersOnce)
{
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(10))),
            (LateTasks{ { Key(2).task_, LateOrderState::Held } }));
  EXPECT_TRUE(table_.TakeLateOrders(At(11)).orders_.empty());
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Failed } } }, 20);
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(20))),
            (LateTasks{ { Key(2).task_, LateOrderState::OnlyHere } }));
  Wait(30, 200);
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(205))),
            (LateTasks{ { Key(2).task_, LateOrderState::Held } }))
    << "the upstream is quiet";
}

// The upstream has crashed and started again since its last poll, and its lease
// is not the one that this sidecar knows.
TEST_F(RestartedUpstreamTest, AStartOfALaterIncarnationProvesNothingOfThisOne)
{
  constexpr UpstreamTime kKnown{ Millis(5000) };
  const auto check = [&](StartAnswer aAnswer, int64_t aClock) {
    return CheckIncarnation(aAnswer, UpstreamTime{ Millis(aClock) }, kKnown);
  };
  EXPECT_EQ(check(StartAnswer::Started, 5000), StartAnswer::Started);
  EXPECT_EQ(check(StartAnswer::Started, 3), StartAnswer::Unknown);
  EXPECT_EQ(check(StartAnswer::Full, 3), StartAnswer::Full);
  EXPECT_EQ(CheckIncarnation(StartAnswer::Started, std::nullopt, kKnown),
            StartAnswer::Started);
}

// It may have begun a run of the task by an order for the one before.
TEST_F(RestartedUpstreamTest,
       NothingStartsBeforeTheRunsOfTheNextIncarnationAreKnown)
{
  table_.OnUpstream(Upstream(2), At(10));
  StartRuns orders = Orders(1);
  orders.runs_ = { { 9, 1 } };
  table_.OnOrders(kOwner, orders, At(11));
  EXPECT_TRUE(table_.TakeStarts(At(11)).empty());
  Poll({ .running_ = { { Key(2) } } }, 20);
  EXPECT_EQ(table_.TakeStarts(At(20)).size(), 1U);
}

// Two runs of a task would go on at one upstream.
TEST_F(RestartedUpstreamTest, ATaskThatRunsWithoutAnOrderIsNotStartedBesideIt)
{
  Poll({ .running_ = { { Key(9, 1) } } }, 20);
  Reports();
  StartRuns orders = Orders(9);
  orders.runs_ = { { 9, 2 } };
  table_.OnOrders(kOwner, orders, At(21));
  EXPECT_TRUE(table_.TakeStarts(At(21)).empty());
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::NotStarted);
}

TEST_F(RestartedUpstreamTest, AnOrderWithoutAnAnswerCountsForOneCrashOnly)
{
  table_.OnUpstream(Upstream(2), At(10));
  auto crashes = table_.TakeCrashes();
  ASSERT_EQ(crashes.size(), 1U);
  EXPECT_EQ(crashes[0].tasks_.size(), 4U);
  table_.OnUpstream(Upstream(3), At(20));
  EXPECT_TRUE(table_.TakeCrashes().empty())
    << "the second incarnation is not known to have begun any";
  Poll({ .running_ = { { Key(2) } } }, 30);
  table_.OnUpstream(Upstream(4), At(40));
  crashes = table_.TakeCrashes();
  ASSERT_EQ(crashes.size(), 1U);
  EXPECT_EQ(crashes[0].tasks_, std::vector<JobTaskId>{ Key(2).task_ });
}

// An order that was sent again may be under way although its run has ended.
TEST_F(RestartedUpstreamTest, ListsLateOrdersOfRunsThatHaveEnded)
{
  ASSERT_EQ(table_.TakeStarts(At(8)).size(), 1U);
  table_.OnStartAnswer(Key(2), StartAnswer::Started, {}, At(9));
  table_.OnStartAnswer(Key(3), StartAnswer::Started, {}, At(9));
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Failed },
                     { 2, Key(3), RunEnd::Failed } } },
       20);
  const auto late = [&](int aMs) {
    return LateTasksOf(table_.KnownLateOrders(At(aMs)));
  };
  EXPECT_EQ(late(20),
            (LateTasks{ { Key(2).task_, LateOrderState::OnlyHere } }));
  Wait(30, 700);
  EXPECT_EQ(late(700), (LateTasks{ { Key(2).task_, LateOrderState::Held } }));
  Wait(710, 12010);
  EXPECT_TRUE(late(12010).empty());
}

TEST_F(RestartedUpstreamTest, AnExecutorWithAnotherIdEndsWhatASilentOneLeft)
{
  Wait(20, 1700);
  Reports();
  UpstreamInfo other = Upstream(2);
  other.id_ = "u2";
  table_.OnUpstream(other, At(1710));
  EXPECT_EQ(Reports().size(), 2U) << "it refuses orders for the other id";
  EXPECT_EQ(table_.Size(), 0U);
}

// The entry may send it before it hears that the task is held. The restarted
// upstream may have begun the late order in the moment of its start.
TEST_F(RestartedUpstreamTest, AHeldTaskIsNotStartedAfterARestart)
{
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Failed } } }, 20);
  ASSERT_EQ(LateTasksOf(table_.KnownLateOrders(At(20))),
            (LateTasks{ { Key(2).task_, LateOrderState::OnlyHere } }));
  table_.OnUpstream(Upstream(2), At(30));
  ASSERT_EQ(LateTasksOf(table_.KnownLateOrders(At(30))).at(Key(2).task_),
            LateOrderState::Held);
  StartRuns orders = Orders(1);
  orders.runs_ = { { 2, 2 } };
  table_.OnOrders(kOwner, orders, At(31));
  for (const StartRequest& start : table_.TakeStarts(At(31))) {
    EXPECT_NE(start.key_.task_, Key(2).task_)
      << "before the first answer of this incarnation";
  }
}

// A silent upstream may have started again and begun the late order.
TEST_F(RestartedUpstreamTest, AHeldTaskIsNotStartedAtASilentUpstream)
{
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Failed } } }, 20);
  Wait(30, 200);
  ASSERT_EQ(LateTasksOf(table_.KnownLateOrders(At(205))).at(Key(2).task_),
            LateOrderState::Held);
  StartRuns orders = Orders(1);
  orders.runs_ = { { 2, 2 } };
  table_.OnOrders(kOwner, orders, At(205));
  for (const StartRequest& start : table_.TakeStarts(At(205))) {
    EXPECT_NE(start.key_.task_, Key(2).task_);
  }
}

// The entry holds a task as long as listed, also once the sidecar is lost.
TEST_F(RunTableTest, ATaskOfAStoredJobIsNotListedForLonger)
{
  table_.SetRegistered();
  table_.OnTakeOver(kOwner, { 1, kAuthority }, At(0));
  StartRuns orders = Orders(1);
  orders.term_ = 1;
  table_.OnOrders(kOwner, orders, At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
  table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(250) }, At(1));
  EXPECT_LE(table_.TakeLateOrders(At(2)).orders_.at(0).left_, Millis(6500));
  table_.OnUpstream(Upstream(2), At(10));
  EXPECT_LE(table_.KnownLateOrders(At(10)).orders_.at(0).left_, Millis(6500));
}

// A task of a stored job must not wait for longer while upstreams are free.
TEST_F(RunTableTest, AnUnansweredOrderOfAStoredJobIsGivenUpEarlier)
{
  table_.SetRegistered();
  table_.OnTakeOver(kOwner, { 1, kAuthority }, At(0));
  StartRuns orders = Orders(1);
  orders.term_ = 1;
  table_.OnOrders(kOwner, orders, At(0));
  ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
  table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(250) }, At(1));
  Wait(10, 6000);
  EXPECT_TRUE(Reports().empty());
  Wait(6001, 6001);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

TEST_F(RestartedUpstreamTest, AnExecutorWithAnotherIdTakesNoneOfTheOrders)
{
  ASSERT_TRUE(table_.OnUpstreamReplaced(
    table_.BeginPoll(), Replacement::OtherId, At(10)));
  EXPECT_EQ(Reports().size(), 4U);
  EXPECT_EQ(table_.Size(), 0U);
}

} // namespace
} // namespace cornelfront
