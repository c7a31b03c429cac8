/// \file
/// Stored jobs whose route a configuration has dropped, served by real
/// processes, with stand-ins for the platform's store and executors.

#include "platform_cluster.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace cornelfront::harness {
namespace {

using testing::IsEmpty;

const std::string kJob = "00000000000000b1";

/// Two entries and two executors, with the queues "q1", which tests drop, and
/// "q2".
class DroppedRoute : public testing::Test
{
protected:
  DroppedRoute()
  {
    cluster_.Configure({ "q1", "q2" });
    leader_ = cluster_.Leader();
    other_ = 1 - leader_;
    EXPECT_TRUE(WaitUntil([&] { return Get(0) == "410" && Get(1) == "410"; }));
  }

  /// Submits a job with these further fields to "q1", at an entry that does not
  /// lead.
  void Submit(const std::string& aFields)
  {
    const HttpResult accepted =
      cluster_.Call(other_, "POST", "/q1/" + kJob, "{" + aFields + "}");
    ASSERT_EQ(accepted.response_.status_, 200);
  }

  void DropRoute() { cluster_.Configure({ "q2" }); }

  void ReplaceLeader()
  {
    cluster_.Entry(leader_).Kill();
    std::this_thread::sleep_for(Millis(500));
    cluster_.StartEntry(leader_);
  }

  /// The state of the job, asked for on the route that stays.
  std::string Get(unsigned aEntry)
  {
    const HttpResult result = cluster_.Call(aEntry, "GET", "/q2/" + kJob);
    return result.Ok()
             ? nlohmann::json::parse(result.response_.body_).value("state", "")
             : std::to_string(result.response_.status_);
  }

  bool Completes()
  {
    return WaitUntil([&] { return Get(other_) == "completed"; });
  }

  bool HasRuns(size_t aCount)
  {
    return WaitUntil([&] { return cluster_.CountRuns(kJob) == aCount; });
  }

  bool AreAllRunsAcknowledged()
  {
    const std::vector<RunRecord> runs = cluster_.Runs();
    return std::all_of(runs.begin(), runs.end(), [](const RunRecord& aRun) {
      return aRun.acknowledged_ > 0;
    });
  }

  PlatformCluster cluster_{ 2, 2 };
  unsigned leader_ = 0;
  unsigned other_ = 0;
};

// Guards against TWICE: ends were acknowledged that no leader had stored.
TEST_F(DroppedRoute, TasksThatAreDoneDoNotRunAgainWhenItReturns)
{
  Submit(R"("spec":"ms=2500","steps":[{"count":3,"cpu":1000}])");
  ASSERT_TRUE(HasRuns(3));
  DropRoute();
  std::this_thread::sleep_for(Millis(1500));
  ReplaceLeader();
  EXPECT_TRUE(
    WaitUntil([&] { return AreAllRunsAcknowledged(); }, Millis(20000)));
  cluster_.Configure({ "q1", "q2" });
  EXPECT_TRUE(Completes());
  EXPECT_EQ(cluster_.CountRuns(kJob), 3U);
}

// Guards against LOST and AVAIL: the next leader stopped the runs for good.
TEST_F(DroppedRoute, TasksThatLastGoOnUnderTheNextLeader)
{
  Submit(R"("spec":"ms=600000","longRunning":true,)"
         R"("steps":[{"count":3,"cpu":1000,"mayMiss":1}])");
  ASSERT_TRUE(HasRuns(3));
  DropRoute();
  std::this_thread::sleep_for(Millis(500));
  ReplaceLeader();
  std::this_thread::sleep_for(Millis(5000));
  EXPECT_EQ(cluster_.CountRuns(kJob), 3U);
  for (const RunRecord& run : cluster_.Runs()) {
    EXPECT_EQ(run.outcome_, "") << run.task_;
  }
}

// Guards against LOST: the step waited for a configuration with the route.
TEST_F(DroppedRoute, ALaterStepBeginsUnderTheNextLeader)
{
  Submit(R"("spec":"ms=1500","steps":[{"count":2,"cpu":1000},)"
         R"({"count":2,"cpu":1000,"after":[0]}])");
  ASSERT_TRUE(HasRuns(2));
  DropRoute();
  std::this_thread::sleep_for(Millis(500));
  ReplaceLeader();
  EXPECT_TRUE(Completes());
  EXPECT_EQ(cluster_.CountRuns(kJob), 4U);
  EXPECT_THAT(cluster_.OverlappingRuns(), IsEmpty());
}

// Guards against LOST: occurrences that became due later never began.
TEST_F(DroppedRoute, AScheduledJobBeginsWhenItIsDue)
{
  const auto now =
    std::chrono::duration_cast<Millis>(WallClock::now().time_since_epoch());
  Submit(R"("spec":"ms=100","steps":[{"count":2,"cpu":1000}],)"
         R"("repeats":3,"intervalMs":500,"startAtMs":)" +
         std::to_string(now.count() + 2000));
  DropRoute();
  EXPECT_TRUE(Completes());
  EXPECT_EQ(cluster_.CountRuns(kJob), 6U);
}

// Guards against LOST: no process is left that has read the route.
TEST_F(DroppedRoute, AJobEndsUnderALeaderThatHasNeverSeenIt)
{
  Submit(R"("spec":"ms=700","steps":[{"count":2,"cpu":1000},)"
         R"({"count":2,"cpu":1000,"after":[0]}])");
  ASSERT_TRUE(HasRuns(2));
  DropRoute();
  for (unsigned i = 0; i < 2; ++i) {
    cluster_.Entry(i).Kill();
  }
  for (unsigned i = 0; i < 2; ++i) {
    cluster_.StartEntry(i);
  }
  EXPECT_TRUE(Completes());
  EXPECT_EQ(cluster_.CountRuns(kJob, "done"), 4U);
  EXPECT_THAT(cluster_.OverlappingRuns(), IsEmpty());
}

} // namespace
} // namespace cornelfront::harness
