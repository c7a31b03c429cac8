/// \file
/// Where tasks are sent, and orders that may be returned.

#include "policy/job_scheduler_fixture_test.h"

#include <deque>
#include <map>
#include <set>

namespace cornelfront::job_scheduler_test {
namespace {

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

TEST_F(JobSchedulerTest, SendsNothingToAZoneOutOfService)
{
  scheduler_.SetZonesOut({ "zone-" + ToString(kFirst) }, At(0));
  Submit(Job(3));
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.runs_.size(), 1U);
  EXPECT_EQ(sorted.runs_[0].sidecar_, kSecond);
}

// The sidecars have read it earlier, return the order and are not ready.
TEST_F(JobSchedulerTest, AJobThatComesBackWhenAllZonesAreOutIsRefusedAtOnce)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  scheduler_.SetZonesOut(
    { "zone-" + ToString(kFirst), "zone-" + ToString(kSecond) }, At(1));
  for (const MemberId sidecar : { kFirst, kSecond }) {
    UpstreamReport report = Idle(sidecar == kFirst ? "u1" : "u2");
    report.ready_ = false;
    report.ordersReceived_ = 1;
    scheduler_.OnReports(sidecar, { .upstream_ = report }, At(2));
  }
  scheduler_.OnHeldRuns(sent.sidecar_, {}, RunEnd::NotStarted, At(3));
  const SortedActions sorted = Take();
  ASSERT_EQ(sorted.answers_.size(), 1U);
  EXPECT_EQ(sorted.answers_[0].outcome_, JobOutcome::Refused);
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

/// The takeover of a leader, with jobs of an earlier one.
class WaitingStoredJobTest : public StoredJobTest
{
protected:
  /// Restores a job that is placed once the takeover has ended.
  void RestoreEarlier(const JobDescription& aJob,
                      const std::string& aService = "desk",
                      int aMs = 0)
  {
    JobQueue queue = Queue();
    queue.service_ = aService;
    scheduler_.Restore(aJob, 0, queue, {}, Millis(0), true, At(aMs));
  }

  /// A lasting job with one task more than upstreams that it may use.
  static JobDescription OneTaskTooMany(int aNumber)
  {
    JobDescription job = Job(3, "lasting-" + std::to_string(100 + aNumber));
    job.steps_[0].resources_.cpu_ = 1;
    job.steps_[0].maxPerUpstream_ = 1;
    job.steps_[0].longRunning_ = true;
    return job;
  }

