/// \file
/// Runs that end, fail or stall, and what follows in their steps and gangs.

#include "policy/job_scheduler_fixture_test.h"

namespace cornelfront::job_scheduler_test {
namespace {

TEST_F(JobSchedulerTest, CompletesAJobWithItsLastTask)
{
  Submit(Job(2));
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 2U);
  EXPECT_EQ(sent.runs_.size(), 2U) << "both upstreams are used";
  End(sent.runs_[0], RunEnd::Done, 100);
  EXPECT_TRUE(Take().answers_.empty());
  End(sent.runs_[1], RunEnd::Done, 110);
  const SortedActions done = Take();
  ASSERT_EQ(done.answers_.size(), 1U);
  EXPECT_EQ(done.answers_[0].outcome_, JobOutcome::Completed);
  EXPECT_EQ(scheduler_.Jobs(), 0U);
}

TEST_F(JobSchedulerTest, AStepWaitsForItsDependencies)
{
  JobDescription job = Job();
  job.steps_.push_back(job.steps_[0]);
  job.steps_[1].dependsOn_ = { 0 };
  Submit(job);
  const SortedActions first = Take();
  ASSERT_EQ(first.Runs(), 1U);
  End(first.runs_[0], RunEnd::Done, 100);
  const SortedActions second = Take();
  ASSERT_EQ(second.Runs(), 1U);
  EXPECT_EQ(second.runs_[0].orders_.step_, 1U);
}

struct EndCase
{
  const char* name_;
  RunEnd end_;
  bool usesAttempt_;
};

class FailedRunTest
  : public JobSchedulerTest
  , public testing::WithParamInterface<EndCase>
{};

TEST_P(FailedRunTest, RestartsOnAnotherUpstreamWithAHigherNumber)
{
  Submit(Job());
  SendRuns sent = Take().runs_.at(0);
  for (uint32_t run = 2; run <= 4; ++run) {
    End(sent, GetParam().end_, static_cast<int>(run) * 10);
    const SortedActions again = Take();
    if (GetParam().usesAttempt_ && run == 3) {
      ASSERT_EQ(again.answers_.size(), 1U);
      EXPECT_EQ(again.answers_[0].outcome_, JobOutcome::Failed);
      return;
    }
    ASSERT_EQ(again.Runs(), 1U);
    EXPECT_EQ(again.runs_[0].orders_.runs_[0].run_, run);
    if (run == 2) {
      EXPECT_NE(again.runs_[0].sidecar_, sent.sidecar_);
    }
    sent = again.runs_[0];
  }
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  FailedRunTest,
  testing::Values(EndCase{ "failed", RunEnd::Failed, true },
                  EndCase{ "stopped", RunEnd::Stopped, false },
                  EndCase{ "lapsed", RunEnd::LeaseExpired, false },
                  EndCase{ "broken", RunEnd::GangBroken, false },
                  EndCase{ "alone", RunEnd::GangIncomplete, false },
                  EndCase{ "not_started", RunEnd::NotStarted, false },
                  EndCase{ "lost", RunEnd::Lost, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

TEST_F(JobSchedulerTest, ADuplicateReportCountsOnce)
{
  Submit(Job(2));
  const SortedActions sent = Take();
  End(sent.runs_[0], RunEnd::Done, 10);
  End(sent.runs_[0], RunEnd::Done, 11);
  EXPECT_TRUE(Take().answers_.empty());
}

// The members of a gang start together; a single one must not come back.
TEST_F(JobSchedulerTest, OrdersOfAGangAreNotReturned)
{
  JobDescription job = Job(2);
  job.steps_[0].gang_ = true;
  Submit(job);
  for (const SendRuns& send : Take().runs_) {
    for (const RunOrder& order : send.orders_.runs_) {
      EXPECT_FALSE(order.onlyIfFree_);
    }
  }
}

TEST_F(JobSchedulerTest, RestartsAStalledRunOnAnotherUpstream)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.OnReports(
    sent.sidecar_,
    { .stalled_ = { { { sent.orders_.Task(sent.orders_.runs_[0]), 1 },
                      Millis(300),
                      0 } },
      .upstream_ = Idle(sent.sidecar_ == kFirst ? "u1" : "u2") },
    At(300));
  const SortedActions stopped = Take();
  ASSERT_EQ(stopped.stops_.size(), 1U);
  EXPECT_TRUE(stopped.runs_.empty()) << "the first run may still be there";
  End(sent, RunEnd::Stopped, 350);
  const SortedActions again = Take();
  ASSERT_EQ(again.Runs(), 1U);
  EXPECT_NE(again.runs_[0].sidecar_, sent.sidecar_);
}

TEST_F(JobSchedulerTest, ALongTaskThatMakesProgressIsNotStopped)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  const RunKey key{ sent.orders_.Task(sent.orders_.runs_[0]), 1 };
  const auto stall = [&](int32_t aPercent, int aMs) {
    scheduler_.OnReports(
      sent.sidecar_,
      { .stalled_ = { { key, Millis(aMs), aPercent } },
        .upstream_ = Idle(sent.sidecar_ == kFirst ? "u1" : "u2") },
      At(aMs));
    return Take().stops_.size();
  };
  EXPECT_EQ(stall(10, 310), 0U);
  EXPECT_EQ(stall(20, 600), 0U);
}

TEST_F(JobSchedulerTest, StopsATaskFarBehindTheOthersOfItsStep)
{
  Submit(Job(2));
  const SortedActions sent = Take();
  ASSERT_EQ(sent.runs_.size(), 2U);
  End(sent.runs_[0], RunEnd::Done, 100);
  const SendRuns& slow = sent.runs_[1];
  scheduler_.OnReports(
    slow.sidecar_,
    { .stalled_ = { { { slow.orders_.Task(slow.orders_.runs_[0]), 1 },
                      Millis(310),
                      50 } },
      .upstream_ = Idle(slow.sidecar_ == kFirst ? "u1" : "u2") },
    At(310));
  EXPECT_EQ(Take().stops_.size(), 1U);
}

TEST_F(JobSchedulerTest, MembersOfAGangRestartTogether)
{
  JobDescription job = Job(2);
  job.steps_[0].gang_ = true;
  Submit(job);
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 2U);
  End(sent.runs_[0], RunEnd::Lost, 10);
  const SortedActions stopped = Take();
  EXPECT_EQ(stopped.stops_.size(), 1U);
  EXPECT_TRUE(stopped.runs_.empty());
  End(sent.runs_[1], RunEnd::Stopped, 20);
  const SortedActions again = Take();
  ASSERT_EQ(again.Runs(), 2U);
  for (const SendRuns& send : again.runs_) {
    for (const RunOrder& order : send.orders_.runs_) {
      EXPECT_EQ(order.run_, 2U);
    }
  }
}

// A sidecar repeats its latest reports when a link is established again; to
// take the end for a new one would start the task beside its present run.
TEST_F(StoredJobTest, AnEndThatIsToldAgainRestartsNoLongRunningTask)
{
  JobDescription job = Job();
  job.steps_[0].longRunning_ = true;
  Restore(job);
  std::vector<SendRuns> sent;
  for (int ms = 10; ms <= 30; ms += 10) {
    sent.push_back(Take().runs_.at(0));
    const RunOrder& order = sent.back().orders_.runs_[0];
    if (ms < 30) {
      Report(sent.back().sidecar_,
             { sent.back().orders_.Task(order), order.run_ },
             RunEnd::Done,
             ms);
    }
  }
  for (int i = 0; i < 2; ++i) {
    const RunOrder& order = sent[i].orders_.runs_[0];
    for (const RunEnd end : { RunEnd::Done, RunEnd::Failed }) {
      Report(
        sent[i].sidecar_, { sent[i].orders_.Task(order), order.run_ }, end, 40);
      const SortedActions again = Take();
      EXPECT_EQ(again.Runs(), 0U) << i << ToString(end);
      EXPECT_TRUE(again.stops_.empty()) << i << ToString(end);
    }
  }
}

TEST_F(StoredJobTest, RestartsLongRunningTasksAfterAnyEnd)
{
  JobDescription job = Job();
  job.steps_[0].longRunning_ = true;
  Restore(job);
  SendRuns sent = Take().runs_.at(0);
  int ms = 10;
  for (const RunEnd end : { RunEnd::Done,
                            RunEnd::Failed,
                            RunEnd::Failed,
                            RunEnd::Failed,
                            RunEnd::LeaseExpired }) {
    Report(
      sent.sidecar_,
      { sent.orders_.Task(sent.orders_.runs_[0]), sent.orders_.runs_[0].run_ },
      end,
      ms += 10);
    const SortedActions again = Take();
    ASSERT_EQ(again.Runs(), 1U) << ToString(end);
    sent = again.runs_[0];
  }
}

} // namespace
} // namespace cornelfront::job_scheduler_test
