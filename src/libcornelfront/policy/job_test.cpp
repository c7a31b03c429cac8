#include "cornelfront/job.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(JobTaskIdTest, RoundTrips)
{
  const JobTaskId name{ "5c0e7a21d94b36f8", 1, 2, 17 };
  EXPECT_EQ(ToString(name), "5c0e7a21d94b36f8.1.2.17");
  EXPECT_EQ(ParseJobTaskId(ToString(name)), name);
}

TEST(JobTaskIdTest, RejectsOtherText)
{
  for (const char* text : { "",
                            "5c0e7a21d94b36f8",
                            "5c0e7a21d94b36f8.1.2",
                            "5c0e7a21d94b36f8.1.2.",
                            "5c0e7a21d94b36f8.1.2.3.4",
                            "5c0e7a21d94b36f8.1.2.03",
                            "5c0e7a21d94b36f8.1.2.-3",
                            "5c0e7a21d94b36f8.1.2.99999999999",
                            "5c0e7a21d94b36fx.1.2.3",
                            "5c0e7a21d94b36f.1.2.3" }) {
    EXPECT_FALSE(ParseJobTaskId(text)) << text;
  }
}

JobDescription
Job()
{
  return { .id_ = "5c0e7a21d94b36f8",
           .steps_ = { {}, { .dependsOn_ = { 0 } } } };
}

TEST(CheckJobTest, AcceptsDependenciesOnEarlierSteps)
{
  EXPECT_NO_THROW(CheckJob(Job()));
}

TEST(CheckJobTest, RejectsInvalidJobs)
{
  JobDescription job = Job();
  job.steps_.clear();
  EXPECT_THROW(CheckJob(job), JobError);
  job = Job();
  job.steps_[1].dependsOn_ = { 1 };
  EXPECT_THROW(CheckJob(job), JobError);
  job = Job();
  job.steps_[0].count_ = 0;
  EXPECT_THROW(CheckJob(job), JobError);
  job = Job();
  job.steps_[0].count_ = kMaxTasksPerJob + 1;
  EXPECT_THROW(CheckJob(job), JobError);
  job = Job();
  job.steps_[0].resources_.cpu_ = -1;
  EXPECT_THROW(CheckJob(job), JobError);
  job = Job();
  job.payload_.assign(kMaxPayloadBytes + 1, 'x');
  EXPECT_THROW(CheckJob(job), JobError);
}

} // namespace
} // namespace cornelfront
