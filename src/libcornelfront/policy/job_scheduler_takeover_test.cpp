/// \file
/// Stored jobs: leaders, their authority, what they take over, and ends that
/// are kept until they are saved.

#include "policy/job_scheduler_fixture_test.h"

#include <optional>
#include <set>

namespace cornelfront::job_scheduler_test {
namespace {

TEST_F(StoredJobTest, AcknowledgesEndsOnlyWhenSaved)
{
  Restore(Job(2));
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 2U);
  EXPECT_EQ(sent.runs_[0].orders_.term_, 1U);
  const MemberId sidecar = sent.runs_[0].sidecar_;
  const RunKey key{ sent.runs_[0].orders_.Task(sent.runs_[0].orders_.runs_[0]),
                    1 };
  Report(sidecar, key, RunEnd::Done, 10);
  auto saves = Saves();
  ASSERT_EQ(saves.size(), 1U);
  EXPECT_FALSE(saves[0].outcome_);
  ASSERT_EQ(saves[0].ends_.size(), 1U);
  // Reported again before it is saved: not acknowledged.
  Report(sidecar, key, RunEnd::Done, 20);
  EXPECT_TRUE(scheduler_.TakeActions().empty());
  scheduler_.OnSaved(saves[0].ends_);
  const auto actions = scheduler_.TakeActions();
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SendAcknowledgement>(actions[0]));
}

TEST_F(StoredJobTest, DoesNotRerunFinishedTasks)
{
  Restore(Job(2), { { { .done_ = true, .endedRun_ = 1 }, {} } });
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_EQ(sent.runs_[0].orders_.runs_[0].index_, 1U);
}

TEST_F(StoredJobTest, JobsOfAnEarlierLeaderWaitUntilItsRunsAreKnown)
{
  scheduler_.SetTakingOver(true, At(0));
  Restore(Job(), {}, true);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnTakenOver(kFirst, { .term_ = 1, .runs_ = { key_ } }, At(10));
  scheduler_.SetTakingOver(false, At(20));
  EXPECT_EQ(Take().Runs(), 0U) << "the run goes on";
  Report(kFirst, key_, RunEnd::Done, 30);
  const auto saves = Saves();
  ASSERT_EQ(saves.size(), 1U);
  EXPECT_EQ(saves[0].outcome_, JobOutcome::Completed);
}

TEST_F(StoredJobTest, UnacknowledgedEndsOfAnEarlierLeaderCountOnce)
{
  scheduler_.SetTakingOver(true, At(0));
  // The failure of run 1 is stored already, the end of run 2 is not.
  Restore(Job(), { { { .failedRuns_ = { 1 }, .endedRun_ = 1 } } }, true);
  HeldRuns held{ .term_ = 1 };
  held.reports_.push_back(
    { .key_ = key_, .end_ = RunEnd::Failed, .unacknowledged_ = true });
  scheduler_.OnTakenOver(kFirst, held, At(10));
  EXPECT_TRUE(Saves().empty());
  Report(kFirst, { key_.task_, 2 }, RunEnd::Done, 20);
  EXPECT_EQ(Saves().at(0).outcome_, JobOutcome::Completed);
}

TEST_F(StoredJobTest, CountsFailuresReportedInAnyOrder)
{
  scheduler_.SetTakingOver(true, At(0));
  Restore(Job(), {}, true);
  const auto handOver = [&](MemberId aSidecar, uint32_t aRun, int aMs) {
    scheduler_.OnTakenOver(aSidecar,
                           { .reports_ = { { .key_ = { key_.task_, aRun },
                                             .end_ = RunEnd::Failed,
                                             .unacknowledged_ = true } } },
                           At(aMs));
  };
  handOver(kSecond, 2, 10);
  EXPECT_FALSE(Saves().at(0).outcome_);
  handOver(kSecond, 2, 15);
  EXPECT_TRUE(Saves().empty()) << "the same end again";
  handOver(kFirst, 1, 20);
  EXPECT_EQ(Saves().at(0).outcome_, JobOutcome::Failed)
    << "both attempts are used up";
}

