#include "cornelfront/job_engine.h"

#include <gtest/gtest.h>

#include <random>

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
                         .room_ = { .cpu_ = 1000 },
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

/// The engine's actions, sorted by kind.
struct Wanted
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

class JobEngineTest : public testing::Test
{
protected:
  JobEngineTest()
  {
    Link(kFirst, Idle("u1"));
    Link(kSecond, Idle("u2"));
  }

  void Link(MemberId aSidecar, const UpstreamReport& aReport, int aMs = 0)
  {
    engine_.OnSidecar(aSidecar, "zone-" + ToString(aSidecar), At(aMs));
    engine_.OnHeld(aSidecar, {}, RunEnd::NotStarted, At(aMs));
    engine_.OnReports(aSidecar, { .upstream_ = aReport }, At(aMs));
  }

  void Submit(const JobDescription& aJob, int aMs = 0, JobTicket aTicket = 1)
  {
    engine_.Submit(aTicket, aJob, Queue(), At(aMs + 5000), At(aMs));
  }

  Wanted Take()
  {
    Wanted wanted;
    for (JobAction& action : engine_.TakeActions()) {
      if (auto* runs = std::get_if<SendRuns>(&action)) {
        wanted.runs_.push_back(std::move(*runs));
      } else if (auto* stops = std::get_if<SendStops>(&action)) {
        wanted.stops_.push_back(std::move(*stops));
      } else if (auto* answer = std::get_if<AnswerJob>(&action)) {
        wanted.answers_.push_back(std::move(*answer));
      }
    }
    return wanted;
  }

  void End(const SendRuns& aSend, RunEnd aEnd, int aMs, size_t aIndex = 0)
  {
    UpstreamReport report = Idle(aSend.sidecar_ == kFirst ? "u1" : "u2");
    report.ordersReceived_ = 1000;
    engine_.OnReports(
      aSend.sidecar_,
      { .reports_ = { { .key_ = { aSend.orders_.Task(
                                    aSend.orders_.runs_.at(aIndex)),
                                  aSend.orders_.runs_.at(aIndex).run_ },
                        .end_ = aEnd,
                        .runTime_ = Millis(100) } },
        .upstream_ = report },
      At(aMs));
  }

  JobEngine engine_{ JobEngineOptions{ .zone_ = "z" } };
};

TEST_F(JobEngineTest, AJobIsCompletedWhenAllItsTasksAre)
{
  Submit(Job(2));
  const Wanted sent = Take();
  ASSERT_EQ(sent.Runs(), 2U);
  EXPECT_EQ(sent.runs_.size(), 2U) << "both upstreams are used";
  End(sent.runs_[0], RunEnd::Done, 100);
  EXPECT_TRUE(Take().answers_.empty());
  End(sent.runs_[1], RunEnd::Done, 110);
  const Wanted done = Take();
  ASSERT_EQ(done.answers_.size(), 1U);
  EXPECT_EQ(done.answers_[0].outcome_, JobOutcome::Completed);
  EXPECT_EQ(engine_.Jobs(), 0U);
}

