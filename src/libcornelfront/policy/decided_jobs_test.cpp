#include "cornelfront/decided_jobs.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const std::string kJob = "00000000000000a1";

JobReplica::StoredJob
Shown(uint32_t aOccurrence, bool aCompleted)
{
  JobReplica::StoredJob job;
  job.instances_[aOccurrence].completed_ = aCompleted;
  return job;
}

TEST(DecidedJobs, AnOccurrenceHasEndedUntilTheStoreShowsThatVeryOne)
{
  DecidedJobs decided;
  decided.Complete({ kJob, 1 });
  EXPECT_FALSE(decided.HasEnded({ kJob, 0 }));
  decided.OnShown("another", nullptr);
  for (const auto& shown :
       { JobReplica::StoredJob{}, Shown(0, true), Shown(1, false) }) {
    decided.OnShown(kJob, &shown);
    EXPECT_TRUE(decided.HasEnded({ kJob, 1 }));
  }
  const auto shown = Shown(1, true);
  decided.OnShown(kJob, &shown);
  EXPECT_FALSE(decided.HasEnded({ kJob, 1 }));
}

TEST(DecidedJobs, AClosedJobStaysClosedUntilItsFinalStateIsShown)
{
  DecidedJobs decided;
  decided.Complete({ kJob, 0 });
  decided.Close(kJob);
  auto shown = Shown(0, true);
  decided.OnShown(kJob, &shown);
  EXPECT_TRUE(decided.IsClosed(kJob));
  EXPECT_TRUE(decided.HasEnded({ kJob, 7 })) << "each occurrence with it";
  shown.finalState_ = JobState::Failed;
  decided.OnShown(kJob, &shown);
  EXPECT_FALSE(decided.IsClosed(kJob));
}

TEST(DecidedJobs, AStartIsDecidedOnce)
{
  DecidedJobs decided;
  EXPECT_TRUE(decided.Start({ kJob, 0 }));
  EXPECT_FALSE(decided.Start({ kJob, 0 }));
  EXPECT_TRUE(decided.Start({ kJob, 1 }));
  decided.Clear();
  EXPECT_TRUE(decided.Start({ kJob, 0 })) << "in another term";
}

TEST(DecidedJobs, AJobThatTheStoreHasNoMoreIsForgotten)
{
  DecidedJobs decided;
  decided.Close(kJob);
  decided.OnShown(kJob, nullptr);
  EXPECT_FALSE(decided.IsClosed(kJob));
}

} // namespace
} // namespace cornelfront
