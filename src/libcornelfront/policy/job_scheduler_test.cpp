#include "cornelfront/job_scheduler.h"

#include "cornelfront/run_table.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace cornelfront {
namespace {

const std::string kJob = "00000000000000a1";
constexpr MemberId kFirst{ 1 };
constexpr MemberId kSecond{ 2 };
/// Two seconds of work for one of the upstreams, in thousandths of a core times
/// milliseconds.
constexpr int64_t kTwoSecondsOfWork = 8000000;

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

JobQueue
Queue()
{
  return { .name_ = "q",
           .service_ = "desk",
           .attempts_ = 2,
           .stretch_ = 2.0,
           .slo_ = Millis(100) };
}

JobDescription
Job(uint32_t aCount = 1, const std::string& aId = kJob)
{
  return { .id_ = aId,
           .payload_ = "p",
           .steps_ = { { .count_ = aCount,
                         .resources_ = { .cpu_ = 1000 },
                         .estimate_ = Millis(100) } },
           .bestEffort_ = true };
}

UpstreamReport
Idle(const std::string& aUpstream, int64_t aCpu = 4000)
{
  return { .service_ = "desk",
           .upstream_ = aUpstream,
           .ready_ = true,
           .capacity_ = { .cpu_ = aCpu },
           .labels_ = { "a", "rack-" + aUpstream } };
}

/// The scheduler's actions, sorted by kind.
struct SortedActions
{
  std::vector<SendRuns> runs_;
  std::vector<SendStops> stops_;
  std::vector<AnswerJob> answers_;

  size_t Runs() const
  {
    size_t count = 0;
    for (const SendRuns& send : runs_) {
      count += send.orders_.runs_.size();
    }
    return count;
  }
};

class JobSchedulerTest : public testing::Test
{
protected:
  JobSchedulerTest()
  {
    Link(kFirst, Idle("u1"));
    Link(kSecond, Idle("u2"));
  }

  void Link(MemberId aSidecar, const UpstreamReport& aReport, int aMs = 0)
  {
    scheduler_.OnSidecarLinked(aSidecar, "zone-" + ToString(aSidecar), At(aMs));
    scheduler_.OnHeldRuns(aSidecar, {}, RunEnd::NotStarted, At(aMs));
    scheduler_.OnReports(aSidecar, { .upstream_ = aReport }, At(aMs));
  }

  void Submit(const JobDescription& aJob,
              int aMs = 0,
              JobSubmissionId aSubmissionId = 1)
  {
    scheduler_.Submit(aSubmissionId, aJob, Queue(), At(aMs + 5000), At(aMs));
  }

  SortedActions Take()
  {
    SortedActions sorted;
    for (JobAction& action : scheduler_.TakeActions()) {
      if (auto* runs = std::get_if<SendRuns>(&action)) {
        sorted.runs_.push_back(std::move(*runs));
      } else if (auto* stops = std::get_if<SendStops>(&action)) {
        sorted.stops_.push_back(std::move(*stops));
      } else if (auto* answer = std::get_if<AnswerJob>(&action)) {
        sorted.answers_.push_back(std::move(*answer));
      }
    }
    return sorted;
  }

  void End(const SendRuns& aSend, RunEnd aEnd, int aMs, size_t aIndex = 0)
  {
    UpstreamReport report = Idle(aSend.sidecar_ == kFirst ? "u1" : "u2");
    report.ordersReceived_ = 1000;
    scheduler_.OnReports(
      aSend.sidecar_,
      { .reports_ = { { .key_ = { aSend.orders_.Task(
                                    aSend.orders_.runs_.at(aIndex)),
                                  aSend.orders_.runs_.at(aIndex).run_ },
                        .end_ = aEnd,
                        .runTime_ = Millis(100) } },
        .upstream_ = report },
      At(aMs));
  }