TEST_F(JobEngineTest, AStepWaitsForThoseBeforeIt)
{
  JobDescription job = Job();
  job.steps_.push_back(job.steps_[0]);
  job.steps_[1].after_ = { 0 };
  Submit(job);
  const Wanted first = Take();
  ASSERT_EQ(first.Runs(), 1U);
  End(first.runs_[0], RunEnd::Done, 100);
  const Wanted second = Take();
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
  : public JobEngineTest
  , public testing::WithParamInterface<EndCase>
{};

TEST_P(FailedRunTest, StartsElsewhereWithAHigherNumber)
{
  Submit(Job());
  SendRuns sent = Take().runs_.at(0);
  for (uint32_t run = 2; run <= 4; ++run) {
    End(sent, GetParam().end_, static_cast<int>(run) * 10);
    const Wanted again = Take();
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
                  EndCase{ "lapsed", RunEnd::Lapsed, false },
                  EndCase{ "broken", RunEnd::Broken, false },
                  EndCase{ "alone", RunEnd::Alone, false },
                  EndCase{ "not_started", RunEnd::NotStarted, false },
                  EndCase{ "lost", RunEnd::Lost, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

TEST_F(JobEngineTest, OrdersTellTheLatestStartThatMeetsTheObjective)
{
  // The objective allows 2 * 100 ms + 100 ms, of which the work takes 100 ms.
  Submit(Job());
  Wanted wanted = Take();
  ASSERT_EQ(wanted.runs_.size(), 1U);
  EXPECT_EQ(wanted.runs_[0].orders_.startGoal_, Millis(200));

  JobDescription chain = Job(1, "00000000000000a2");
  chain.steps_.push_back(chain.steps_.front());
  chain.steps_.back().after_ = { 0 };
  Submit(chain, 0, 2);
  wanted = Take();
  ASSERT_EQ(wanted.runs_.size(), 1U);
  EXPECT_EQ(wanted.runs_[0].orders_.startGoal_, Millis(300));
  End(wanted.runs_[0], RunEnd::Done, 100);
  wanted = Take();
  ASSERT_EQ(wanted.runs_.size(), 1U);
  EXPECT_EQ(wanted.runs_[0].orders_.startGoal_, Millis(300));
}

TEST_F(JobEngineTest, AReportThatComesTwiceCountsOnce)
{
  Submit(Job(2));
  const Wanted sent = Take();
  End(sent.runs_[0], RunEnd::Done, 10);
  End(sent.runs_[0], RunEnd::Done, 11);
  EXPECT_TRUE(Take().answers_.empty());
}

TEST_F(JobEngineTest, AJobThatNothingCanRunIsRefusedAtOnce)
{
  JobDescription large = Job();
  large.steps_[0].room_.cpu_ = 5000;
  Submit(large);
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.answers_.size(), 1U);
  EXPECT_EQ(wanted.answers_[0].outcome_, JobOutcome::Refused);
  EXPECT_GT(wanted.answers_[0].retryAfter_, Millis(0));
  EXPECT_TRUE(wanted.runs_.empty());
}

TEST_F(JobEngineTest, AJobThatWouldWaitPastItsObjectiveIsRefusedAtOnce)
{
  for (const MemberId sidecar : { kFirst, kSecond }) {
    UpstreamReport full = Idle(sidecar == kFirst ? "u1" : "u2");
    full.committed_ = { .cpu_ = 8000 };
    // Two seconds of work for the whole upstream.
    full.backlog_ = { kTwoSecondsOfWork };
    engine_.OnReports(sidecar, { .upstream_ = full }, At(1));
  }
  Submit(Job(), 2);
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.answers_.size(), 1U);
  EXPECT_EQ(wanted.answers_[0].outcome_, JobOutcome::Refused);
  EXPECT_GE(wanted.answers_[0].retryAfter_, Millis(2000));
  EXPECT_TRUE(wanted.runs_.empty());
}

TEST_F(JobEngineTest, WorkOfLowerPriorityDoesNotCountAsWait)
{
  for (const MemberId sidecar : { kFirst, kSecond }) {
    UpstreamReport full = Idle(sidecar == kFirst ? "u1" : "u2");
    full.committed_ = { .cpu_ = 4000 };
    full.backlog_ = { 0, 0, kTwoSecondsOfWork };
    engine_.OnReports(sidecar, { .upstream_ = full }, At(1));
  }
  Submit(Job(), 2);
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobEngineTest, NothingIsSentToAZoneThatIsOut)
{
  engine_.SetZonesOut({ "zone-" + ToString(kFirst) }, At(0));
  Submit(Job(3));
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.runs_.size(), 1U);
  EXPECT_EQ(wanted.runs_[0].sidecar_, kSecond);
}

TEST_F(JobEngineTest, LabelsAndLimitsPerUpstreamHold)
{
  JobDescription job = Job(2);
  job.steps_[0].requiredLabel_ = "rack-u2";
  job.steps_[0].maxPerUpstream_ = 1;
  Submit(job);
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.Runs(), 1U);
  EXPECT_EQ(wanted.runs_[0].sidecar_, kSecond);
  // The other task is placed when the first has ended.
  End(wanted.runs_[0], RunEnd::Done, 10);
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobEngineTest, AClientThatLeavesStopsItsJob)
{
  Submit(Job(2));
  Take();
  engine_.Abandon(1, At(10));
  const Wanted wanted = Take();
  EXPECT_EQ(wanted.stops_.size(), 2U);
  EXPECT_TRUE(wanted.answers_.empty());
  EXPECT_EQ(engine_.Jobs(), 0U);
}

