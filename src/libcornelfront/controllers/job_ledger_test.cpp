#include "cornelfront/job_ledger.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const std::string kJob = "00000000000000a1";

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

AcceptedJob
Job()
{
  return { .job_ = { .id_ = kJob,
                     .payload_ = "p",
                     .steps_ = { { .count_ = 2,
                                   .estimate_ = Millis(70),
                                   .dependsOn_ = {},
                                   .requiredLabel_ = "gpu" } } },
           .queue_ = "q" };
}

class JobLedgerTest : public testing::Test
{
protected:
  void Apply(const KeyedRecord& aRecord, int aMs = 0)
  {
    ledger_.Apply(aRecord, At(aMs));
  }
  void Apply(const std::vector<KeyedRecord>& aRecords, int aMs = 0)
  {
    for (const KeyedRecord& record : aRecords) {
      Apply(record, aMs);
    }
  }

  JobLedger ledger_;
};

TEST_F(JobLedgerTest, ShowsAJobThroughItsLife)
{
  EXPECT_FALSE(ledger_.State(kJob));
  Apply(AcceptRecord(Job()));
  EXPECT_EQ(ledger_.State(kJob), JobState::Queued);
  EXPECT_EQ(ledger_.Pending("q"), 1U);
  EXPECT_EQ(ledger_.Jobs().at(kJob).accepted_->job_.steps_[0].requiredLabel_,
            "gpu");
  Apply(ProgressRecord({ kJob }, { .progress_ = { { { true, { 1 }, 3 } } } }));
  EXPECT_EQ(ledger_.State(kJob), JobState::Running);
  EXPECT_EQ(ledger_.Pending("q"), 0U);
  EXPECT_EQ(ledger_.Jobs().at(kJob).instances_.at(0).progress_[0][0].endedRun_,
            3U);
  Apply(ledger_.Closing(kJob, JobState::Completed));
  EXPECT_EQ(ledger_.State(kJob), JobState::Completed);
  EXPECT_FALSE(ledger_.Jobs().at(kJob).Active());
}

TEST_F(JobLedgerTest, AJobSubmittedAgainAfterItsEndStaysEnded)
{
  Apply(AcceptRecord(Job()));
  Apply(ledger_.Closing(kJob, JobState::Failed));
  Apply(AcceptRecord(Job()));
  EXPECT_EQ(ledger_.State(kJob), JobState::Failed);
  EXPECT_FALSE(ledger_.Jobs().at(kJob).Active());
}

TEST_F(JobLedgerTest, ACancellationHoldsWhicheverComesFirst)
{
  Apply(CancelRecord(kJob));
  EXPECT_FALSE(ledger_.State(kJob)) << "the job was not submitted";
  Apply(AcceptRecord(Job()));
  EXPECT_EQ(ledger_.State(kJob), JobState::Cancelled);
}

TEST_F(JobLedgerTest, RecordsMayComeInAnyOrderOfKeys)
{
  Apply(FinalRecord(kJob, JobState::Completed));
  Apply(ProgressRecord({ kJob, 2 }, {}));
  Apply(AcceptRecord(Job()));
  EXPECT_EQ(ledger_.State(kJob), JobState::Completed);
}

TEST_F(JobLedgerTest, ClosedJobsExpireWhole)
{
  Apply(AcceptRecord(Job()));
  Apply(ledger_.Closing(kJob, JobState::Completed), 100);
  EXPECT_TRUE(ledger_.Expired(At(100)).empty());
  Apply(ledger_.Expired(At(101)));
  EXPECT_FALSE(ledger_.State(kJob));
  EXPECT_TRUE(ledger_.Jobs().empty());
}

TEST_F(JobLedgerTest, ActiveJobsNeverExpire)
{
  Apply(AcceptRecord(Job()));
  EXPECT_TRUE(ledger_.Expired(At(1000000)).empty());
}

TEST_F(JobLedgerTest, KeepsTheNewestLeaderAndTheSidecars)
{
  Apply(LeaderRecordOf({ .term_ = 2, .id_ = MemberId{ 5 } }));
  Apply(LeaderRecordOf({ .term_ = 1, .id_ = MemberId{ 4 } }));
  EXPECT_EQ(ledger_.Leader().id_, MemberId{ 5 });
  Apply(SidecarRecord("s1", MemberId{ 9 }));
  EXPECT_EQ(ledger_.Sidecars().at("s1"), MemberId{ 9 });
  Apply({ SidecarRecord("s1", MemberId{ 9 }).key_, "" });
  EXPECT_TRUE(ledger_.Sidecars().empty());
}

TEST_F(JobLedgerTest, RecordsThatCannotBeReadChangeNothing)
{
  Apply(AcceptRecord(Job()));
  for (const KeyedRecord& record :
       { KeyedRecord{ "", "x" },
         KeyedRecord{ "x", "x" },
         KeyedRecord{ "z/" + kJob, "x" },
         KeyedRecord{ "a/", "x" },
         KeyedRecord{ "a/00000000000000a2", "x" },
         KeyedRecord{ "s/" + kJob, "x" },
         KeyedRecord{ "s/" + kJob + "/x", "x" },
         KeyedRecord{ "s/" + kJob + "/0", "\x01\xff" },
         KeyedRecord{ "t/" + kJob, "done" },
         KeyedRecord{ "leader", "\x02" } }) {
    Apply(record);
  }
  EXPECT_EQ(ledger_.State(kJob), JobState::Queued);
  EXPECT_EQ(ledger_.Leader().term_, 0U);
}

} // namespace
} // namespace cornelfront
