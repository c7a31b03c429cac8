/// \file
/// Jobs that are refused, given up or abandoned by their clients, and their
/// answers.

#include "policy/job_scheduler_fixture_test.h"

namespace cornelfront::job_scheduler_test {
namespace {

// Its client may have left, and the end of its connection may be held up.
TEST_F(JobSchedulerTest, ARequestThatHadWaitedTooLongIsRefused)
{
  scheduler_.Submit(1, Job(), Queue(), At(1500), At(101), Millis(101));
  const SortedActions actions = Take();
  EXPECT_EQ(actions.Runs(), 0U);
  ASSERT_EQ(actions.answers_.size(), 1U);
  EXPECT_EQ(actions.answers_[0].outcome_, JobOutcome::Refused);
  EXPECT_EQ(scheduler_.Jobs(), 0U);
}

TEST_F(JobSchedulerTest, AJobThatRunsIsNotCalledRefusedToARequestThatHadWaited)
{
  Submit(Job());
  EXPECT_EQ(Take().Runs(), 1U);
  scheduler_.Submit(2, Job(), Queue(), At(1500), At(300), Millis(300));
  const SortedActions actions = Take();
  ASSERT_EQ(actions.answers_.size(), 2U);
  for (const AnswerJob& answer : actions.answers_) {
    EXPECT_EQ(answer.outcome_, JobOutcome::GivenUp);
  }
  EXPECT_EQ(actions.stops_.size(), 1U);
  EXPECT_EQ(scheduler_.Jobs(), 0U);
}

TEST_F(JobSchedulerTest, RefusesAJobThatNoUpstreamCanRun)
{
  JobDescription large = Job();
  large.steps_[0].resources_.cpu_ = 5000;
  Submit(large);
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.answers_.size(), 1U);
  EXPECT_EQ(sorted.answers_[0].outcome_, JobOutcome::Refused);
  EXPECT_GT(sorted.answers_[0].retryAfter_, Millis(0));
  EXPECT_TRUE(sorted.runs_.empty());
}

// It was sent just before the operator's change was read; the sidecar, which
// had read it, returned the run.
TEST_F(JobSchedulerTest, RefusesAtOnceOnceAllZonesAreOut)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.SetZonesOut(
    { "zone-" + ToString(kFirst), "zone-" + ToString(kSecond) }, At(1));
  EXPECT_TRUE(Take().answers_.empty()) << "the run may start";
  End(sent, RunEnd::NotStarted, 2);
  const SortedActions refused = Take();
  ASSERT_EQ(refused.answers_.size(), 1U);
  EXPECT_EQ(refused.answers_[0].outcome_, JobOutcome::Refused);
}

TEST_F(JobSchedulerTest, RefusesAJobThatWouldMissItsObjective)
{
  for (const MemberId sidecar : { kFirst, kSecond }) {
    UpstreamReport full = Idle(sidecar == kFirst ? "u1" : "u2");
    full.committed_ = { .cpu_ = 8000 };
    // Two seconds of work for the whole upstream.
    full.backlog_ = { kTwoSecondsOfWork };
    scheduler_.OnReports(sidecar, { .upstream_ = full }, At(1));
  }
  Submit(Job(), 2);
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.answers_.size(), 1U);
  EXPECT_EQ(sorted.answers_[0].outcome_, JobOutcome::Refused);
  EXPECT_GE(sorted.answers_[0].retryAfter_, Millis(2000));
  EXPECT_TRUE(sorted.runs_.empty());
}

// A queue of 40 ms is within the slack of 200 ms of the most urgent job; for
// others it means that the upstreams are overloaded.
TEST_F(JobSchedulerTest, RefusesLessUrgentJobsFirst)
{
  constexpr int64_t kWork = int64_t{ 4000 } * 40;
  scheduler_.OnReports(kFirst, { .upstream_ = Full("u1", kWork, 0) }, At(0));
  scheduler_.OnReports(kSecond, { .upstream_ = Full("u2", kWork, 0) }, At(0));
  JobQueue queue = Queue();
  queue.priority_ = 1;
  scheduler_.Submit(1, Job(), queue, At(5000), At(0));
  const SortedActions refused = Take();
  ASSERT_EQ(refused.answers_.size(), 1U);
  EXPECT_EQ(refused.answers_[0].outcome_, JobOutcome::Refused);
  EXPECT_GT(refused.answers_[0].retryAfter_, Millis(0));
  queue.priority_ = 0;
  scheduler_.Submit(2, Job(1, "00000000000000a2"), queue, At(5000), At(0));
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobSchedulerTest, WorkOfLowerPriorityDoesNotCountAsWait)
{
  for (const MemberId sidecar : { kFirst, kSecond }) {
    UpstreamReport full = Idle(sidecar == kFirst ? "u1" : "u2");
    full.committed_ = { .cpu_ = 4000 };
    full.backlog_ = { 0, 0, kTwoSecondsOfWork };
    scheduler_.OnReports(sidecar, { .upstream_ = full }, At(1));
  }
  Submit(Job(), 2);
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobSchedulerTest, StopsTheJobOfADisconnectedClient)
{
  Submit(Job(2));
  Take();
  scheduler_.OnClientDisconnected(1, At(10));
  const SortedActions sorted = Take();
  EXPECT_EQ(sorted.stops_.size(), 2U);
  EXPECT_TRUE(sorted.answers_.empty());
  EXPECT_EQ(scheduler_.Jobs(), 0U);
}