TEST_F(JobEngineTest, AtTheDeadlineAJobThatMayHaveRunIsNotCalledRefused)
{
  Submit(Job());
  Take();
  for (int ms = 500; ms <= 5000; ms += 500) {
    engine_.Tick(At(ms));
  }
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.answers_.size(), 1U);
  EXPECT_EQ(wanted.answers_[0].outcome_, JobOutcome::GivenUp);
  EXPECT_EQ(wanted.stops_.size(), 1U);
}

TEST_F(JobEngineTest, AtTheDeadlineAJobThatNeverStartedIsRefused)
{
  Submit(Job());
  End(Take().runs_.at(0), RunEnd::NotStarted, 10);
  End(Take().runs_.at(0), RunEnd::NotStarted, 20);
  // No upstream is available for the third attempt.
  for (const MemberId sidecar : { kFirst, kSecond }) {
    engine_.OnReports(sidecar, {}, At(30));
  }
  End(Take().runs_.at(0), RunEnd::NotStarted, 40);
  for (const MemberId sidecar : { kFirst, kSecond }) {
    engine_.OnReports(sidecar, {}, At(50));
  }
  Wanted again = Take();
  if (!again.runs_.empty()) {
    engine_.OnHeld(again.runs_[0].sidecar_, {}, RunEnd::NotStarted, At(60));
    engine_.OnReports(kFirst, {}, At(60));
    engine_.OnReports(kSecond, {}, At(60));
    Take();
  }
  for (int ms = 500; ms <= 5000; ms += 500) {
    engine_.Tick(At(ms));
  }
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.answers_.size(), 1U);
  EXPECT_EQ(wanted.answers_[0].outcome_, JobOutcome::Refused);
}

TEST_F(JobEngineTest, AfterASuspensionAllJobsAreGivenUp)
{
  Submit(Job());
  Take();
  engine_.Tick(At(601));
  const Wanted wanted = Take();
  ASSERT_EQ(wanted.answers_.size(), 1U);
  EXPECT_EQ(wanted.answers_[0].outcome_, JobOutcome::GivenUp);
  EXPECT_EQ(wanted.stops_.size(), 1U);
}

TEST_F(JobEngineTest, RunsOfALostSidecarStartAgainOnlyWhenTheyHaveEnded)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnSidecarLost(sent.sidecar_, At(10));
  for (int ms = 100; ms < 1010; ms += 100) {
    engine_.Tick(At(ms));
    EXPECT_TRUE(Take().runs_.empty()) << ms;
  }
  engine_.Tick(At(1010));
  const Wanted again = Take();
  ASSERT_EQ(again.Runs(), 1U);
  EXPECT_NE(again.runs_[0].sidecar_, sent.sidecar_);
}