  size_t TickUntil(int aFromMs, int aToMs)
  {
    size_t runs = 0;
    for (int ms = aFromMs; ms <= aToMs; ms += 25) {
      scheduler_.Tick(At(ms));
      runs += Take().Runs();
    }
    return runs;
  }
};

// Guards against LOST: eight jobs with a task that may not run beside the
// others of its step hid all jobs behind them (review/9).
TEST_F(WaitingStoredJobTest, TasksAtTheirLimitDoNotKeepOtherJobsWaiting)
{
  scheduler_.SetTakingOver(true, At(0));
  for (int i = 0; i < 80; ++i) {
    RestoreEarlier(OneTaskTooMany(i));
  }
  RestoreEarlier(Job(), "desk", 10);
  scheduler_.SetTakingOver(false, At(20));
  EXPECT_EQ(Take().Runs() + TickUntil(25, 500), 80U * 2 + 1);
}

// Guards against LOST: jobs of a full service hid those of an idle one after
// the loss of a leader.
TEST_F(WaitingStoredJobTest, JobsOfAFullServiceDoNotKeepThoseOfOthersWaiting)
{
  UpstreamReport full = Full("u1", kTwoSecondsOfWork, 0);
  full.service_ = "full";
  scheduler_.OnReports(kFirst, { .upstream_ = full }, At(0));
  scheduler_.SetTakingOver(true, At(0));
  for (int i = 0; i < 100; ++i) {
    RestoreEarlier(Job(1, "waits-" + std::to_string(100 + i)), "full");
  }
  RestoreEarlier(Job(), "desk", 10);
  scheduler_.SetTakingOver(false, At(20));
  EXPECT_EQ(Take().Runs() + TickUntil(25, 100), 1U);
}

TEST_F(WaitingStoredJobTest, ATaskAtItsLimitIsPlacedOnceOneOfItsStepHasEnded)
{
  JobDescription job = Job(3);
  job.steps_[0].maxPerUpstream_ = 1;
  Restore(job);
  const SortedActions sent = Take();
  ASSERT_EQ(sent.Runs(), 2U);
  EXPECT_EQ(TickUntil(25, 500), 0U);
  End(sent.runs_[0], RunEnd::Done, 510);
  EXPECT_EQ(Take().Runs() + TickUntil(525, 600), 1U);
}

TEST_F(WaitingStoredJobTest, ATaskAtItsLimitIsPlacedOnAnUpstreamThatGetsRoom)
{
  scheduler_.OnReports(
    kSecond, { .upstream_ = Full("u2", kTwoSecondsOfWork, 0) }, At(1));
  JobDescription job = Job(2);
  job.steps_[0].maxPerUpstream_ = 1;
  Restore(job, {}, false, 2);
  ASSERT_EQ(Take().Runs(), 1U);
  EXPECT_EQ(TickUntil(25, 500), 0U);
  scheduler_.OnReports(kSecond, { .upstream_ = Idle("u2") }, At(510));
  EXPECT_EQ(Take().Runs() + TickUntil(525, 600), 1U);
}

// Of two steps, one has room.
TEST_F(WaitingStoredJobTest, EachStepOfAJobWaitsForItsOwnNeed)
{
  JobDescription job = Job(1);
  job.steps_.push_back(job.steps_[0]);
  job.steps_[0].requiredLabel_ = "rack-u1";
  job.steps_[1].requiredLabel_ = "rack-u2";
  scheduler_.OnReports(
    kFirst, { .upstream_ = Full("u1", kTwoSecondsOfWork, 0) }, At(1));
  scheduler_.OnReports(
    kSecond, { .upstream_ = Full("u2", kTwoSecondsOfWork, 0) }, At(1));
  Restore(job, {}, false, 2);
  EXPECT_EQ(Take().Runs(), 0U);
  scheduler_.OnReports(kSecond, { .upstream_ = Idle("u2") }, At(50));
  EXPECT_EQ(Take().Runs() + TickUntil(75, 100), 1U);
  scheduler_.OnReports(kFirst, { .upstream_ = Idle("u1") }, At(150));
  EXPECT_EQ(Take().Runs() + TickUntil(175, 200), 1U);
}

TEST_F(WaitingStoredJobTest, ALeaderThatRegainsAuthorityPlacesWhatWaits)
{
  scheduler_.SetAuthority(At(10), At(0));
  Restore(Job(), {}, false, 20);
  EXPECT_EQ(Take().Runs() + TickUntil(25, 100), 0U);
  scheduler_.SetAuthority(At(5000), At(110));
  EXPECT_EQ(Take().Runs() + TickUntil(125, 150), 1U);
}

// Small tasks keep both upstreams busy, and each of their jobs is younger.
TEST_F(WaitingStoredJobTest, AWideTaskDoesNotStarveBehindSmallOnes)
{
  struct Run
  {
    SendRuns send_;
    int until_ = 0;
  };
  constexpr int kRunMs = 100;
  constexpr int kStepMs = 10;
  std::map<MemberId, std::deque<Run>> running;
  const auto report = [&](MemberId aSidecar, int aMs) {
    UpstreamReport upstream = Idle(aSidecar == kFirst ? "u1" : "u2");
    upstream.ordersReceived_ = 100000;
    std::vector<RunReport> ended;
    std::deque<Run>& runs = running[aSidecar];
    for (; !runs.empty() && runs.front().until_ <= aMs; runs.pop_front()) {
      const StartRuns& orders = runs.front().send_.orders_;
      ended.push_back(
        { .key_ = { orders.Task(orders.runs_[0]), orders.runs_[0].run_ },
          .end_ = RunEnd::Done,
          .runTime_ = Millis(kRunMs),
          .unacknowledged_ = true });
    }
    upstream.committed_.cpu_ = 1000 * static_cast<int64_t>(runs.size());
    scheduler_.OnReports(
      aSidecar, { .reports_ = ended, .upstream_ = upstream }, At(aMs));
  };
  JobDescription wide = Job(1, "wide");
  wide.steps_[0].resources_.cpu_ = 4000;
  bool wideRuns = false;
  for (int ms = 0; ms < 6000 && !wideRuns; ms += kStepMs) {
    for (const MemberId sidecar : { kFirst, kSecond }) {
      report(sidecar, ms);
    }
    if (ms == 500) {
      Restore(wide, {}, false, ms);
    }
    Restore(Job(1, "small-" + std::to_string(10000 + ms)), {}, false, ms);
    for (SendRuns& send : Take().runs_) {
      wideRuns |= send.orders_.job_ == "wide";
      running[send.sidecar_].push_back({ send, ms + kRunMs });
    }
  }
  EXPECT_TRUE(wideRuns);
}

// What runs there lasts, so that the wide task never gets it.
TEST_F(WaitingStoredJobTest, AReservationKeepsNoOtherJobWaitingForLong)
{
  UpstreamReport busy = Idle("u1");
  busy.committed_.cpu_ = 1000;
  scheduler_.OnReports(kFirst, { .upstream_ = busy }, At(0));
  JobDescription wide = Job(1, "wide");
  wide.steps_[0].resources_.cpu_ = 4000;
  wide.steps_[0].requiredLabel_ = "rack-u1";
  Restore(wide);
  EXPECT_EQ(TickUntil(25, 1500), 0U);
  JobDescription small = Job(1, "small");
  small.steps_[0].requiredLabel_ = "rack-u1";
  Restore(small, {}, false, 1501);
  EXPECT_EQ(Take().Runs(), 0U) << "reserved";
  EXPECT_EQ(TickUntil(1525, 3500), 1U);
}

// The reservation is renewed at intervals only.
TEST_F(WaitingStoredJobTest, AReservationEndsOnceItsJobIsPlaced)
{
  for (const MemberId sidecar : { kFirst, kSecond }) {
    scheduler_.OnReports(
      sidecar,
      { .upstream_ =
          Full(sidecar == kFirst ? "u1" : "u2", kTwoSecondsOfWork, 0) },
      At(0));
  }
  Restore(Job(1, "first"));
  EXPECT_EQ(TickUntil(25, 1500), 0U);
  for (int i = 0; i < 3; ++i) {
    Restore(Job(1, "later-" + std::to_string(i)), {}, false, 1501);
  }
  UpstreamReport idle = Idle("u1");
  scheduler_.OnReports(kFirst, { .upstream_ = idle }, At(1510));
  EXPECT_EQ(Take().Runs(), 4U) << "all of them at once";
}

} // namespace
} // namespace cornelfront::job_scheduler_test
