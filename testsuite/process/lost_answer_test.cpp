/// \file
/// Calls that were carried out, whose connections then closed without an
/// answer, and whose next issue is refused: an issue that the client's HTTP
/// library adds by itself must not make "unknown" into "not done".

#include "platform_cluster.h"

#include <gmock/gmock.h>

#include <algorithm>

namespace cornelfront::harness {
namespace {

using testing::IsEmpty;

constexpr unsigned kExecutors = 2;
/// Orders that a sidecar sends in one moment, so that it keeps as many
/// connections open.
constexpr unsigned kWarmTasks = 4;

std::string
MakeJobId(unsigned aNumber)
{
  char id[17];
  snprintf(id, sizeof(id), "%016x", 0xb000U + aNumber);
  return id;
}

/// Runs jobs until each executor has run several tasks of one, so that its
/// sidecar keeps connections to it. Returns false if that takes too long.
bool
KeepConnectionsOpen(PlatformCluster& aCluster)
{
  unsigned jobs = 0;
  return WaitUntil([&] {
    const std::string job = MakeJobId(++jobs);
    aCluster.Submit(0, job, "ms=100", kExecutors * kWarmTasks, true);
    std::vector<unsigned> runs(kExecutors);
    for (const RunRecord& run : aCluster.Runs()) {
      runs[run.executor_] += run.task_.starts_with(job) ? 1 : 0;
    }
    return std::ranges::min(runs) > 1;
  });
}

/// Number of issues of an order whose connections are closed; the first of them
/// is carried out.
class CarriedOutOrder : public testing::TestWithParam<unsigned>
{};

// libcurl sends a request again when a connection that it used before closes
// before the first byte of a response.
TEST_P(CarriedOutOrder, BeforeARefusalRunsOnce)
{
  PlatformCluster cluster(1, kExecutors);
  ASSERT_TRUE(KeepConnectionsOpen(cluster));
  for (unsigned i = 0; i < kExecutors; ++i) {
    cluster.ExecutorFault(i,
                          R"({"answers":{"refuse_next":1,"close_next":)" +
                            std::to_string(GetParam()) + "}}");
  }
  const std::string job = MakeJobId(0);
  const HttpResult result = cluster.Submit(0, job, "ms=1500", 1, true);
  EXPECT_EQ(result.response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.CountRuns(job), 1U);
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(PlatformBestEffort,
                         CarriedOutOrder,
                         testing::Values(1U, 2U),
                         testing::PrintToStringParamName());

TEST(PlatformStored, AJobThatWasWrittenBeforeARefusalIsNotCalledRefused)
{
  PlatformCluster cluster(1, 1);
  ASSERT_TRUE(cluster.Submit(0, MakeJobId(1), "", 1, false).Ok());
  ASSERT_TRUE(cluster.WaitState(0, MakeJobId(1), "completed"));
  cluster.StoreFault(
    R"({"answers":{"topic":"keyed.jobs","close_next":1,"refuse_next":1}})");
  const std::string job = MakeJobId(0);
  const HttpResult result = cluster.Submit(0, job, "ms=100", 1, false);
  EXPECT_NE(result.response_.status_, 503) << "the store has the job";
  EXPECT_TRUE(cluster.WaitState(0, job, "completed"));
  EXPECT_EQ(cluster.CountRuns(job), 1U);
  // Nor is a job lost that is accepted afterwards.
  const std::string next = MakeJobId(2);
  EXPECT_TRUE(cluster.Submit(0, next, "", 1, false).Ok());
  EXPECT_TRUE(cluster.WaitState(0, next, "completed"));
}

} // namespace
} // namespace cornelfront::harness