  JobScheduler scheduler_{ JobSchedulerOptions{ .zone_ = "z" } };
};

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

TEST_F(JobSchedulerTest, OrdersContainTheLatestStartThatMeetsTheObjective)
{
  // The objective allows 2 * 100 ms + 100 ms, of which the work takes 100 ms.
  Submit(Job());
  SortedActions sorted = Take();
  ASSERT_EQ(sorted.runs_.size(), 1U);
  EXPECT_EQ(sorted.runs_[0].orders_.timeToLatestStart_, Millis(200));

  JobDescription chain = Job(1, "00000000000000a2");
  chain.steps_.push_back(chain.steps_.front());
  chain.steps_.back().dependsOn_ = { 0 };
  Submit(chain, 0, 2);
  sorted = Take();
  ASSERT_EQ(sorted.runs_.size(), 1U);
  EXPECT_EQ(sorted.runs_[0].orders_.timeToLatestStart_, Millis(300));
  End(sorted.runs_[0], RunEnd::Done, 100);
  sorted = Take();
  ASSERT_EQ(sorted.runs_.size(), 1U);
  EXPECT_EQ(sorted.runs_[0].orders_.timeToLatestStart_, Millis(300));
}

TEST_F(JobSchedulerTest, ADuplicateReportCountsOnce)
{
  Submit(Job(2));
  const SortedActions sent = Take();
  End(sent.runs_[0], RunEnd::Done, 10);
  End(sent.runs_[0], RunEnd::Done, 11);
  EXPECT_TRUE(Take().answers_.empty());
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

/// A report of an upstream whose resources are all committed, with this much
/// queued work of priority 0 and 1.
UpstreamReport
Full(const std::string& aUpstream, int64_t aUrgentWork, int64_t aOtherWork)
{
  UpstreamReport report = Idle(aUpstream);
  report.committed_ = report.capacity_;
  report.backlog_[0] = aUrgentWork;
  report.backlog_[1] = aOtherWork;
  return report;
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

TEST_F(JobSchedulerTest, OrdersForFreeResourcesMayBeReturned)
{
  Submit(Job(1));
  const SortedActions first = Take();
  ASSERT_EQ(first.Runs(), 1U);
  EXPECT_TRUE(first.runs_[0].orders_.runs_[0].onlyIfFree_);
  End(first.runs_[0], RunEnd::NotStarted, 5);
  const SortedActions second = Take();
  ASSERT_EQ(second.Runs(), 1U);
  EXPECT_NE(second.runs_[0].sidecar_, first.runs_[0].sidecar_);
  EXPECT_TRUE(second.answers_.empty());
}

TEST_F(JobSchedulerTest, ATaskThatWasReturnedOftenIsQueued)
{
  Submit(Job(1));
  for (int i = 0; i < 3; ++i) {
    const SortedActions sent = Take();
    ASSERT_EQ(sent.Runs(), 1U);
    EXPECT_TRUE(sent.runs_[0].orders_.runs_[0].onlyIfFree_) << i;
    End(sent.runs_[0], RunEnd::NotStarted, 5 + i);
  }
  const SortedActions last = Take();
  ASSERT_EQ(last.Runs(), 1U);
  EXPECT_FALSE(last.runs_[0].orders_.runs_[0].onlyIfFree_);
}

TEST_F(JobSchedulerTest, AnOrderThatIsExpectedToWaitIsNotReturned)
{
  scheduler_.OnReports(kFirst, { .upstream_ = Full("u1", 0, 0) }, At(0));
  scheduler_.OnReports(kSecond, { .upstream_ = Full("u2", 0, 0) }, At(0));
  Submit(Job(1));
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_FALSE(sent.runs_[0].orders_.runs_[0].onlyIfFree_);
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

TEST(JobSchedulerPreference, EntriesWithTheSameViewChooseDifferentUpstreams)
{
  std::set<MemberId> chosen;
  for (uint64_t entry = 1; entry <= 10; ++entry) {
    JobScheduler scheduler(
      JobSchedulerOptions{ .self_ = { entry }, .zone_ = "z" });
    for (uint64_t id = 1; id <= 20; ++id) {
      const MemberId sidecar{ id };
      scheduler.OnSidecarLinked(sidecar, "z", At(0));
      scheduler.OnHeldRuns(sidecar, {}, RunEnd::NotStarted, At(0));
      scheduler.OnReports(
        sidecar, { .upstream_ = Idle(ToString(sidecar)) }, At(0));
    }
    scheduler.Submit(1, Job(1), Queue(), At(5000), At(0));
    for (const JobAction& action : scheduler.TakeActions()) {
      if (const auto* send = std::get_if<SendRuns>(&action)) {
        chosen.insert(send->sidecar_);
      }
    }
  }
  EXPECT_GE(chosen.size(), 5U);
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

TEST_F(JobSchedulerTest, SendsNothingToAZoneOutOfService)
{
  scheduler_.SetZonesOut({ "zone-" + ToString(kFirst) }, At(0));
  Submit(Job(3));
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.runs_.size(), 1U);
  EXPECT_EQ(sorted.runs_[0].sidecar_, kSecond);
}

TEST_F(JobSchedulerTest, RespectsLabelsAndLimitsPerUpstream)
{
  JobDescription job = Job(2);
  job.steps_[0].requiredLabel_ = "rack-u2";
  job.steps_[0].maxPerUpstream_ = 1;
  Submit(job);
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.Runs(), 1U);
  EXPECT_EQ(sorted.runs_[0].sidecar_, kSecond);
  // The other task is placed when the first has ended.
  End(sorted.runs_[0], RunEnd::Done, 10);
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

TEST_F(JobSchedulerTest, AvoidsAnUpstreamOnWhichAllRunsFail)
{
  std::map<MemberId, int> sent;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "00000000000001" + std::to_string(10 + i);
    Submit(Job(1, id), i * 10, 100 + static_cast<JobSubmissionId>(i));
    SortedActions sorted = Take();
    // The first upstream fails every run.
    while (!sorted.runs_.empty()) {
      const SendRuns run = sorted.runs_[0];
      ++sent[run.sidecar_];
      End(run,
          run.sidecar_ == kFirst ? RunEnd::Failed : RunEnd::Done,
          i * 10 + 5);
      sorted = Take();
    }
  }
  EXPECT_LT(sent[kFirst], 10);
  EXPECT_GE(sent[kSecond], 35);
}

class StoredJobTest : public JobSchedulerTest
{
protected:
  StoredJobTest()
  {
    scheduler_.BecomeLeader(1, At(0));
    scheduler_.SetAuthority(At(100000), At(0));
    scheduler_.SetRegisteredSidecars({ kFirst, kSecond });
    scheduler_.SetTakingOver(false, At(0));
  }

  void Restore(const JobDescription& aJob,
               const JobProgress& aProgress = {},
               bool aFromEarlierLeader = false,
               int aMs = 0)
  {
    scheduler_.Restore(
      aJob, 0, Queue(), aProgress, Millis(0), aFromEarlierLeader, At(aMs));
  }

  std::vector<SaveJob> Saves()
  {
    std::vector<SaveJob> saves;
    for (JobAction& action : scheduler_.TakeActions()) {
      if (auto* save = std::get_if<SaveJob>(&action)) {
        saves.push_back(std::move(*save));
      }
    }
    return saves;
  }

  void Report(MemberId aSidecar, const RunKey& aKey, RunEnd aEnd, int aMs)
  {
    scheduler_.OnReports(
      aSidecar,
      { .reports_ = { { .key_ = aKey, .end_ = aEnd, .unacknowledged_ = true } },
        .upstream_ = Idle(aSidecar == kFirst ? "u1" : "u2") },
      At(aMs));
  }

  const RunKey key_{ { kJob, 0, 0, 0 }, 1 };
};

// They are the oldest, and all jobs are too late for their objective.
TEST_F(StoredJobTest, JobsThatNoUpstreamCanRunDoNotKeepOthersWaiting)
{
  for (int i = 0; i < 80; ++i) {
    JobDescription huge = Job(1, "huge-" + std::to_string(100 + i));
    huge.steps_[0].resources_.cpu_ = 64000;
    Restore(huge);
  }
  UpstreamReport full = Idle("u1");
  full.backlog_ = { kTwoSecondsOfWork };
  full.committed_ = full.capacity_;
  scheduler_.OnReports(kFirst, { .upstream_ = full }, At(1));
  scheduler_.OnReports(kSecond, { .upstream_ = full }, At(1));
  Restore(Job(), {}, false, 100);
  EXPECT_EQ(Take().Runs(), 0U);
  for (int ms = 500; ms <= 9500; ms += 500) {
    scheduler_.Tick(At(ms));
  }
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnReports(kFirst, { .upstream_ = Idle("u1") }, At(9900));
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(StoredJobTest, AJobStartsOnceAnUpstreamCanRunIt)
{
  JobDescription huge = Job();
  huge.steps_[0].resources_.cpu_ = 64000;
  Restore(huge);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnReports(kFirst, { .upstream_ = Idle("u1", 64000) }, At(20));
  EXPECT_EQ(Take().Runs(), 1U);
}

// On each upstream that takes tasks alone, something may run for good.
TEST_F(StoredJobTest, ATaskThatCouldNotRunAloneRunsBesideOthers)
{
  Restore(Job());
  scheduler_.OnUpstreamCrashes(kFirst,
                               { { { .number_ = 1,
                                     .state_ = CrashState::Proven,
                                     .tasks_ = { key_.task_ } } } },
                               At(0));
  Report(Take().runs_.at(0).sidecar_, key_, RunEnd::Lost, 10);
  SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_EQ(sent.runs_[0].orders_.resources_.cpu_, 4000) << "alone";
  const RunKey alone{ key_.task_, sent.runs_[0].orders_.runs_[0].run_ };
  Report(sent.runs_[0].sidecar_, alone, RunEnd::NotStarted, 1600);
  sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_EQ(sent.runs_[0].orders_.resources_.cpu_, 1000) << "beside others";
}

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

TEST_F(StoredJobTest, PlacesOnlyOnRegisteredSidecars)
{
  scheduler_.SetRegisteredSidecars({ kSecond });
  Restore(Job(2));
  const SortedActions sent = Take();
  ASSERT_EQ(sent.runs_.size(), 1U);
  EXPECT_EQ(sent.runs_[0].sidecar_, kSecond);
  EXPECT_EQ(sent.Runs(), 2U);
  Submit(Job(2, "00000000000000a2"));
  const SortedActions bestEffort = Take();
  ASSERT_FALSE(bestEffort.runs_.empty());
  EXPECT_EQ(bestEffort.runs_[0].sidecar_, kFirst) << "best-effort jobs use all";
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

/// Checks invariants under random sequences of events: a task never has two
/// runs that may exist at the same time, a refused job has never run, and each
/// submission is answered or abandoned exactly once.
class RandomEventsTest : public testing::TestWithParam<uint32_t>
{};

TEST_P(RandomEventsTest, KeepsInvariants)
{
  std::mt19937 random(GetParam());
  const auto pick = [&](int aBelow) {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(random);
  };
  JobScheduler scheduler(JobSchedulerOptions{ .zone_ = "z" });
  std::map<MemberId, std::set<RunKey>> present;
  std::set<RunKey> begun;
  std::map<JobSubmissionId, std::string> open;
  std::map<JobTaskId, std::set<MemberId>> holders;
  int now = 0;
  JobSubmissionId submissionId = 0;
  for (const MemberId id : { kFirst, kSecond }) {
    scheduler.OnSidecarLinked(id, "z", At(0));
    scheduler.OnReports(id, { .upstream_ = Idle(ToString(id)) }, At(0));
  }
  const auto perform = [&] {
    for (const JobAction& action : scheduler.TakeActions()) {
      if (const auto* runs = std::get_if<SendRuns>(&action)) {
        for (const RunOrder& order : runs->orders_.runs_) {
          const RunKey key{ runs->orders_.Task(order), order.run_ };
          auto& holding = holders[key.task_];
          // A run of an earlier submission of the same job would count as well.
          EXPECT_TRUE(holding.empty()) << ToString(key);
          holding.insert(runs->sidecar_);
          present[runs->sidecar_].insert(key);
        }
      } else if (const auto* answer = std::get_if<AnswerJob>(&action)) {
        ASSERT_EQ(open.count(answer->submissionId_), 1U);
        const std::string job = open[answer->submissionId_];
        open.erase(answer->submissionId_);
        if (answer->outcome_ == JobOutcome::Refused) {
          for (const RunKey& key : begun) {
            EXPECT_NE(key.task_.job_, job) << "a refused job has run";
          }
        }
      }
    }
  };
  const auto end = [&](MemberId aSidecar, const RunKey& aKey, RunEnd aEnd) {
    present[aSidecar].erase(aKey);
    holders[aKey.task_].erase(aSidecar);
    if (aEnd != RunEnd::NotStarted) {
      begun.insert(aKey);
    }
    scheduler.OnReports(aSidecar,
                        { .reports_ = { { .key_ = aKey, .end_ = aEnd } },
                          .upstream_ = Idle(ToString(aSidecar)) },
                        At(now));
  };
  for (int step = 0; step < 2000; ++step) {
    now += pick(20);
    const MemberId sidecar = pick(2) == 0 ? kFirst : kSecond;
    switch (pick(8)) {
      case 0: {
        ++submissionId;
        char id[17];
        snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(submissionId));
        open[submissionId] = id;
        scheduler.Submit(submissionId,
                         Job(1 + static_cast<uint32_t>(pick(3)), id),
                         Queue(),
                         At(now + 400),
                         At(now));
        break;
      }
      case 1:
        if (!open.empty()) {
          const JobSubmissionId gone = open.begin()->first;
          open.erase(gone);
          scheduler.OnClientDisconnected(gone, At(now));
        }
        break;
      case 2:
      case 3:
      case 4:
        if (!present[sidecar].empty()) {
          const RunKey key = *present[sidecar].begin();
          end(sidecar, key, static_cast<RunEnd>(pick(8)));
        }
        break;
      case 5:
        scheduler.Tick(At(now));
        break;
      case 6: {
        // The link is lost and re-established; some orders never arrived.
        HeldRuns held;
        std::set<RunKey> kept;
        for (const RunKey& key : present[sidecar]) {
          if (pick(2) == 0) {
            held.runs_.push_back(key);
            kept.insert(key);
          } else {
            holders[key.task_].erase(sidecar);
          }
        }
        present[sidecar] = kept;
        scheduler.OnSidecarLost(sidecar, At(now));
        scheduler.OnSidecarLinked(sidecar, "z", At(now));
        scheduler.OnHeldRuns(sidecar, held, RunEnd::NotStarted, At(now));
        scheduler.OnReports(
          sidecar, { .upstream_ = Idle(ToString(sidecar)) }, At(now));
        break;
      }
      default: {
        // The sidecar is replaced; its runs are lost.
        for (const RunKey& key : present[sidecar]) {
          holders[key.task_].erase(sidecar);
          begun.insert(key);
        }
        present[sidecar].clear();
        scheduler.OnSidecarLost(sidecar, At(now));
        scheduler.OnSidecarLinked(sidecar, "z", At(now));
        scheduler.OnHeldRuns(sidecar, {}, RunEnd::Lost, At(now));
        scheduler.OnReports(
          sidecar, { .upstream_ = Idle(ToString(sidecar)) }, At(now));
        break;
      }
    }
    perform();
  }
  for (int i = 0; i < 5; ++i) {
    now += 200;
    scheduler.Tick(At(now));
    perform();
  }
  EXPECT_TRUE(open.empty());
  EXPECT_EQ(scheduler.Jobs(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEventsTest, testing::Range(1U, 41U));

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
} // namespace cornelfront
