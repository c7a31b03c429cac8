/// \file
/// Upstreams that start again, and orders that are carried out late.

#include "policy/run_table_fixture_test.h"

#include <algorithm>
#include <map>

namespace cornelfront::run_table_test {
namespace {

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

  /// A poll shows that run 2 has not begun; its order is sent again and
  /// answered.
  void RepeatRun2()
  {
    Poll({ .running_ = { { Key(0) }, { Key(1) } } }, 8);
    ASSERT_EQ(table_.TakeStarts(At(8)).size(), 1U);
    table_.OnStartAnswer(Key(2), StartAnswer::Started, {}, At(9));
  }

  /// A poll at 300 ms shows that the order of run 2 is void; the answer to that
  /// of run 3 is known.
  void VoidOrderOfRun2()
  {
    table_.OnStartAnswer(Key(3), StartAnswer::Started, {}, At(9));
    Wait(20, 290);
    Poll({ .clock_ = { Millis(300) }, .running_ = { { Key(1) }, { Key(3) } } },
         300);
  }

  /// Expects that these runs are taken as lost at \p aLeaseOverMs, and none
  /// before.
  void ExpectLost(const std::vector<RunKey>& aRuns,
                  int aFirstMs,
                  int aLeaseOverMs = kLeaseOverMs)
  {
    Wait(aFirstMs, aLeaseOverMs - 1);
    EXPECT_TRUE(Reports().empty()) << "its process may live on";
    Wait(aLeaseOverMs, aLeaseOverMs);
    std::vector<RunKey> lost;
    for (const RunReport& report : Reports()) {
      EXPECT_EQ(report.end_, RunEnd::Lost);
      lost.push_back(report.key_);
    }
    EXPECT_EQ(lost, aRuns);
  }

  /// Ordered at 6 ms: 250 ms, 31 for a slow clock, and lapseDelay_.
  static constexpr int kLeaseOverMs = 6 + 250 + 31 + 100;

  std::vector<RunKey> started_;
};

TEST_F(RestartedUpstreamTest, ARunThatItMayHaveTakenIsNotReportedAsLost)
{
  ASSERT_EQ(started_, (std::vector<RunKey>{ Key(1), Key(2), Key(3) }));
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  EXPECT_TRUE(Reports().empty());
  EXPECT_TRUE(table_.TakeStarts(At(10)).empty());
  table_.OnUpstream(Upstream(2), At(20));
  EXPECT_TRUE(Reports().empty());
  EXPECT_TRUE(table_.TakeStarts(At(20)).empty()) << "ordered once";
  table_.OnStartAnswer(Key(3), StartAnswer::Unknown, { Millis(250) }, At(21));
  EXPECT_TRUE(table_.TakeStarts(At(21)).empty()) << "ordered once";
  Poll({ .running_ = { { Key(1) }, { Key(3) } } }, 30);
  EXPECT_FALSE(table_.HasOrphans());
  EXPECT_TRUE(Reports().empty());
  Poll(
    { .running_ = { { Key(3) } }, .ended_ = { { 1, Key(1), RunEnd::Done } } },
    40);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Done);
  EXPECT_EQ(table_.Size(), 3U);
  // The first one had listed run 0, and the second one has not begun run 2.
  ExpectLost({ Key(0), Key(2) }, 50);
  EXPECT_EQ(table_.Size(), 1U);
}

TEST_F(RestartedUpstreamTest, AHeartbeatDoesNotEndARunThatItMayHaveTaken)
{
  table_.OnUpstream(Upstream(2), At(10));
  EXPECT_TRUE(Reports().empty());
  Poll({ .running_ = { { Key(1) }, { Key(2) } } }, 30);
  ExpectLost({ Key(0), Key(3) }, 40);
  EXPECT_EQ(table_.Size(), 2U);
}

// The order that had no answer may arrive after its repetition was carried out.
TEST_F(RestartedUpstreamTest, ARepeatedOrderMayBeTakenAlthoughTheRunWasListed)
{
  RepeatRun2();
  Poll({ .running_ = { { Key(0) }, { Key(1) }, { Key(2) } } }, 20);
  table_.OnUpstream(Upstream(2), At(30));
  Poll({ .running_ = { { Key(2) } } }, 40);
  constexpr int kRepeatedMs = 2;
  ExpectLost({ Key(0), Key(1), Key(3) }, 50, kLeaseOverMs + kRepeatedMs);
  EXPECT_EQ(table_.Size(), 1U);
}

