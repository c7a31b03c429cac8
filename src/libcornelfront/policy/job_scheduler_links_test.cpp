/// \file
/// Sidecars that are lost, linked again or replaced, and what they report then.

#include "policy/job_scheduler_fixture_test.h"

namespace cornelfront::job_scheduler_test {
namespace {

// Whether the order of the lost run was answered is not known, so it may be
// carried out 12 s after it was sent, which is 1.5 s after its receipt.
TEST_F(JobSchedulerTest, RestartsRunsOfALostSidecarOnlyAfterTheyHaveEnded)
{
  scheduler_.Submit(1, Job(), Queue(), At(20000), At(0));
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  for (int ms = 100; ms <= 13500; ms += 100) {
    scheduler_.Tick(At(ms));
    EXPECT_TRUE(Take().runs_.empty()) << ms;
  }
  for (int ms = 13600; ms <= 13800; ms += 100) {
    scheduler_.Tick(At(ms));
  }
  const SortedActions again = Take();
  ASSERT_EQ(again.Runs(), 1U);
  EXPECT_NE(again.runs_[0].sidecar_, sent.sidecar_);
}

TEST_F(JobSchedulerTest, RestartsRunsThatAReplacementSidecarReportsMissing)
{
  constexpr MemberId kReplacement{ 9 };
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnSidecarReplaced(sent.sidecar_, kReplacement, At(50));
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnSidecarLinked(kReplacement, "z", At(60));
  scheduler_.OnLateOrders(kReplacement, { .all_ = true }, At(60));
  scheduler_.OnHeldRuns(kReplacement, {}, RunEnd::Lost, At(60));
  EXPECT_EQ(Take().Runs(), 0U) << "not elsewhere";
  scheduler_.OnReports(kReplacement, { .upstream_ = Idle("u3") }, At(70));
  const SortedActions again = Take();
  ASSERT_EQ(again.Runs(), 1U);
  EXPECT_EQ(again.runs_[0].sidecar_, kReplacement);
  const RunOrder& order = again.runs_[0].orders_.runs_[0];
  EXPECT_EQ(order.run_, 2U);
  EXPECT_EQ(order.upstreamNumber_, 1U)
    << "with an order of the lost process it would make two runs";
}

TEST_F(JobSchedulerTest, CountsAnEndReportedByAReplacementSidecar)
{
  constexpr MemberId kReplacement{ 9 };
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnSidecarReplaced(sent.sidecar_, kReplacement, At(50));
  scheduler_.OnSidecarLinked(kReplacement, "z", At(60));
  HeldRuns held;
  held.reports_.push_back(
    { .key_ = { sent.orders_.Task(sent.orders_.runs_[0]), 1 },
      .end_ = RunEnd::Done,
      .unacknowledged_ = true,
      .found_ = true });
  scheduler_.OnHeldRuns(kReplacement, held, RunEnd::Lost, At(60));
  EXPECT_EQ(Take().answers_.at(0).outcome_, JobOutcome::Completed);
}

// The sidecar found the end of a run of an earlier life of some entry; the one
// that was ordered here goes on under another number.
TEST_F(JobSchedulerTest, AnEndThatAPredecessorLeftEndsNoRunOfItsSuccessor)
{
  for (const RunEnd end : { RunEnd::Failed, RunEnd::Done }) {
    const int begin = end == RunEnd::Failed ? 0 : 1000;
    Submit(Job(), begin, begin + 1);
    const SendRuns sent = Take().runs_.at(0);
    const RunKey key{ sent.orders_.Task(sent.orders_.runs_[0]),
                      sent.orders_.runs_[0].run_ };
    HeldRuns held;
    held.runs_ = { key };
    held.reports_ = {
      { .key_ = key, .end_ = end, .unacknowledged_ = true, .found_ = true }
    };
    scheduler_.BecomeLeader(1, At(begin + 10));
    scheduler_.OnTakenOver(sent.sidecar_, held, At(begin + 10));
    SortedActions actions = Take();
    EXPECT_EQ(actions.Runs(), 0U);
    EXPECT_TRUE(actions.answers_.empty());
    EXPECT_TRUE(actions.stops_.empty());
    End(sent, RunEnd::Done, begin + 500);
    actions = Take();
    ASSERT_EQ(actions.answers_.size(), 1U);
    EXPECT_EQ(actions.answers_[0].outcome_, JobOutcome::Completed);
  }
}

// The upstream has the present run under another number, of which the lost
// sidecar had told.
TEST_F(JobSchedulerTest, AnOldEndDoesNotEndARunThatItsSidecarHasRenumbered)
{
  constexpr MemberId kReplacement{ 9 };
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  const JobTaskId task = sent.orders_.Task(sent.orders_.runs_[0]);
  const LateOrders listed{
    .orders_ = { { task, LateOrderState::Held, Millis(12000), 101 } }
  };
  scheduler_.OnLateOrders(sent.sidecar_, listed, At(5));
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnSidecarReplaced(sent.sidecar_, kReplacement, At(50));
  scheduler_.OnSidecarLinked(kReplacement, "z", At(60));
  HeldRuns held;
  held.reports_.push_back({ .key_ = { task, 1 },
                            .end_ = RunEnd::Done,
                            .unacknowledged_ = true,
                            .found_ = true });
  scheduler_.OnHeldRuns(kReplacement, held, RunEnd::Lost, At(60));
  SortedActions actions = Take();
  EXPECT_TRUE(actions.answers_.empty());
  EXPECT_EQ(actions.Runs(), 0U) << "run 101 may go on";
}

/// An end that a sidecar has found at its upstream.
RunReport
FoundEnd(uint32_t aRun, RunEnd aEnd = RunEnd::Done)
{
  return { .key_ = { { .job_ = kJob }, aRun },
           .end_ = aEnd,
           .unacknowledged_ = true,
           .found_ = true };
}

// The sidecar may be lost before it has sent the order; the next one finds the
// same end, which could be that of the order by its name.
TEST_F(JobSchedulerTest, NoOrderGetsTheNameOfAnEndThatWasFoundBefore)
{
  constexpr MemberId kReplacement{ 9 };
  scheduler_.OnReports(
    kFirst, { .reports_ = { FoundEnd(1) }, .upstream_ = Idle("u1") }, At(1));
  Submit(Job(), 2);
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnSidecarReplaced(sent.sidecar_, kReplacement, At(50));
  scheduler_.OnSidecarLinked(kReplacement, "z", At(60));
  HeldRuns held;
  held.reports_ = { FoundEnd(1) };
  scheduler_.OnHeldRuns(kReplacement, held, RunEnd::Lost, At(60));
  EXPECT_TRUE(Take().answers_.empty());
}

TEST_F(JobSchedulerTest, NoLaterRunOfAJobGetsTheNameOfAnEndThatWasFound)
{
  Submit(Job());
  SendRuns sent = Take().runs_.at(0);
  EXPECT_EQ(sent.orders_.runs_[0].run_, 1U);
  scheduler_.OnReports(sent.sidecar_,
                       { .reports_ = { FoundEnd(2) }, .upstream_ = Idle("u1") },
                       At(10));
  End(sent, RunEnd::NotStarted, 20);
  sent = Take().runs_.at(0);
  EXPECT_EQ(sent.orders_.runs_[0].run_, 3U);
  scheduler_.OnReports(sent.sidecar_,
                       { .reports_ = { FoundEnd(7) }, .upstream_ = Idle("u1") },
                       At(30));
  scheduler_.OnClientDisconnected(1, At(40));
  Submit(Job(), 50, 2);
  EXPECT_EQ(Take().runs_.at(0).orders_.runs_[0].run_, 8U);
}

TEST_F(JobSchedulerTest, ResendsOrdersThatDidNotArrive)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  Link(sent.sidecar_, Idle("u1"), 50);
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobSchedulerTest, StopsARunWhoseClientLeftWhileTheLinkWasLost)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnClientDisconnected(1, At(20));
  Take();
  scheduler_.OnSidecarLinked(sent.sidecar_, "z", At(50));
  scheduler_.OnHeldRuns(
    sent.sidecar_,
    { .runs_ = { { sent.orders_.Task(sent.orders_.runs_[0]), 1 } } },
    RunEnd::NotStarted,
    At(50));
  EXPECT_EQ(Take().stops_.size(), 1U);
}

