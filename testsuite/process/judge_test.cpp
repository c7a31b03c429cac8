/// \file
/// Tests that the checker of the process tests reports each kind of violation,
/// and accepts a correct history.

#include "judge.h"

#include "cornelfront/codec.h"

#include <gtest/gtest-spi.h>
#include <gtest/gtest.h>

namespace cornelfront::harness {
namespace {

const Submission kCall{ .id_ = "p.1", .bodies_ = { "x" } };

CallerAnswer
Whole()
{
  return { .outcome_ = Answer::Completed, .results_ = { Sha256Hex("x") } };
}

StartRecord
Start()
{
  return { .submission_ = "p.1", .bodyDigest_ = Sha256Hex("x") };
}

// Globals, because EXPECT_NONFATAL_FAILURE runs its statement in a static
// function that cannot access local variables.
Judge gJudge;
std::vector<StartRecord> gStarts;

void
Arrange(const CallerAnswer& aAnswer, std::vector<StartRecord> aStarts)
{
  std::destroy_at(&gJudge);
  std::construct_at(&gJudge);
  gJudge.Note(kCall, aAnswer);
  gStarts = std::move(aStarts);
}

TEST(Judge, AcceptsAWholeAnswer)
{
  Arrange(Whole(), { Start() });
  gJudge.Check(gStarts);
}

TEST(Judge, FindsASecondStart)
{
  Arrange({ .outcome_ = Answer::Failed }, { Start(), Start() });
  EXPECT_NONFATAL_FAILURE(gJudge.Check(gStarts), "started again");
}

TEST(Judge, FindsACompletedAnswerWithoutAStart)
{
  Arrange(Whole(), {});
  EXPECT_NONFATAL_FAILURE(gJudge.Check(gStarts), "aStarts.size()");
}

TEST(Judge, FindsAnotherCallersResult)
{
  CallerAnswer answer = Whole();
  answer.results_ = { Sha256Hex("y") };
  Arrange(answer, { Start() });
  EXPECT_NONFATAL_FAILURE(gJudge.Check(gStarts), "IsWhole");
}

TEST(Judge, FindsAStartAfterARefusal)
{
  StartRecord start = Start();
  start.started_ = WallTime::max();
  Arrange({ .outcome_ = Answer::Refused, .mayHaveRun_ = false }, { start });
  EXPECT_NONFATAL_FAILURE(gJudge.Check(gStarts), "was only refused");
}

TEST(Judge, FindsARefusalOfWhatFailed)
{
  Arrange({ .outcome_ = Answer::Failed }, { Start() });
  gJudge.Note(kCall, { .outcome_ = Answer::Refused, .mayHaveRun_ = false });
  EXPECT_NONFATAL_FAILURE(gJudge.Check(gStarts), "refused what had started");
}

} // namespace
} // namespace cornelfront::harness