TEST_F(JobEngineTest, RunsOfAReplacedSidecarStartAgainOnceItsSuccessorTells)
{
  constexpr MemberId kSuccessor{ 9 };
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnSidecarLost(sent.sidecar_, At(10));
  engine_.OnSuccessor(sent.sidecar_, kSuccessor, At(50));
  EXPECT_EQ(Take().Runs(), 0U);
  engine_.OnSidecar(kSuccessor, "z", At(60));
  engine_.OnHeld(kSuccessor, {}, RunEnd::Lost, At(60));
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobEngineTest, AnEndThatASuccessorKnowsCounts)
{
  constexpr MemberId kSuccessor{ 9 };
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnSidecarLost(sent.sidecar_, At(10));
  engine_.OnSuccessor(sent.sidecar_, kSuccessor, At(50));
  engine_.OnSidecar(kSuccessor, "z", At(60));
  HeldRuns held;
  held.reports_.push_back(
    { .key_ = { sent.orders_.Task(sent.orders_.runs_[0]), 1 },
      .end_ = RunEnd::Done,
      .kept_ = true });
  engine_.OnHeld(kSuccessor, held, RunEnd::Lost, At(60));
  EXPECT_EQ(Take().answers_.at(0).outcome_, JobOutcome::Completed);
}

TEST_F(JobEngineTest, OrdersThatDidNotArriveAreSentAgain)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnSidecarLost(sent.sidecar_, At(10));
  Link(sent.sidecar_, Idle("u1"), 50);
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(JobEngineTest, RunsThatASidecarStillHoldsGoOn)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnSidecarLost(sent.sidecar_, At(10));
  engine_.OnSidecar(sent.sidecar_, "z", At(50));
  engine_.OnHeld(
    sent.sidecar_,
    { .runs_ = { { sent.orders_.Task(sent.orders_.runs_[0]), 1 } } },
    RunEnd::NotStarted,
    At(50));
  EXPECT_TRUE(Take().runs_.empty());
  End(sent, RunEnd::Done, 100);
  EXPECT_EQ(Take().answers_.at(0).outcome_, JobOutcome::Completed);
}

TEST_F(JobEngineTest, AStalledRunIsStoppedAndStartedElsewhere)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnReports(
    sent.sidecar_,
    { .stalled_ = { { { sent.orders_.Task(sent.orders_.runs_[0]), 1 },
                      Millis(300),
                      0 } },
      .upstream_ = Idle(sent.sidecar_ == kFirst ? "u1" : "u2") },
    At(300));
  const Wanted stopped = Take();
  ASSERT_EQ(stopped.stops_.size(), 1U);
  EXPECT_TRUE(stopped.runs_.empty()) << "the first run may still be there";
  End(sent, RunEnd::Stopped, 350);
  const Wanted again = Take();
  ASSERT_EQ(again.Runs(), 1U);
  EXPECT_NE(again.runs_[0].sidecar_, sent.sidecar_);
}

TEST_F(JobEngineTest, ALongTaskThatMakesProgressIsLeftAlone)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  const RunKey key{ sent.orders_.Task(sent.orders_.runs_[0]), 1 };
  const auto stall = [&](int32_t aPercent, int aMs) {
    engine_.OnReports(
      sent.sidecar_,
      { .stalled_ = { { key, Millis(aMs), aPercent } },
        .upstream_ = Idle(sent.sidecar_ == kFirst ? "u1" : "u2") },
      At(aMs));
    return Take().stops_.size();
  };
  EXPECT_EQ(stall(10, 310), 0U);
  EXPECT_EQ(stall(20, 600), 0U);
}

TEST_F(JobEngineTest, ATaskFarBehindTheOthersOfItsStepIsStartedElsewhere)
{
  Submit(Job(2));
  const Wanted sent = Take();
  ASSERT_EQ(sent.runs_.size(), 2U);
  End(sent.runs_[0], RunEnd::Done, 100);
  const SendRuns& slow = sent.runs_[1];
  engine_.OnReports(
    slow.sidecar_,
    { .stalled_ = { { { slow.orders_.Task(slow.orders_.runs_[0]), 1 },
                      Millis(310),
                      50 } },
      .upstream_ = Idle(slow.sidecar_ == kFirst ? "u1" : "u2") },
    At(310));
  EXPECT_EQ(Take().stops_.size(), 1U);
}