TEST_F(RestartedUpstreamTest, SilenceEndsOnlyRunsWhoseOrdersWereAnswered)
{
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  ExpectLost({ Key(0) }, 20);
  Wait(400, 1610);
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
  EXPECT_TRUE(Reports().empty()) << "its process may live on";
  table_.OnUpstream(Upstream(2), At(20));
  Poll({ .running_ = { { Key(2) } } }, 30);
  EXPECT_FALSE(table_.HasOrphans());
  EXPECT_TRUE(Reports().empty()) << "its process may still live on";
  PollOften({ .running_ = { { Key(2) } } }, 80, 380);
  EXPECT_TRUE(Reports().empty());
  PollOften({ .running_ = { { Key(2) } } }, 430, 480);
  EXPECT_EQ(Reports().size(), 3U) << "runs 0, 1 and 3: its lease is over";
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
  const LateTasks usedUp{ { Key(2).task_, LateOrderState::Held },
                          { Key(3).task_, LateOrderState::OnlyHere } };
  EXPECT_EQ(late(1730), usedUp) << "run 2 would need another number";
  Wait(1740, 12100);
  EXPECT_EQ(late(12100).size(), 2U) << "the upstream is silent";
  Poll({}, 12110);
  EXPECT_TRUE(late(12110).empty());
}

TEST_F(RestartedUpstreamTest, TellsChangesOfLateOrdersOnce)
{
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(10))),
            (LateTasks{ { Key(2).task_, LateOrderState::Held } }));
  EXPECT_TRUE(table_.TakeLateOrders(At(11)).orders_.empty());
  VoidOrderOfRun2();
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(300))),
            (LateTasks{ { Key(2).task_, LateOrderState::OnlyHere } }));
  Wait(310, 400);
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(405))),
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
  RepeatRun2();
  table_.OnStartAnswer(Key(3), StartAnswer::Started, {}, At(9));
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Failed },
                     { 2, Key(3), RunEnd::Failed } } },
       20);
  const auto late = [&](int aMs) {
    return LateTasksOf(table_.KnownLateOrders(At(aMs)));
  };
  EXPECT_EQ(late(20), (LateTasks{ { Key(2).task_, LateOrderState::Held } }))
    << "its next run would need another number";
  Wait(30, 700);
  EXPECT_EQ(late(700), (LateTasks{ { Key(2).task_, LateOrderState::Held } }));
  Wait(710, 12010);
  EXPECT_EQ(late(12010), (LateTasks{ { Key(2).task_, LateOrderState::Held } }))
    << "the upstream is silent";
  Poll({}, 12020);
  EXPECT_TRUE(late(12020).empty());
}

/// The time of the orders, which were sent at 6 ms, ends while the upstream is
/// down.
class SilenceAtTheEndOfAnOrderTest : public RestartedUpstreamTest
{
protected:
  LateTasks Late(int aMs) const
  {
    return LateTasksOf(table_.KnownLateOrders(At(aMs)));
  }

  const LateTasks held_{ { Key(2).task_, LateOrderState::Held } };
};

// TwoRuns, UpstreamRestartsWhileAnswersAreLost, seed 8076.
TEST_F(SilenceAtTheEndOfAnOrderTest, ItIsNotSettledBeforeTheUpstreamAnswers)
{
  VoidOrderOfRun2();
  PollOften({ .running_ = { { Key(1) }, { Key(3) } } }, 310, 11900);
  ASSERT_EQ(Late(11900).at(Key(2).task_), LateOrderState::OnlyHere);
  table_.TakeLateOrders(At(11900));
  Wait(11910, 14000);
  EXPECT_EQ(Late(14000), held_);
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(14000))), held_);
  table_.OnUpstream(Upstream(2), At(14010));
  EXPECT_EQ(Late(14010), held_);
  Poll({ .running_ = { { Key(2) } } }, 14020);
  EXPECT_EQ(Late(14020), held_) << "the upstream began it at its start";
  Poll({ .ended_ = { { 1, Key(2), RunEnd::Stopped } } }, 14030);
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(14030))),
            (LateTasks{ { Key(2).task_, LateOrderState::Settled } }));
}

TEST_F(SilenceAtTheEndOfAnOrderTest, APollThatWasSentBeforeProvesNothing)
{
  VoidOrderOfRun2();
  Wait(310, 12000);
  const uint64_t before = table_.BeginPoll();
  Wait(12010, 12010);
  table_.OnPollResult(before, { .clock_ = { Millis(12000) } }, At(12010));
  EXPECT_EQ(Late(12010).count(Key(2).task_), 1U);
  Poll({ .clock_ = { Millis(12020) } }, 12020);
  EXPECT_TRUE(Late(12020).empty());
}

// Guards against TWICE: an upstream was given up for good 4 s after the end of
// an order, started again 4.5 s after it and began the order.
TEST_F(SilenceAtTheEndOfAnOrderTest, TheLongestRestartIsWaitedFor)
{
  VoidOrderOfRun2();
  PollOften({ .running_ = { { Key(1) }, { Key(3) } } }, 310, 11960);
  table_.TakeLateOrders(At(11960));
  Wait(11970, 16500);
  EXPECT_EQ(Late(16500), held_);
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(16500))), held_);
}