// The client has left and returned while the sidecar of its first submission
// was lost.
TEST_F(JobSchedulerTest, TheEndOfAnEarlierSubmissionsRunStartsNothing)
{
  Submit(Job());
  const SendRuns first = Take().runs_.at(0);
  scheduler_.OnSidecarLost(first.sidecar_, At(10));
  scheduler_.OnClientDisconnected(1, At(200));
  // The sidecar tells that no order of it may be carried out late.
  scheduler_.OnLateOrders(first.sidecar_, { .all_ = true }, At(1500));
  Submit(Job(), 1500, 2);
  const SendRuns second = Take().runs_.at(0);
  ASSERT_NE(second.sidecar_, first.sidecar_);
  EXPECT_GT(second.orders_.runs_[0].run_, first.orders_.runs_[0].run_);
  for (int ms = 1600; ms <= 3000; ms += 100) {
    scheduler_.Tick(At(ms));
    EXPECT_EQ(Take().Runs(), 0U) << ms;
  }
}

// A sidecar repeats the reports of the last seconds when it is linked again.
class RepeatedReportTest : public JobSchedulerTest
{
protected:
  /// Ends the run of the first task that has just been sent.
  void EndFirstTask(RunEnd aEnd, int aMs)
  {
    for (const SendRuns& send : Take().runs_) {
      for (size_t i = 0; i < send.orders_.runs_.size(); ++i) {
        if (send.orders_.runs_[i].index_ == 0) {
          End(send, aEnd, aMs, i);
        }
      }
    }
  }

