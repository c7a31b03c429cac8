#include "lasting_jobs.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelfront::soak {
namespace {

/// Time in which all tasks are at work again after the faults.
constexpr Millis kAtWorkTimeout{ 15000 };
constexpr Millis kCancelTimeout{ 5000 };

} // namespace

LastingJobs::LastingJobs(harness::PlatformCluster& aCluster,
                         unsigned aJobs,
                         unsigned aEntries,
                         unsigned aExecutors)
  : cluster_(aCluster)
  , entries_(aEntries)
  , executors_(aExecutors)
{
  const std::string body = nlohmann::json{
    { "spec", "ms=600000" },
    { "longRunning", true },
    { "steps",
      { { { "count", executors_ + 1 },
          { "cpu", 1 },
          { "memMb", 1 },
          { "estimateMs", 900 },
          { "antiAffinity", 1 } } } }
  }.dump();
  for (unsigned i = 0; i < aJobs; ++i) {
    char id[17];
    snprintf(id, sizeof(id), "eeee0000%08x", i);
    const std::string path = std::string("/") + harness::kDroppedQueue + "/";
    const bool accepted = harness::WaitUntil([&] {
      return cluster_.Call(i % entries_, "POST", path + id, body).Ok();
    });
    EXPECT_TRUE(accepted) << "lasting job " << id;
    jobs_.push_back({ .id_ = id, .tasks_ = executors_ + 1, .lasts_ = true });
  }
}

size_t
LastingJobs::RunsAtWork(const std::string& aJob)
{
  const std::vector<harness::RunRecord> runs = cluster_.Runs();
  return static_cast<size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
      return aRun.ended_ == 0 && aRun.task_.starts_with(aJob);
    }));
}

std::vector<JobRecord>
LastingJobs::CheckAndCancel()
{
  for (const JobRecord& job : jobs_) {
    const bool atWork = harness::WaitUntil(
      [&] { return RunsAtWork(job.id_) == executors_; }, kAtWorkTimeout);
    EXPECT_TRUE(atWork) << "lasting job " << job.id_ << " has "
                        << RunsAtWork(job.id_) << " of " << executors_
                        << " tasks at work";
  }
  for (JobRecord& job : jobs_) {
    EXPECT_TRUE(cluster_.Call(0, "DELETE", "/q1/" + job.id_).Ok()) << job.id_;
    job.cancelled_ = WallMillisNow();
  }
  for (const JobRecord& job : jobs_) {
    EXPECT_TRUE(harness::WaitUntil([&] { return RunsAtWork(job.id_) == 0; },
                                   kCancelTimeout))
      << "lasting job " << job.id_ << " runs on after its cancellation";
  }
  return jobs_;
}

} // namespace cornelfront::soak