TEST_F(StoredJobTest, RunsOfSuccessiveLeadersHaveDifferentNumbers)
{
  std::set<uint32_t> numbers;
  for (const int term : { 2, 3 }) {
    const MonoTime now = At(term * 100);
    scheduler_.BecomeFollower(now);
    scheduler_.BecomeLeader(static_cast<uint64_t>(term), now);
    scheduler_.SetAuthority(At(100000), now);
    Restore(Job(), {}, true);
    scheduler_.SetTakingOver(false, now);
    const SortedActions sent = Take();
    ASSERT_EQ(sent.Runs(), 1U);
    numbers.insert(sent.runs_[0].orders_.runs_[0].run_);
  }
  EXPECT_EQ(numbers.size(), 2U) << "no run of term 2 left a trace";
}

TEST_F(StoredJobTest, ARunIsNumberedAfterTheEndsThatWereHandedOver)
{
  scheduler_.SetTakingOver(true, At(0));
  Restore(Job(), {}, true);
  const uint32_t ended = 5000;
  scheduler_.OnTakenOver(kFirst,
                         { .reports_ = { { .key_ = { key_.task_, ended },
                                           .end_ = RunEnd::Failed,
                                           .unacknowledged_ = true } } },
                         At(10));
  scheduler_.SetTakingOver(false, At(20));
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_GT(sent.runs_[0].orders_.runs_[0].run_, ended);
}

