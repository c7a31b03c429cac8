/// \file
/// Tests that the checker of the process tests reports each kind of violation,
/// and accepts a correct history.

#include "history_checker.h"

#include "cornelfront/codec.h"

#include <gtest/gtest-spi.h>
#include <gtest/gtest.h>

namespace cornelfront::harness {
namespace {

const Submission kCall{ .id_ = "p.1", .bodies_ = { "x" } };

CallerAnswer
CompleteAnswer()
{
  return { .outcome_ = AnswerOutcome::Completed,
           .results_ = { Sha256Hex("x") } };
}

StartRecord
Start()
{
  return { .submission_ = "p.1", .bodyDigest_ = Sha256Hex("x") };
}

// Globals, because EXPECT_NONFATAL_FAILURE runs its statement in a static
// function that cannot access local variables.
HistoryChecker gChecker;
std::vector<StartRecord> gStarts;

void
Arrange(const CallerAnswer& aAnswer, std::vector<StartRecord> aStarts)
{
  std::destroy_at(&gChecker);
  std::construct_at(&gChecker);
  gChecker.RecordAnswer(kCall, aAnswer);
  gStarts = std::move(aStarts);
}

TEST(HistoryChecker, AcceptsACompleteAnswer)
{
  Arrange(CompleteAnswer(), { Start() });
  gChecker.Check(gStarts);
}

TEST(HistoryChecker, ReportsASecondStart)
{
  Arrange({ .outcome_ = AnswerOutcome::Failed }, { Start(), Start() });
  EXPECT_NONFATAL_FAILURE(gChecker.Check(gStarts), "started again");
}

TEST(HistoryChecker, ReportsACompletedAnswerWithoutAStart)
{
  Arrange(CompleteAnswer(), {});
  EXPECT_NONFATAL_FAILURE(gChecker.Check(gStarts), "aStarts.size()");
}

TEST(HistoryChecker, ReportsAnotherCallersResult)
{
  CallerAnswer answer = CompleteAnswer();
  answer.results_ = { Sha256Hex("y") };
  Arrange(answer, { Start() });
  EXPECT_NONFATAL_FAILURE(gChecker.Check(gStarts), "HasExpectedResults");
}

TEST(HistoryChecker, ReportsAStartAfterARefusal)
{
  StartRecord start = Start();
  start.started_ = WallTime::max();
  Arrange({ .outcome_ = AnswerOutcome::Refused, .mayHaveRun_ = false },
          { start });
  EXPECT_NONFATAL_FAILURE(gChecker.Check(gStarts), "was only refused");
}

TEST(HistoryChecker, ReportsARefusalOfAFailedSubmission)
{
  Arrange({ .outcome_ = AnswerOutcome::Failed }, { Start() });
  gChecker.RecordAnswer(
    kCall, { .outcome_ = AnswerOutcome::Refused, .mayHaveRun_ = false });
  EXPECT_NONFATAL_FAILURE(gChecker.Check(gStarts), "refused what had started");
}

} // namespace
} // namespace cornelfront::harness