  /// The job comes again, and its sidecar repeats what it said of run 2 of the
  /// first task.
  void SubmitAgainAndRepeat(RunEnd aEnd)
  {
    Submit(Job(), 1400, 2);
    const SendRuns sent = Take().runs_.at(0);
    const JobTaskId task = sent.orders_.Task(sent.orders_.runs_[0]);
    const HeldRuns held{ .runs_ = { { task, sent.orders_.runs_[0].run_ } },
                         .reports_ = {
                           { .key_ = { task, 2 }, .end_ = aEnd } } };
    scheduler_.OnHeldRuns(sent.sidecar_, held, RunEnd::NotStarted, At(1500));
    SortedActions actions = Take();
    EXPECT_EQ(actions.Runs(), 0U);
    EXPECT_TRUE(actions.answers_.empty());
    End(sent, RunEnd::Done, 1600);
    EXPECT_EQ(Take().answers_.size(), 1U);
  }
};

TEST_F(RepeatedReportTest, StartsNoSecondRunOfAJobThatWasGivenUp)
{
  Submit(Job(2));
  for (const int ms : { 10, 20, 30 }) {
    EndFirstTask(ms < 30 ? RunEnd::LeaseExpired : RunEnd::Done, ms);
  }
  scheduler_.OnClientDisconnected(1, At(100));
  Take();
  SubmitAgainAndRepeat(RunEnd::LeaseExpired);
}

TEST_F(RepeatedReportTest, CompletesNoJobThatComesAgain)
{
  Submit(Job());
  EndFirstTask(RunEnd::LeaseExpired, 10);
  EndFirstTask(RunEnd::Done, 20);
  ASSERT_EQ(Take().answers_.size(), 1U);
  Submit(Job(), 1200, 3);
  scheduler_.OnClientDisconnected(3, At(1300));
  Take();
  SubmitAgainAndRepeat(RunEnd::Done);
}

TEST_F(JobSchedulerTest, AReplacedSidecarIsNotTakenAsLostBeforeItIsLinked)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  constexpr MemberId kReplacement{ 99 };
  scheduler_.OnSidecarReplaced(sent.sidecar_, kReplacement, At(10));
  scheduler_.Tick(At(20));
  EXPECT_EQ(Take().Runs(), 0U);
}

TEST_F(JobSchedulerTest, RunsThatASidecarStillHoldsContinue)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnSidecarLinked(sent.sidecar_, "z", At(50));
  scheduler_.OnHeldRuns(
    sent.sidecar_,
    { .runs_ = { { sent.orders_.Task(sent.orders_.runs_[0]), 1 } } },
    RunEnd::NotStarted,
    At(50));
  EXPECT_TRUE(Take().runs_.empty());
  End(sent, RunEnd::Done, 100);
  EXPECT_EQ(Take().answers_.at(0).outcome_, JobOutcome::Completed);
}

// Its first link may end before it has told which runs it holds.
TEST_F(JobSchedulerTest, AReplacementThatIsLostKeepsWhatItsPredecessorLeft)
{
  constexpr MemberId kReplacement{ 9 };
  scheduler_.Submit(1, Job(), Queue(), At(20000), At(0));
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  scheduler_.OnSidecarReplaced(sent.sidecar_, kReplacement, At(50));
  scheduler_.OnSidecarLost(kReplacement, At(60));
  for (int ms = 100; ms <= 3000; ms += 100) {
    scheduler_.Tick(At(ms));
    EXPECT_EQ(Take().Runs(), 0U) << ms;
  }
  // The same process links again; its list is of its own orders.
  scheduler_.OnLateOrders(kReplacement, { .all_ = true }, At(3010));
  EXPECT_EQ(Take().Runs(), 0U) << "not elsewhere";
}

// The client has left and returned. The order of its first submission may have
// had no answer, as any run that was lost with its sidecar.
TEST_F(JobSchedulerTest, AnAbandonedRunOfALostSidecarKeepsItsTask)
{
  scheduler_.Submit(1, Job(), Queue(), At(20000), At(0));
  const SendRuns first = Take().runs_.at(0);
  scheduler_.OnSidecarLost(first.sidecar_, At(10));
  scheduler_.OnClientDisconnected(1, At(200));
  Take();
  scheduler_.Submit(2, Job(), Queue(), At(21500), At(600));
  for (int ms = 1000; ms <= 12000; ms += 500) {
    scheduler_.Tick(At(ms));
    for (const SendRuns& sent : Take().runs_) {
      EXPECT_EQ(sent.sidecar_, first.sidecar_) << ms;
    }
  }
}

} // namespace
} // namespace cornelfront::job_scheduler_test