TEST_F(SilenceAtTheEndOfAnOrderTest, AnUpstreamThatIsGoneForGoodHoldsNoTask)
{
  VoidOrderOfRun2();
  Wait(310, 18000);
  EXPECT_EQ(Late(18000), held_);
  table_.TakeLateOrders(At(18000));
  Wait(18010, 18010);
  EXPECT_TRUE(Late(18010).empty());
  EXPECT_EQ(LateTasksOf(table_.TakeLateOrders(At(18010))),
            (LateTasks{ { Key(2).task_, LateOrderState::Settled } }));
}

// Its entry may be lost, and another one start the task meanwhile.
TEST_F(SilenceAtTheEndOfAnOrderTest, ARunThatGoesOnIsListedAsWell)
{
  RepeatRun2();
  table_.OnStartAnswer(Key(3), StartAnswer::Started, {}, At(9));
  PollOften({ .running_ = { { Key(2) } } }, 20, 12000);
  ASSERT_EQ(Late(12000), held_);
  Wait(12010, 12400);
  EXPECT_EQ(Late(12400), held_);
  table_.OnUpstream(Upstream(2), At(12410));
  EXPECT_EQ(Late(12410), held_);
  Poll({}, 12420);
  EXPECT_TRUE(Late(12420).empty());
}

TEST_F(SilenceAtTheEndOfAnOrderTest, WhatAPollHasClosedStaysClosed)
{
  RepeatRun2();
  table_.OnStartAnswer(Key(3), StartAnswer::Started, {}, At(9));
  PollOften({ .running_ = { { Key(2) } } }, 20, 12200);
  EXPECT_TRUE(Late(12200).empty());
  Reports();
  Wait(12210, 14000);
  ASSERT_EQ(Reports().size(), 1U) << "the upstream is silent";
  EXPECT_TRUE(Late(14000).empty());
}

TEST_F(RestartedUpstreamTest, AnExecutorWithAnotherIdEndsWhatASilentOneLeft)
{
  Wait(20, 1700);
  Reports();
  UpstreamInfo other = Upstream(2);
  other.id_ = "u2";
  table_.OnUpstream(other, At(1710));
  EXPECT_TRUE(Reports().empty()) << "a heartbeat proves nothing";
  Poll({}, 1711);
  EXPECT_EQ(Reports().size(), 2U) << "it refuses orders for the other id";
  EXPECT_TRUE(table_.KnownLateOrders(At(1711)).orders_.empty());
  EXPECT_EQ(table_.Size(), 0U);
}