TEST_F(JobEngineTest, AJobSubmittedAgainGoesOnForTheNewClient)
{
  Submit(Job());
  const SendRuns sent = Take().runs_.at(0);
  Submit(Job(), 100, 2);
  const Wanted again = Take();
  EXPECT_TRUE(again.runs_.empty());
  ASSERT_EQ(again.answers_.size(), 1U);
  EXPECT_EQ(again.answers_[0].ticket_, 1U);
  End(sent, RunEnd::Done, 150);
  EXPECT_EQ(Take().answers_.at(0).ticket_, 2U);
}

TEST_F(JobEngineTest, MembersOfAGangStartAgainTogether)
{
  JobDescription job = Job(2);
  job.steps_[0].gang_ = true;
  Submit(job);
  const Wanted sent = Take();
  ASSERT_EQ(sent.Runs(), 2U);
  End(sent.runs_[0], RunEnd::Lost, 10);
  const Wanted stopped = Take();
  EXPECT_EQ(stopped.stops_.size(), 1U);
  EXPECT_TRUE(stopped.runs_.empty());
  End(sent.runs_[1], RunEnd::Stopped, 20);
  const Wanted again = Take();
  ASSERT_EQ(again.Runs(), 2U);
  for (const SendRuns& send : again.runs_) {
    for (const RunOrder& order : send.orders_.runs_) {
      EXPECT_EQ(order.run_, 2U);
    }
  }
}

TEST_F(JobEngineTest, AnUpstreamThatFailsEverythingIsAvoided)
{
  std::map<MemberId, int> sent;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "00000000000001" + std::to_string(10 + i);
    Submit(Job(1, id), i * 10, 100 + static_cast<JobTicket>(i));
    Wanted wanted = Take();
    // The first upstream fails every run.
    while (!wanted.runs_.empty()) {
      const SendRuns run = wanted.runs_[0];
      ++sent[run.sidecar_];
      End(run,
          run.sidecar_ == kFirst ? RunEnd::Failed : RunEnd::Done,
          i * 10 + 5);
      wanted = Take();
    }
  }
  EXPECT_LT(sent[kFirst], 10);
  EXPECT_GE(sent[kSecond], 35);
}

class StoredJobTest : public JobEngineTest
{
protected:
  StoredJobTest()
  {
    engine_.Lead(1, At(0));
    engine_.SetTakingOver(false, At(0));
  }

  void Restore(const JobDescription& aJob,
               const JobProgress& aProgress = {},
               bool aFromEarlierLeader = false)
  {
    engine_.Restore(
      aJob, 0, Queue(), aProgress, Millis(0), aFromEarlierLeader, At(0));
  }

  std::vector<SaveJob> Saves()
  {
    std::vector<SaveJob> saves;
    for (JobAction& action : engine_.TakeActions()) {
      if (auto* save = std::get_if<SaveJob>(&action)) {
        saves.push_back(std::move(*save));
      }
    }
    return saves;
  }

  void Report(MemberId aSidecar, const RunKey& aKey, RunEnd aEnd, int aMs)
  {
    engine_.OnReports(
      aSidecar,
      { .reports_ = { { .key_ = aKey, .end_ = aEnd, .kept_ = true } },
        .upstream_ = Idle(aSidecar == kFirst ? "u1" : "u2") },
      At(aMs));
  }

  const RunKey key_{ { kJob, 0, 0, 0 }, 1 };
};

TEST_F(StoredJobTest, EndsAreForgottenOnlyWhenSaved)
{
  Restore(Job(2));
  const Wanted sent = Take();
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
  EXPECT_TRUE(engine_.TakeActions().empty());
  engine_.OnSaved(saves[0].ends_);
  const auto actions = engine_.TakeActions();
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SendForget>(actions[0]));
}

