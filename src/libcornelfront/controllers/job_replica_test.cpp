#include "cornelfront/job_replica.h"

#include "controllers/record_value_pvt.h"

#include <cereal/types/chrono.hpp>
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

TEST_F(JobReplicaTest, KeepsTheQueueOfAnAcceptance)
{
  AcceptedJob job = Job();
  job.configured_ = { .queue_ = { .name_ = "q", .service_ = "desk" },
                      .version_ = 7 };
  Apply(AcceptanceRecord(job));
  const ConfiguredQueue& kept = replica_.Jobs().at(kJob).accepted_->configured_;
  EXPECT_EQ(kept.queue_, job.configured_.queue_);
  EXPECT_EQ(kept.version_, 7);
}

TEST_F(JobReplicaTest, ReadsAcceptancesOfBuildsThatDidNotKeepTheQueue)
{
  KeyedRecord record = AcceptanceRecord(Job());
  // All but the byte that names the byte order.
  const size_t added = EncodeValue(ConfiguredQueue{}).size() - 1;
  record.value_.resize(record.value_.size() - added);
  Apply(record);
  ASSERT_TRUE(replica_.Jobs().contains(kJob));
  const AcceptedJob& accepted = *replica_.Jobs().at(kJob).accepted_;
  EXPECT_EQ(accepted.queue_, "q");
  EXPECT_EQ(accepted.configured_.version_, 0);
}

TEST_F(JobReplicaTest, UpdatesTheQueueOfAJobToTheNewestKnownVersion)
{
  std::optional<ConfiguredQueue> configured;
  const auto find = [&](const std::string&) { return configured; };
  const auto service = [&] {
    replica_.UpdateQueue(kJob, find);
    return replica_.Jobs().at(kJob).accepted_->configured_.queue_.service_;
  };
  Apply(AcceptanceRecord(Job()));
  configured = { .queue_ = { .service_ = "new" }, .version_ = 3 };
  EXPECT_EQ(service(), "new");
  configured = { .queue_ = { .service_ = "old" }, .version_ = 2 };
  EXPECT_EQ(service(), "new");
  configured.reset();
  EXPECT_EQ(service(), "new");
}

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
