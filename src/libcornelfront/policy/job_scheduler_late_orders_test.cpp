/// \file
/// Tasks of which an order may still be carried out late.

#include "policy/job_scheduler_fixture_test.h"

#include "cornelfront/run_table.h"

namespace cornelfront::job_scheduler_test {
namespace {

// An order of it may still be carried out at an upstream that is silent.
TEST_F(JobSchedulerTest, ATaskWithALateOrderIsNotStartedElsewhere)
{
  const JobDescription job = Job(2);
  const JobTaskId late{ job.id_, 0, 0, 1 };
  scheduler_.OnLateOrders(
    kFirst,
    { .orders_ = { { late, LateOrderState::Held, Millis(12000) } } },
    At(0));
  Submit(job);
  SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_EQ(sent.runs_[0].orders_.Task(sent.runs_[0].orders_.runs_[0]),
            (JobTaskId{ job.id_, 0, 0, 0 }));
  scheduler_.OnSidecarLost(kFirst, At(10));
  scheduler_.Tick(At(10));
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnLateOrders(
    kFirst, { .orders_ = { { late, LateOrderState::Settled } } }, At(20));
  EXPECT_EQ(Take().Runs(), 1U) << "settled, so it is started at once";
}

// A restart of that upstream ends the new run when it begins the old one.
TEST_F(JobSchedulerTest, ATaskWithALateOrderStartsWhereItsOrderIsLate)
{
  const JobDescription job = Job(1);
  const JobTaskId task{ job.id_, 0, 0, 0 };
  for (const MemberId sidecar : { kFirst, kSecond }) {
    scheduler_.OnLateOrders(
      sidecar,
      { .orders_ = { { task, LateOrderState::OnlyHere, Millis(12000), 7 } } },
      At(0));
    Submit(job, 0, sidecar.value_);
    const SortedActions sent = Take();
    ASSERT_EQ(sent.Runs(), 1U);
    EXPECT_EQ(sent.runs_[0].sidecar_, sidecar);
    EXPECT_EQ(sent.runs_[0].orders_.runs_[0].upstreamNumber_, 7U);
    scheduler_.OnClientDisconnected(sidecar.value_, At(0));
    Take();
    scheduler_.OnLateOrders(
      sidecar, { .orders_ = { { task, LateOrderState::Settled } } }, At(0));
  }
}

// Jobs that wait for an upstream of their own must not hold up the others.
TEST_F(JobSchedulerTest, TasksWithLateOrdersDoNotKeepOtherJobsWaiting)
{
  scheduler_.OnReports(kFirst, {}, At(0));
  UpstreamReport full = Idle("u2");
  full.committed_ = full.capacity_;
  scheduler_.OnReports(kSecond, { .upstream_ = full }, At(0));
  scheduler_.OnReports(kSecond, { .upstream_ = Idle("u2") }, At(10));
  for (uint64_t i = 1; i <= 20; ++i) {
    JobDescription job = Job(1);
    job.id_ = "held-" + std::to_string(100 + i);
    scheduler_.OnLateOrders(kFirst,
                            { .orders_ = { { { job.id_, 0, 0, 0 },
                                             LateOrderState::OnlyHere,
                                             Millis(12000),
                                             1 } } },
                            At(20));
    Submit(job, 20, i);
  }
  EXPECT_EQ(Take().Runs(), 0U);
  JobDescription other = Job(1);
  other.id_ = "other";
  const JobTaskId task{ other.id_, 0, 0, 0 };
  scheduler_.OnLateOrders(
    kSecond,
    { .orders_ = { { task, LateOrderState::Held, Millis(50) } } },
    At(30));
  Submit(other, 30, 21);
  EXPECT_EQ(Take().Runs(), 0U);
  for (int ms = 50; ms <= 600; ms += 50) {
    scheduler_.Tick(At(ms));
  }
  EXPECT_EQ(Take().Runs(), 1U);
}

// The caller would be told that nothing can have run.
TEST_F(JobSchedulerTest, AJobWithALateOrderIsNotSaidToHaveNotRun)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  const JobTaskId task = sent.orders_.Task(sent.orders_.runs_[0]);
  scheduler_.OnLateOrders(
    sent.sidecar_,
    { .orders_ = { { task, LateOrderState::Held, Millis(12000), 1 } } },
    At(10));
  End(sent, RunEnd::NotStarted, 20);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.Tick(At(100));
  for (int ms = 100; ms <= 60000; ms += 100) {
    scheduler_.Tick(At(ms));
    const SortedActions actions = Take();
    if (!actions.answers_.empty()) {
      EXPECT_EQ(actions.answers_[0].outcome_, JobOutcome::GivenUp);
      return;
    }
    if (actions.Runs() > 0) {
      End(actions.runs_[0], RunEnd::NotStarted, ms);
    }
  }
  ADD_FAILURE() << "no answer at the deadline";
}

// All members have one number, and that of a late order is another.
TEST_F(JobSchedulerTest, AGangWaitsForTheLateOrderOfAMember)
{
  JobDescription job = Job(2);
  job.steps_[0].gang_ = true;
  const JobTaskId late{ job.id_, 0, 0, 1 };
  scheduler_.OnLateOrders(
    kFirst,
    { .orders_ = { { late, LateOrderState::OnlyHere, Millis(12000), 7 } } },
    At(0));
  Submit(job);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnLateOrders(
    kFirst, { .orders_ = { { late, LateOrderState::Settled } } }, At(20));
  EXPECT_EQ(Take().Runs(), 2U);
}

// Jobs whose tasks wait for a late order are older than a stored job, for which
// there is room.
TEST_F(StoredJobTest, ManyLateOrdersDoNotKeepOtherJobsWaiting)
{
  for (uint64_t i = 1; i <= 80; ++i) {
    const JobDescription held = Job(1, "held-" + std::to_string(100 + i));
    scheduler_.OnLateOrders(kFirst,
                            { .orders_ = { { { held.id_, 0, 0, 0 },
                                             LateOrderState::Held,
                                             Millis(12500) } } },
                            At(0));
    scheduler_.Submit(i, held, Queue(), At(20000), At(0));
  }
  UpstreamReport full = Idle("u1");
  full.backlog_ = { kTwoSecondsOfWork };
  full.committed_ = full.capacity_;
  scheduler_.OnReports(kFirst, { .upstream_ = full }, At(1));
  scheduler_.OnReports(kSecond, { .upstream_ = full }, At(1));
  Restore(Job(), {}, false, 100);
  for (int ms = 500; ms <= 1500; ms += 500) {
    scheduler_.Tick(At(ms));
  }
  ASSERT_EQ(Take().Runs(), 0U);
  scheduler_.OnReports(kSecond, { .upstream_ = Idle("u2") }, At(1900));
  for (int ms = 2000; ms <= 9000; ms += 500) {
    scheduler_.Tick(At(ms));
  }
  EXPECT_EQ(Take().Runs(), 1U) << "7 s after the upstream became free";
}

// Each attempt leaves an order without an answer, which keeps the task there.
TEST_F(StoredJobTest, ATaskLeavesAnUpstreamThatAnswersNoOrder)
{
  constexpr MemberId kEntry{ 50 };
  RunTable table{ RunTableOptions{} };
  table.OnUpstream({ .id_ = "u1",
                     .startedMs_ = 1,
                     .service_ = "desk",
                     .capacity_ = { .cpu_ = 4000 } },
                   At(0));
  table.OnPollResult(table.BeginPoll(), {}, At(0));
  table.SetRegistered();
  table.OnTakeOver(kEntry, { 1, Millis(60000) }, At(0));
  UpstreamReport full = Idle("u2");
  full.backlog_ = { kTwoSecondsOfWork };
  full.committed_ = full.capacity_;
  scheduler_.OnReports(kSecond, { .upstream_ = full }, At(0));
  Restore(Job());
  bool elsewhere = false;
  size_t orders = 0;
  for (int ms = 10; ms <= 9000 && !elsewhere; ms += 10) {
    if (ms == 100) {
      scheduler_.OnReports(kSecond, { .upstream_ = Idle("u2") }, At(ms));
    }
    scheduler_.Tick(At(ms));
    for (const SendRuns& send : Take().runs_) {
      elsewhere |= send.sidecar_ == kSecond;
      if (send.sidecar_ == kFirst) {
        ++orders;
        table.OnOrders(kEntry, send.orders_, At(ms));
      }
    }
    table.OnOwnerHeard(kEntry, At(ms));
    table.Tick(At(ms));
    table.OnPollResult(
      table.BeginPoll(), { .clock_ = UpstreamTime{ Millis(ms) } }, At(ms));
    for (const StartRequest& start : table.TakeStarts(At(ms))) {
      table.OnStartAnswer(
        start.key_, StartAnswer::Unknown, { Millis(ms + 250) }, At(ms));
    }
    scheduler_.OnLateOrders(kFirst, table.TakeLateOrders(At(ms)), At(ms));
    UpstreamReport report = Idle("u1");
    report.ordersReceived_ = orders;
    scheduler_.OnReports(
      kFirst,
      { .reports_ = table.TakeUpdates()[kEntry].reports_, .upstream_ = report },
      At(ms));
  }
  EXPECT_TRUE(elsewhere) << orders << " orders at the first one";
}

// Its upstream may refuse each start while it answers polls.
TEST_F(JobSchedulerTest, ATaskThatMayStartAtOneUpstreamIsNotSentWithoutEnd)
{
  scheduler_.OnLateOrders(kFirst,
                          { .orders_ = { { { kJob, 0, 0, 0 },
                                           LateOrderState::OnlyHere,
                                           Millis(12000),
                                           1 } } },
                          At(0));
  Submit(Job());
  SortedActions sent = Take();
  size_t orders = sent.Runs();
  ASSERT_EQ(orders, 1U);
  for (int ms = 1; ms <= 1000; ++ms) {
    if (sent.Runs() > 0) {
      ASSERT_EQ(sent.runs_[0].sidecar_, kFirst);
      End(sent.runs_[0], RunEnd::NotStarted, ms);
    } else {
      scheduler_.Tick(At(ms));
    }
    sent = Take();
    orders += sent.Runs();
  }
  EXPECT_LE(orders, 100U) << "in 1 s";
}

} // namespace
} // namespace cornelfront::job_scheduler_test