TEST_F(JobSchedulerTest, AtTheDeadlineAJobThatMayHaveRunIsGivenUp)
{
  Submit(Job());
  Take();
  for (int ms = 500; ms <= 5000; ms += 500) {
    scheduler_.Tick(At(ms));
  }
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.answers_.size(), 1U);
  EXPECT_EQ(sorted.answers_[0].outcome_, JobOutcome::GivenUp);
  EXPECT_EQ(sorted.stops_.size(), 1U);
}

TEST_F(JobSchedulerTest, AtTheDeadlineAJobThatNeverStartedIsRefused)
{
  Submit(Job());
  End(Take().runs_.at(0), RunEnd::NotStarted, 10);
  End(Take().runs_.at(0), RunEnd::NotStarted, 20);
  // No upstream is available for the third attempt.
  for (const MemberId sidecar : { kFirst, kSecond }) {
    scheduler_.OnReports(sidecar, {}, At(30));
  }
  End(Take().runs_.at(0), RunEnd::NotStarted, 40);
  for (const MemberId sidecar : { kFirst, kSecond }) {
    scheduler_.OnReports(sidecar, {}, At(50));
  }
  SortedActions again = Take();
  if (!again.runs_.empty()) {
    scheduler_.OnHeldRuns(
      again.runs_[0].sidecar_, {}, RunEnd::NotStarted, At(60));
    scheduler_.OnReports(kFirst, {}, At(60));
    scheduler_.OnReports(kSecond, {}, At(60));
    Take();
  }
  for (int ms = 500; ms <= 5000; ms += 500) {
    scheduler_.Tick(At(ms));
  }
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.answers_.size(), 1U);
  EXPECT_EQ(sorted.answers_[0].outcome_, JobOutcome::Refused);
}

TEST_F(JobSchedulerTest, AfterASuspensionAllJobsAreGivenUp)
{
  Submit(Job());
  Take();
  scheduler_.Tick(At(601));
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.answers_.size(), 1U);
  EXPECT_EQ(sorted.answers_[0].outcome_, JobOutcome::GivenUp);
  EXPECT_EQ(sorted.stops_.size(), 1U);
}

// The client may have left right after the entry stood still, whatever the
// entry handles first.
TEST_F(JobSchedulerTest, TheStopOfAnAbandonedRunCountsFromTheEntrysStandstill)
{
  for (const int handledFirst : { 0, 1, 100 }) {
    const auto id = 1 + static_cast<JobSubmissionId>(handledFirst);
    const int begin = 10000 * (1 + handledFirst);
    for (int ms = begin - 9000; ms <= begin; ms += 50) {
      scheduler_.Tick(At(ms));
    }
    Submit(Job(), begin, id);
    Take();
    for (int ms = begin + 500; ms < begin + 500 + handledFirst; ms += 50) {
      scheduler_.Tick(At(ms));
    }
    const int left = begin + 500 + handledFirst;
    scheduler_.OnClientDisconnected(id, At(left));
    const SortedActions actions = Take();
    ASSERT_EQ(actions.stops_.size(), 1U) << handledFirst;
    EXPECT_EQ(actions.stops_[0].stops_.age_, Millis(left - begin));
  }
}

TEST_F(JobSchedulerTest, AStopOfARunningEntryHasNoAge)
{
  Submit(Job());
  Take();
  for (int ms = 25; ms <= 600; ms += 25) {
    scheduler_.Tick(At(ms));
  }
  scheduler_.OnClientDisconnected(1, At(610));
  const SortedActions actions = Take();
  ASSERT_EQ(actions.stops_.size(), 1U);
  EXPECT_EQ(actions.stops_[0].stops_.age_, Millis(0));
}

TEST_F(JobSchedulerTest, AResubmittedJobContinuesForTheNewClient)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  Submit(Job(), 100, 2);
  const SortedActions again = Take();
  EXPECT_TRUE(again.runs_.empty());
  ASSERT_EQ(again.answers_.size(), 1U);
  EXPECT_EQ(again.answers_[0].submissionId_, 1U);
  End(sent, RunEnd::Done, 150);
  EXPECT_EQ(Take().answers_.at(0).submissionId_, 2U);
}

} // namespace
} // namespace cornelfront::job_scheduler_test