TEST_F(StoredJobTest, WhatIsDoneIsNotRunAgain)
{
  Restore(Job(2), { { { .done_ = true, .endedRun_ = 1 }, {} } });
  const Wanted sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  EXPECT_EQ(sent.runs_[0].orders_.runs_[0].index_, 1U);
}

TEST_F(StoredJobTest, JobsOfAnEarlierLeaderWaitUntilItsRunsAreKnown)
{
  engine_.SetTakingOver(true, At(0));
  Restore(Job(), {}, true);
  EXPECT_EQ(Take().Runs(), 0U);
  engine_.OnTakenOver(kFirst, { .term_ = 1, .runs_ = { key_ } }, At(10));
  engine_.SetTakingOver(false, At(20));
  EXPECT_EQ(Take().Runs(), 0U) << "the run goes on";
  Report(kFirst, key_, RunEnd::Done, 30);
  const auto saves = Saves();
  ASSERT_EQ(saves.size(), 1U);
  EXPECT_EQ(saves[0].outcome_, JobOutcome::Completed);
}

TEST_F(StoredJobTest, KeptEndsOfAnEarlierLeaderCountOnce)
{
  engine_.SetTakingOver(true, At(0));
  // The failure of run 1 is stored already, the end of run 2 is not.
  Restore(Job(), { { { .failedRuns_ = { 1 }, .endedRun_ = 1 } } }, true);
  HeldRuns held{ .term_ = 1 };
  held.reports_.push_back(
    { .key_ = key_, .end_ = RunEnd::Failed, .kept_ = true });
  engine_.OnTakenOver(kFirst, held, At(10));
  EXPECT_TRUE(Saves().empty());
  Report(kFirst, { key_.task_, 2 }, RunEnd::Done, 20);
  EXPECT_EQ(Saves().at(0).outcome_, JobOutcome::Completed);
}

TEST_F(StoredJobTest, FailuresCountInWhateverOrderTheyAreHandedOver)
{
  engine_.SetTakingOver(true, At(0));
  Restore(Job(), {}, true);
  const auto handOver = [&](MemberId aSidecar, uint32_t aRun, int aMs) {
    engine_.OnTakenOver(aSidecar,
                        { .reports_ = { { .key_ = { key_.task_, aRun },
                                          .end_ = RunEnd::Failed,
                                          .kept_ = true } } },
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

TEST_F(StoredJobTest, WithoutAuthorityRunsAreStoppedAndNothingStarts)
{
  Restore(Job());
  const Wanted sent = Take();
  ASSERT_EQ(sent.Runs(), 1U);
  engine_.SetAuthority(false, At(10));
  EXPECT_EQ(Take().stops_.size(), 1U);
  Report(sent.runs_[0].sidecar_, key_, RunEnd::Stopped, 20);
  EXPECT_EQ(Take().Runs(), 0U);
  engine_.SetAuthority(true, At(30));
  EXPECT_EQ(Take().Runs(), 1U);
}

TEST_F(StoredJobTest, ATaskThatWasDoneAfterAllIsNotGoneOnWith)
{
  Restore(Job());
  const SendRuns sent = Take().runs_.at(0);
  engine_.OnSidecarLost(sent.sidecar_, At(10));
  // Until 6500 ms after the loss, the sidecar may still hold the run or its
  // end.
  for (int ms = 100; ms <= 6500; ms += 100) {
    engine_.Tick(At(ms));
    EXPECT_EQ(Take().Runs(), 0U) << ms;
  }
  engine_.Tick(At(6510));
  ASSERT_EQ(Take().Runs(), 1U);
  Link(sent.sidecar_, Idle("u1"), 6600);
  Report(sent.sidecar_, key_, RunEnd::Done, 6610);
  size_t stops = 0;
  std::optional<JobOutcome> outcome;
  for (const JobAction& action : engine_.TakeActions()) {
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
  engine_.Follow(At(10));
  EXPECT_TRUE(engine_.TakeActions().empty());
  EXPECT_EQ(engine_.Jobs(), 0U);
}

TEST_F(StoredJobTest, LongRunningTasksStartAgainHoweverTheyEnd)
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
                            RunEnd::Lapsed }) {
    Report(
      sent.sidecar_,
      { sent.orders_.Task(sent.orders_.runs_[0]), sent.orders_.runs_[0].run_ },
      end,
      ms += 10);
    const Wanted again = Take();
    ASSERT_EQ(again.Runs(), 1U) << ToString(end);
    sent = again.runs_[0];
  }
}

TEST_F(StoredJobTest, ACancelledJobIsStoppedAndItsEndsForgotten)
{
  Restore(Job());
  const MemberId sidecar = Take().runs_.at(0).sidecar_;
  EXPECT_TRUE(engine_.Cancel(kJob, At(10)));
  EXPECT_EQ(Take().stops_.size(), 1U);
  Report(sidecar, key_, RunEnd::Stopped, 20);
  const auto actions = engine_.TakeActions();
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SendForget>(actions[0]));
}