// The entry may send it before it hears that the task is held. The restarted
// upstream may have begun the late order in the moment of its start.
TEST_F(RestartedUpstreamTest, AHeldTaskIsNotStartedAfterARestart)
{
  VoidOrderOfRun2();
  ASSERT_EQ(LateTasksOf(table_.KnownLateOrders(At(300))),
            (LateTasks{ { Key(2).task_, LateOrderState::OnlyHere } }));
  table_.OnUpstream(Upstream(2), At(310));
  ASSERT_EQ(LateTasksOf(table_.KnownLateOrders(At(310))).at(Key(2).task_),
            LateOrderState::Held);
  StartRuns orders = Orders(1);
  orders.runs_ = { { 2, 2 } };
  table_.OnOrders(kOwner, orders, At(311));
  for (const StartRequest& start : table_.TakeStarts(At(311))) {
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

/// The order to start a run of a stored job has no answer.
class UnansweredStoredOrderTest : public RunTableTest
{
protected:
  void SetUp() override
  {
    table_.SetRegistered();
    table_.OnTakeOver(kOwner, { 1, kAuthority }, At(0));
    StartRuns orders = Orders(1);
    orders.term_ = 1;
    table_.OnOrders(kOwner, orders, At(0));
    ASSERT_EQ(table_.TakeStarts(At(0)).size(), 1U);
    table_.OnStartAnswer(Key(0), StartAnswer::Unknown, { Millis(250) }, At(1));
  }
};

// The entry holds a task as long as listed, also once the sidecar is lost.
TEST_F(UnansweredStoredOrderTest, ATaskOfAStoredJobIsNotListedForLonger)
{
  EXPECT_LE(table_.TakeLateOrders(At(2)).orders_.at(0).left_, Millis(6500));
  table_.OnUpstream(Upstream(2), At(10));
  EXPECT_LE(table_.KnownLateOrders(At(10)).orders_.at(0).left_, Millis(6500));
}

// A task of a stored job must not wait for longer while upstreams are free.
TEST_F(UnansweredStoredOrderTest, AnUnansweredOrderOfAStoredJobIsGivenUpEarlier)
{
  Wait(10, 6000);
  EXPECT_TRUE(Reports().empty());
  Wait(6001, 6001);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

/// The run that such an order began has failed, so that its number is used up,
/// and the upstream falls silent.
class SilentStoredOrderTest : public UnansweredStoredOrderTest
{
protected:
  /// It last answers at this time.
  void FailAndFallSilent(int aMs)
  {
    const int failedAt = std::min(aMs - 50, 1500);
    PollOften({ .running_ = { { Key(0) } } }, 10, failedAt);
    PollOften(
      { .ended_ = { { 1, Key(0), RunEnd::Failed } } }, failedAt + 10, aMs);
    // Links tell of changes at once, and the entry waits as it was told last.
    for (int ms = aMs; ms <= aMs + kLongest; ms += 10) {
      Wait(ms, ms);
      Tell(ms);
    }
  }

  /// The entry is told what has changed.
  void Tell(int aMs)
  {
    for (const LateOrder& told : table_.TakeLateOrders(At(aMs)).orders_) {
      const bool settled = told.state_ == LateOrderState::Settled;
      (settled ? settledAt_ : heldUntil_) =
        At(aMs) + (settled ? Millis(0) : told.left_);
    }
  }

  /// Longer than any task is held after the last answer, in milliseconds.
  static constexpr int kLongest = 8000;
  /// What the entry was told last; not set if it was told nothing of the kind.
  MonoTime heldUntil_;
  MonoTime settledAt_;
};

// Guards against TWICE: the executor carries the order out 9.1 s after it was
// sent, as it has started again after 4.4 s, beside the next run of the task.
TEST_F(SilentStoredOrderTest, ARestartThatMayBeginTheOrderIsWaitedFor)
{
  FailAndFallSilent(4500);
  EXPECT_GT(heldUntil_, At(10400));
  EXPECT_GT(settledAt_, At(10400));
}

/// The parameter is the time of the last answer, in milliseconds.
class GoneStoredUpstreamTest
  : public SilentStoredOrderTest
  , public testing::WithParamInterface<int>
{};

// Guards against LOST: a task may wait for 7 s after the loss of an upstream.
TEST_P(GoneStoredUpstreamTest, HoldsNoTask)
{
  FailAndFallSilent(GetParam());
  EXPECT_GE(settledAt_, At(GetParam())) << "it was held at first";
  EXPECT_LE(settledAt_, At(GetParam() + 6500));
  EXPECT_LE(heldUntil_, At(GetParam() + 6600))
    << "if the sidecar is lost as well";
}

INSTANTIATE_TEST_SUITE_P(RunTable,
                         GoneStoredUpstreamTest,
                         testing::Values(100, 500, 3000, 5900));

// A task waits no longer while its upstream answers.
TEST_F(SilentStoredOrderTest, AnAnswerEndsTheWait)
{
  FailAndFallSilent(6100);
  EXPECT_LE(settledAt_, At(6100));
  EXPECT_EQ(heldUntil_, MonoTime()) << "it is not listed any more";
}

// Nobody has answered under the other id, so the executor may yet start again
// under its own.
TEST_F(RestartedUpstreamTest, AnIdThatWasOnlyAnnouncedEndsNoOrder)
{
  ASSERT_TRUE(
    table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::SameId, At(10)));
  Reports();
  const auto late = LateTasksOf(table_.KnownLateOrders(At(10)));
  ASSERT_FALSE(late.empty());
  UpstreamInfo other = Upstream(2);
  other.id_ = "u2";
  table_.OnUpstream(other, At(20));
  ASSERT_TRUE(table_.OnUpstreamReplaced(
    table_.BeginPoll(), Replacement::OtherId, At(21)));
  EXPECT_TRUE(Reports().empty());
  EXPECT_EQ(LateTasksOf(table_.KnownLateOrders(At(21))), late);
}

// Of two open polls, one has shown that another incarnation answers.
TEST_F(RestartedUpstreamTest, AnAnswerThatNoIncarnationIsKnownForIsIgnored)
{
  table_.OnUpstream(Upstream(2), At(10));
  const uint64_t first = table_.BeginPoll();
  ASSERT_TRUE(table_.OnUpstreamReplaced(
    table_.BeginPoll(), Replacement::OtherId, At(11)));
  EXPECT_FALSE(table_.OnPollResult(first, {}, At(12)));
  EXPECT_TRUE(Reports().empty());
}

TEST_F(RestartedUpstreamTest, AnExecutorWithAnotherIdTakesNoneOfTheOrders)
{
  ASSERT_TRUE(table_.OnUpstreamReplaced(
    table_.BeginPoll(), Replacement::OtherId, At(10)));
  EXPECT_TRUE(table_.KnownLateOrders(At(10)).orders_.empty());
  ExpectLost({ Key(0), Key(1), Key(2), Key(3) }, 20);
  EXPECT_EQ(table_.Size(), 0U);
}

} // namespace
} // namespace cornelfront::run_table_test
