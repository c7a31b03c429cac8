#include "checks.h"

#include <gtest/gtest.h>

namespace cornelfront::soak {
namespace {

const std::string kJob = "0000000100000001";

harness::RunRecord
MakeRun(WallMillis aStarted,
        WallMillis aEnded,
        const std::string& aOutcome,
        WallMillis aAcknowledged)
{
  return { .task_ = kJob + ".0.0.0",
           .run_ = 1,
           .started_ = aStarted,
           .ended_ = aEnded,
           .outcome_ = aOutcome,
           .acknowledged_ = aAcknowledged };
}

JobRecord
Stored()
{
  return {
    .id_ = kJob, .tasks_ = 1, .accepted_ = 5, .states_ = { "completed" }
  };
}

size_t
Violations(const JobRecord& aJob, std::vector<harness::RunRecord> aRuns)
{
  return FindViolations({ .jobs_ = { aJob }, .runs_ = std::move(aRuns) })
    .size();
}

TEST(SoakChecks, AJobThatWentWellBreaksNothing)
{
  EXPECT_EQ(Violations(Stored(), { MakeRun(10, 20, "done", 25) }), 0U);
  EXPECT_EQ(
    Violations(Stored(),
               { MakeRun(10, 20, "done", 0), MakeRun(30, 40, "done", 45) }),
    0U)
    << "the first end was never acknowledged";
}

TEST(SoakChecks, FindsRunsThatMustNotBe)
{
  EXPECT_EQ(
    Violations(Stored(),
               { MakeRun(10, 30, "lapsed", 0), MakeRun(20, 40, "done", 45) }),
    1U)
    << "overlapping runs";
  EXPECT_EQ(
    Violations(Stored(),
               { MakeRun(10, 20, "done", 50), MakeRun(30, 40, "done", 0) }),
    1U)
    << "run after an end that was acknowledged later";
  EXPECT_EQ(Violations(Stored(),
                       { MakeRun(10, 20, "done", 25), MakeRun(30, 0, "", 0) }),
            2U)
    << "run after an acknowledged end, still running at the end";
  JobRecord refused{ .id_ = kJob, .tasks_ = 1, .refused_ = true };
  EXPECT_EQ(Violations(refused, { MakeRun(10, 20, "done", 0) }), 1U);
  JobRecord other{ .id_ = "0000000200000001" };
  EXPECT_EQ(Violations(other, { MakeRun(10, 20, "done", 0) }), 1U)
    << "the job was not submitted";
}

TEST(SoakChecks, FindsJobsThatAreNotWhole)
{
  EXPECT_EQ(Violations(Stored(), { MakeRun(10, 20, "lapsed", 0) }), 1U);
  JobRecord job = Stored();
  job.states_ = { "completed", "running" };
  EXPECT_EQ(Violations(job, { MakeRun(10, 20, "done", 25) }), 1U);
  job.cancelled_ = 8;
  job.states_ = { "cancelled" };
  EXPECT_EQ(Violations(job, {}), 0U);
  JobRecord answered{ .id_ = kJob,
                      .bestEffort_ = true,
                      .tasks_ = 2,
                      .answer_ = "completed",
                      .answered_ = 50 };
  EXPECT_EQ(Violations(answered, { MakeRun(10, 20, "done", 0) }), 1U)
    << "only one of two tasks has a run";
}

TEST(SoakChecks, AJobMayFailOnceTwoExecutorsHaveCrashedUnderOneTask)
{
  JobRecord answered{ .id_ = kJob,
                      .bestEffort_ = true,
                      .tasks_ = 2,
                      .answer_ = "failed",
                      .answered_ = 50 };
  const auto first = MakeRun(10, 20, "crashed", 0);
  auto other = MakeRun(25, 30, "crashed", 0);
  other.task_ = kJob + ".0.0.1";
  EXPECT_EQ(Violations(answered, {}), 1U);
  EXPECT_EQ(Violations(answered, { first, other }), 1U)
    << "one crash under each of two tasks";
  EXPECT_EQ(Violations(answered, { first, MakeRun(25, 30, "crashed", 0) }), 0U);
  JobRecord stored = Stored();
  stored.states_ = { "failed" };
  EXPECT_EQ(Violations(stored, { first }), 1U);
  EXPECT_EQ(Violations(stored, { first, MakeRun(25, 30, "crashed", 0) }), 0U);
}

TEST(SoakChecks, FindsStartsAndCutsThatHaveNoExcuse)
{
  Observations seen{ .jobs_ = { Stored() },
                     .runs_ = { MakeRun(10, 20, "done", 25) },
                     .noStart_ = { { 0, 5, 15, "draining" } },
                     .aborted_ = { { 1, 10, 20 }, { 0, 10, 20 } },
                     .undisturbed_ = { { 1, 5, 25 }, { 0, 15, 25 } } };
  EXPECT_EQ(FindViolations(seen).size(), 2U);
}

// Seeds 9933 and 20101: an entry is killed in the millisecond in which its
// requests end.
TEST(SoakChecks, ACutInTheMillisecondOfAFaultHasAnExcuse)
{
  Observations seen{ .aborted_ = { { 0, 10, 20 } },
                     .undisturbed_ = { { 0, 5, 20 } } };
  EXPECT_TRUE(FindViolations(seen).empty());
  seen.undisturbed_[0].to_ = 21;
  EXPECT_EQ(FindViolations(seen).size(), 1U);
}

TEST(SoakChecks, TheLeastMarginIsThatOfRunsWhoseEndNobodyToldInTime)
{
  const auto on = [](harness::RunRecord aRun, unsigned aExecutor) {
    aRun.executor_ = aExecutor;
    return aRun;
  };
  const auto last = on(MakeRun(600, 700, "done", 0), 1);
  const auto lapsed = MakeRun(100, 400, "lapsed", 0);
  EXPECT_EQ(LeastMargin({ last }), std::nullopt);
  EXPECT_EQ(LeastMargin({ last, lapsed }), Millis(200)) << "in any order";
  EXPECT_EQ(LeastMargin({ on(lapsed, 1), last }), std::nullopt)
    << "on the same executor";
  EXPECT_EQ(LeastMargin({ MakeRun(100, 590, "failed", 0), last }), std::nullopt)
    << "its end was told";
  EXPECT_EQ(LeastMargin({ MakeRun(100, 601, "stopped", 0), last }), Millis(-1))
    << "two at once";
  auto other = on(MakeRun(430, 440, "done", 0), 2);
  EXPECT_EQ(LeastMargin({ lapsed, other, last }), Millis(30));
  other.task_ = kJob + ".0.0.1";
  EXPECT_EQ(LeastMargin({ lapsed, other, last }), Millis(200))
    << "of another task";
}

TEST(SoakChecks, FindsAStepThatBeganTooEarly)
{
  JobRecord job = Stored();
  job.steps_ = 2;
  harness::RunRecord second = MakeRun(15, 30, "done", 35);
  second.task_ = kJob + ".0.1.0";
  EXPECT_EQ(Violations(job, { MakeRun(10, 20, "done", 25), second }), 1U);
  second.started_ = 21;
  EXPECT_EQ(Violations(job, { MakeRun(10, 20, "done", 25), second }), 0U);
  EXPECT_EQ(Violations(job, { MakeRun(10, 20, "done", 25) }), 1U)
    << "a task of the second step has not run";
}

TEST(SoakChecks, FindsAnOccurrenceThatHasNotRun)
{
  JobRecord job = Stored();
  job.occurrences_ = 2;
  EXPECT_EQ(Violations(job, { MakeRun(10, 20, "done", 25) }), 1U);
}

} // namespace
} // namespace cornelfront::soak