/// Checks invariants under random sequences of events: a task never has two
/// runs that may exist at the same time, a refused job has never run, and each
/// submission is answered or abandoned exactly once.
class RandomHistory : public testing::TestWithParam<uint32_t>
{};

TEST_P(RandomHistory, KeepsWhatMustHold)
{
  std::mt19937 random(GetParam());
  const auto pick = [&](int aBelow) {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(random);
  };
  JobEngine engine(JobEngineOptions{ .zone_ = "z" });
  std::map<MemberId, std::set<RunKey>> present;
  std::set<RunKey> begun;
  std::map<JobTicket, std::string> open;
  std::map<TaskName, std::set<MemberId>> holders;
  int now = 0;
  JobTicket ticket = 0;
  for (const MemberId id : { kFirst, kSecond }) {
    engine.OnSidecar(id, "z", At(0));
    engine.OnReports(id, { .upstream_ = Idle(ToString(id)) }, At(0));
  }
  const auto perform = [&] {
    for (const JobAction& action : engine.TakeActions()) {
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
        ASSERT_EQ(open.count(answer->ticket_), 1U);
        const std::string job = open[answer->ticket_];
        open.erase(answer->ticket_);
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
    engine.OnReports(aSidecar,
                     { .reports_ = { { .key_ = aKey, .end_ = aEnd } },
                       .upstream_ = Idle(ToString(aSidecar)) },
                     At(now));
  };
  for (int step = 0; step < 2000; ++step) {
    now += pick(20);
    const MemberId sidecar = pick(2) == 0 ? kFirst : kSecond;
    switch (pick(8)) {
      case 0: {
        ++ticket;
        char id[17];
        snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(ticket));
        open[ticket] = id;
        engine.Submit(ticket,
                      Job(1 + static_cast<uint32_t>(pick(3)), id),
                      Queue(),
                      At(now + 400),
                      At(now));
        break;
      }
      case 1:
        if (!open.empty()) {
          const JobTicket gone = open.begin()->first;
          open.erase(gone);
          engine.Abandon(gone, At(now));
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
        engine.Tick(At(now));
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
        engine.OnSidecarLost(sidecar, At(now));
        engine.OnSidecar(sidecar, "z", At(now));
        engine.OnHeld(sidecar, held, RunEnd::NotStarted, At(now));
        engine.OnReports(
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
        engine.OnSidecarLost(sidecar, At(now));
        engine.OnSidecar(sidecar, "z", At(now));
        engine.OnHeld(sidecar, {}, RunEnd::Lost, At(now));
        engine.OnReports(
          sidecar, { .upstream_ = Idle(ToString(sidecar)) }, At(now));
        break;
      }
    }
    perform();
  }
  for (int i = 0; i < 5; ++i) {
    now += 200;
    engine.Tick(At(now));
    perform();
  }
  EXPECT_TRUE(open.empty());
  EXPECT_EQ(engine.Jobs(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomHistory, testing::Range(1U, 41U));

} // namespace
} // namespace cornelfront