TEST_F(StoredJobTest, WithoutAuthorityRunsAreStoppedAndNothingStarts)
{
  Restore(Job());
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  scheduler_.SetAuthority(At(10), At(10));
  EXPECT_EQ(Take().stops_.size(), 1U);
  Report(sent.runs_[0].sidecar_, key_, RunEnd::Stopped, 20);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.SetAuthority(At(4000), At(30));
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(StoredJobTest, AProcessThatStoodStillStartsNothingWithoutAuthority)
{
  scheduler_.SetAuthority(At(4000), At(0));
  Restore(Job());
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  const MemberId sidecar = sent.runs_[0].sidecar_;
  // Woken after the end of its authority; a report comes before any timer.
  Report(sidecar, key_, RunEnd::Stopped, 4000);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnReports(kSecond, { .upstream_ = Idle("u2") }, At(4010));
  scheduler_.Tick(At(4020));
  EXPECT_EQ(Take().Runs(), 0U);
  Restore(Job(1, "00000000000000a2"), {}, false, 4030);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.SetAuthority(At(8000), At(4040));
  EXPECT_EQ(Take().Runs(), 2U);
}

TEST_F(StoredJobTest, TheTimerStopsRunsAtTheEndOfTheAuthority)
{
  scheduler_.SetAuthority(At(4000), At(0));
  Restore(Job());
  ASSERT_EQ(Take().Runs(), 1U);
  scheduler_.Tick(At(3999));
  EXPECT_TRUE(Take().stops_.empty());
  scheduler_.Tick(At(4000));
  EXPECT_EQ(Take().stops_.size(), 1U);
  scheduler_.Tick(At(4025));
  EXPECT_TRUE(Take().stops_.empty()) << "stopped already";
}

TEST_F(StoredJobTest, ALeaderHasNoAuthorityUntilItIsGranted)
{
  scheduler_.BecomeFollower(At(0));
  scheduler_.BecomeLeader(2, At(0));
  scheduler_.SetTakingOver(false, At(0));
  Restore(Job());
  EXPECT_EQ(Take().Runs(), 0U);
}

TEST_F(StoredJobTest, StopsARestartedTaskWhoseEarlierRunWasDone)
{
  Restore(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnSidecarLost(sent.sidecar_, At(10));
  // Until 6500 ms after the loss, the sidecar may still hold the run or its
  // end.
  for (int ms = 100; ms <= 6500; ms += 100) {
    scheduler_.Tick(At(ms));
    EXPECT_EQ(Take().Runs(), 0U) << ms;
  }
  scheduler_.Tick(At(6510));
  ASSERT_EQ(Take().Runs(), 1U);
  Link(sent.sidecar_, Idle("u1"), 6600);
  Report(sent.sidecar_, key_, RunEnd::Done, 6610);
  size_t stops = 0;
  std::optional<JobOutcome> outcome;
  for (const JobAction& action : scheduler_.TakeActions()) {
    stops += std::holds_alternative<SendStops>(action) ? 1 : 0;
    if (const auto* save = std::get_if<SaveJob>(&action)) {
      outcome = save->outcome_;
    }
  }
  EXPECT_GE(stops, 1U);
  EXPECT_EQ(outcome, JobOutcome::Completed);
}

TEST_F(StoredJobTest, AFollowerLeavesTheRunsToTheLeader)
{
  Restore(Job());
  Take();
  scheduler_.BecomeFollower(At(10));
  EXPECT_TRUE(scheduler_.TakeActions().empty());
  EXPECT_EQ(scheduler_.Jobs(), 0U);
}

TEST_F(StoredJobTest, RepeatsAStopThatWasSentWhileTheLinkWasLost)
{
  Restore(Job());
  const MemberId sidecar = Take().runs_.at(0).sidecar_;
  scheduler_.OnSidecarLost(sidecar, At(10));
  scheduler_.SetAuthority(At(20), At(20));
  EXPECT_EQ(Take().stops_.size(), 1U);
  scheduler_.OnSidecarLinked(sidecar, "z", At(100));
  scheduler_.OnHeldRuns(
    sidecar, { .runs_ = { key_ } }, RunEnd::NotStarted, At(100));
  EXPECT_EQ(Take().stops_.size(), 1U);
}

TEST_F(StoredJobTest, StopsARunOfAJobThatWasCancelledWhileTheLinkWasLost)
{
  Restore(Job());
  const MemberId sidecar = Take().runs_.at(0).sidecar_;
  scheduler_.OnSidecarLost(sidecar, At(10));
  scheduler_.Cancel(kJob, At(20));
  EXPECT_EQ(Take().stops_.size(), 1U);
  scheduler_.OnSidecarLinked(sidecar, "z", At(100));
  scheduler_.OnHeldRuns(
    sidecar, { .runs_ = { key_ } }, RunEnd::NotStarted, At(100));
  EXPECT_EQ(Take().stops_.size(), 1U);
}

TEST_F(StoredJobTest, StopsACancelledJobAndAcknowledgesItsEnds)
{
  Restore(Job());
  const MemberId sidecar = Take().runs_.at(0).sidecar_;
  EXPECT_TRUE(scheduler_.Cancel(kJob, At(10)));
  EXPECT_EQ(Take().stops_.size(), 1U);
  Report(sidecar, key_, RunEnd::Stopped, 20);
  EXPECT_TRUE(scheduler_.TakeActions().empty());
  ASSERT_EQ(scheduler_.InstancesOfKeptEnds(),
            std::vector<JobInstance>{ { kJob } });
  // The cancellation was read from the store.
  scheduler_.AcknowledgeKeptEnds({ kJob });
  const auto actions = scheduler_.TakeActions();
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SendAcknowledgement>(actions[0]));
}

TEST_F(StoredJobTest, ATaskThatHasUsedUpTheAttemptsOfItsQueueDoesNotStart)
{
  Restore(Job(1), { { { .failedRuns_ = { 1, 2 }, .endedRun_ = 2 } } });
  const std::vector<SaveJob> saves = Saves();
  ASSERT_EQ(saves.size(), 1U);
  EXPECT_EQ(saves[0].outcome_, JobOutcome::Failed);
  EXPECT_FALSE(scheduler_.HoldsInstance({ kJob }));
}

// Its place in the queue depends on the priority.
TEST_F(StoredJobTest, AWaitingJobFollowsANewPriorityAndServiceOfItsQueue)
{
  scheduler_.OnReports(kFirst, { .upstream_ = Full("u1", 0, 0) }, At(0));
  scheduler_.OnReports(
    kSecond, { .upstream_ = Full("u2", kTwoSecondsOfWork, 0) }, At(0));
  scheduler_.OnReports(
    kFirst, { .upstream_ = Full("u1", kTwoSecondsOfWork, 0) }, At(0));
  Restore(Job(1));
  EXPECT_EQ(Take().Runs(), 0U);
  JobQueue queue = Queue();
  queue.priority_ = 3;
  queue.service_ = "other";
  scheduler_.SetQueue({ kJob }, queue, At(10));
  UpstreamReport other = Idle("u2");
  other.service_ = "other";
  scheduler_.OnReports(kFirst, { .upstream_ = Idle("u1") }, At(20));
  EXPECT_EQ(Take().Runs(), 0U) << "not its service any more";
  scheduler_.OnReports(kSecond, { .upstream_ = other }, At(30));
  EXPECT_EQ(Take().Runs(), 1U);
  scheduler_.Tick(At(40));
  EXPECT_EQ(Take().Runs(), 0U);
}

} // namespace
} // namespace cornelfront::job_scheduler_test
