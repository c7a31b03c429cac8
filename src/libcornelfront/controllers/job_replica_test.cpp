#include "cornelfront/job_replica.h"

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

class JobReplicaTest : public testing::Test
{
protected:
  void Apply(const KeyedRecord& aRecord, int aMs = 0)
  {
    replica_.Apply(aRecord, At(aMs));
  }
  void Apply(const std::vector<KeyedRecord>& aRecords, int aMs = 0)
  {
    for (const KeyedRecord& record : aRecords) {
      Apply(record, aMs);
    }
  }

  JobReplica replica_;
};

TEST_F(JobReplicaTest, TracksTheStateOfAJob)
{
  EXPECT_FALSE(replica_.State(kJob));
  Apply(AcceptanceRecord(Job()));
  EXPECT_EQ(replica_.State(kJob), JobState::Queued);
  EXPECT_EQ(replica_.Pending("q"), 1U);
  EXPECT_EQ(replica_.Jobs().at(kJob).accepted_->job_.steps_[0].requiredLabel_,
            "gpu");
  Apply(ProgressRecord({ kJob }, { .progress_ = { { { true, { 1 }, 3 } } } }));
  EXPECT_EQ(replica_.State(kJob), JobState::Running);
  EXPECT_EQ(replica_.Pending("q"), 0U);
  EXPECT_EQ(replica_.Jobs().at(kJob).instances_.at(0).progress_[0][0].endedRun_,
            3U);
  Apply(replica_.ClosingRecords(kJob, JobState::Completed));
  EXPECT_EQ(replica_.State(kJob), JobState::Completed);
  EXPECT_FALSE(replica_.Jobs().at(kJob).IsActive());
}

TEST_F(JobReplicaTest, AResubmittedJobKeepsItsFinalState)
{
  Apply(AcceptanceRecord(Job()));
  Apply(replica_.ClosingRecords(kJob, JobState::Failed));
  Apply(AcceptanceRecord(Job()));
  EXPECT_EQ(replica_.State(kJob), JobState::Failed);
  EXPECT_FALSE(replica_.Jobs().at(kJob).IsActive());
}

TEST_F(JobReplicaTest, ACancellationMayPrecedeTheAcceptance)
{
  Apply(CancellationRecord(kJob));
  EXPECT_FALSE(replica_.State(kJob)) << "the job was not submitted";
  Apply(AcceptanceRecord(Job()));
  EXPECT_EQ(replica_.State(kJob), JobState::Cancelled);
}

TEST_F(JobReplicaTest, AcceptsRecordsInAnyOrderOfKeys)
{
  Apply(FinalRecord(kJob, JobState::Completed));
  Apply(ProgressRecord({ kJob, 2 }, {}));
  Apply(AcceptanceRecord(Job()));
  EXPECT_EQ(replica_.State(kJob), JobState::Completed);
}

TEST_F(JobReplicaTest, ClosedJobsExpireCompletely)
{
  Apply(AcceptanceRecord(Job()));
  Apply(replica_.ClosingRecords(kJob, JobState::Completed), 100);
  EXPECT_TRUE(replica_.ExpiredRecords(At(100)).empty());
  Apply(replica_.ExpiredRecords(At(101)));
  EXPECT_FALSE(replica_.State(kJob));
  EXPECT_TRUE(replica_.Jobs().empty());
}

TEST_F(JobReplicaTest, ActiveJobsNeverExpire)
{
  Apply(AcceptanceRecord(Job()));
  EXPECT_TRUE(replica_.ExpiredRecords(At(1000000)).empty());
}

TEST_F(JobReplicaTest, KeepsTheNewestLeaderAndTheSidecars)
{
  Apply(MakeLeaderRecord({ .term_ = 2, .id_ = MemberId{ 5 } }));
  Apply(MakeLeaderRecord({ .term_ = 1, .id_ = MemberId{ 4 } }));
  EXPECT_EQ(replica_.Leader().id_, MemberId{ 5 });
  Apply(SidecarRecord("s1", MemberId{ 9 }));
  EXPECT_EQ(replica_.Sidecars().at("s1"), MemberId{ 9 });
  Apply({ SidecarRecord("s1", MemberId{ 9 }).key_, "" });
  EXPECT_TRUE(replica_.Sidecars().empty());
}

TEST_F(JobReplicaTest, IgnoresInvalidRecords)
{
  Apply(AcceptanceRecord(Job()));
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
  EXPECT_EQ(replica_.State(kJob), JobState::Queued);
  EXPECT_EQ(replica_.Leader().term_, 0U);
}

} // namespace
} // namespace cornelfront
