#include "cornelfront/submission_table.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr Millis kLifetime{ 1000 };
constexpr Millis kMaxRunTime{ 500 };

class SubmissionTableTest : public testing::Test
{
protected:
  static SubmissionId Id(const std::string& aSuffix, Millis aIssued = Millis(0))
  {
    return { .prefix_ = { .issuedAt_ = aIssued }, .suffix_ = aSuffix };
  }

  static FinalAnswerPtr Result(Outcome aOutcome, size_t aBytes = 1)
  {
    JobResult result{ .outcome_ = aOutcome };
    result.answers_.push_back({ .body_ = std::string(aBytes, 'x') });
    return std::make_shared<const FinalAnswer>(result);
  }

  BeginResult Begin(const SubmissionId& aId, Millis aNow = Millis(0))
  {
    return table_.Begin(
      aId, "digest", [](const FinalAnswerPtr&) {}, kStart + aNow);
  }

  /// Begins and finishes \p aId; the test fails if the id is already known.
  void Run(const SubmissionId& aId, const FinalAnswerPtr& aAnswer)
  {
    const BeginResult begun = Begin(aId);
    ASSERT_TRUE(std::holds_alternative<NewAttempt>(begun));
    table_.Finish(aId, std::get<NewAttempt>(begun).number_, aAnswer);
  }

  template<class State>
  static bool Is(const BeginResult& aResult)
  {
    return std::holds_alternative<State>(aResult);
  }

  SubmissionTable table_{ { .start_ = kStart,
                            .prefixLifetime_ = kLifetime,
                            .maxRunTime_ = kMaxRunTime,
                            .maxEntries_ = 3,
                            .maxAnswerBytes_ = 4000,
                            .maxWaiters_ = 2 } };
};

TEST_F(SubmissionTableTest, RejectsAnotherRequestWithTheSameId)
{
  const SubmissionId id = Id("a");
  Begin(id);
  EXPECT_TRUE(Is<DigestMismatch>(table_.Begin(id, "other", {}, kStart)));
  table_.Finish(id, 1, Result(Outcome::Refused));
  EXPECT_TRUE(Is<DigestMismatch>(table_.Begin(id, "other", {}, kStart)));
}

TEST_F(SubmissionTableTest, LimitsWaiters)
{
  const SubmissionId id = Id("a");
  Begin(id);
  EXPECT_TRUE(std::get<StillRunning>(Begin(id)).attached_);
  EXPECT_FALSE(std::get<StillRunning>(Begin(id)).attached_);
  EXPECT_EQ(table_.Finish(id, 1, Result(Outcome::Completed)).size(), 2U);
}

TEST_F(SubmissionTableTest, IgnoresTheAnswerOfAnOlderAttempt)
{
  const SubmissionId id = Id("a");
  Run(id, Result(Outcome::Refused));
  EXPECT_EQ(std::get<NewAttempt>(Begin(id)).number_, 2U);
  EXPECT_TRUE(table_.Finish(id, 1, Result(Outcome::Completed)).empty());
  EXPECT_TRUE(Is<StillRunning>(Begin(id)));
}

TEST_F(SubmissionTableTest, EvictsOldAnswersButKeepsTheirIds)
{
  Run(Id("a"), Result(Outcome::Completed, 3000));
  Run(Id("b"), Result(Outcome::Completed, 9000));
  EXPECT_TRUE(Is<AnswerDropped>(Begin(Id("a"))));
  EXPECT_TRUE(Is<Answered>(Begin(Id("b"))));
}

TEST_F(SubmissionTableTest, EvictsOnlyRefusedSubmissions)
{
  Run(Id("a"), Result(Outcome::Completed));
  Run(Id("b"), Result(Outcome::Refused));
  Begin(Id("c"));
  EXPECT_TRUE(Is<NewAttempt>(Begin(Id("d"))));
  EXPECT_TRUE(Is<TableIsFull>(Begin(Id("e"))));
  EXPECT_TRUE(Is<Answered>(Begin(Id("a"))));
}

TEST_F(SubmissionTableTest, KeepsIdsAfterTheirPrefixExpires)
{
  const Millis due = kLifetime + kMaxRunTime;
  Run(Id("a"), Result(Outcome::Completed));
  Begin(Id("running"));
  EXPECT_EQ(table_.Sweep(kStart + due), 0U);
  EXPECT_TRUE(Is<Answered>(Begin(Id("a"), due)));
  EXPECT_EQ(table_.Sweep(kStart + due + Millis(1)), 1U);
  EXPECT_TRUE(Is<ExpiredUnknown>(Begin(Id("a"), due + Millis(1))));
  EXPECT_TRUE(Is<StillRunning>(Begin(Id("running"), due + Millis(1))));
}

TEST_F(SubmissionTableTest, IgnoresTimesBeforeTheLastSweep)
{
  Run(Id("a"), Result(Outcome::Completed));
  table_.Sweep(kStart + std::chrono::hours(1));
  EXPECT_TRUE(Is<ExpiredUnknown>(Begin(Id("a"), Millis(0))));
}

TEST_F(SubmissionTableTest, RetriesRefusedSubmissionsAfterTheirPrefixExpires)
{
  Run(Id("a"), Result(Outcome::Refused));
  EXPECT_TRUE(Is<NewAttempt>(Begin(Id("a"), kLifetime + Millis(1))));
}

} // namespace
} // namespace cornelfront
