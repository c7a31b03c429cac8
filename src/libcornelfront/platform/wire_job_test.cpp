#include "platform/executor_client.h"
#include "platform/job_api.h"
#include "platform/json_fields_pvt.h"
#include "platform/wire_job.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cornelfront::platform {
namespace {

using testing::Contains;
using testing::Pair;

const std::string kJob = "5c0e7a21d94b36f8";

TEST(ParseJobTest, ReadsEveryField)
{
  const JobDescription job =
    ParseJob(kJob,
             R"({"spec":"text","bestEffort":true,"repeats":3,"startAtMs":5000,
"intervalMs":200,"steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,
"estimateMs":900,"affinity":"r1-3","requires":"b","antiAffinity":2,
"gang":true,"sameRack":true,"speculative":true,"checkpointing":true,
"mayMiss":1,"image":"i","targetMs":20},
{"count":1,"after":[0],"longRunning":true,"fills":true}],"newField":{}})");
  EXPECT_EQ(job.payload_, "text");
  EXPECT_TRUE(job.bestEffort_);
  EXPECT_EQ(job.repeats_, 3U);
  EXPECT_EQ(job.firstDue_, Millis(5000));
  EXPECT_EQ(job.interval_, Millis(200));
  const StepSpec& first = job.steps_.at(0);
  EXPECT_EQ(first.count_, 4U);
  EXPECT_EQ(first.resources_,
            (Resources{ .cpu_ = 500, .memoryMb_ = 256, .gpus_ = 1 }));
  EXPECT_EQ(first.estimate_, Millis(900));
  EXPECT_EQ(first.preferredRack_, "r1-3");
  EXPECT_EQ(first.requiredLabel_, "b");
  EXPECT_EQ(first.maxPerUpstream_, 2U);
  EXPECT_TRUE(first.gang_ && first.sameRack_ && first.speculative_ &&
              first.checkpointing_);
  EXPECT_EQ(first.maxUnavailable_, 1U);
  EXPECT_EQ(first.latencyTarget_, Millis(20));
  EXPECT_EQ(job.steps_.at(1).dependsOn_, std::vector<uint32_t>{ 0 });
  EXPECT_TRUE(job.steps_.at(1).longRunning_);
  EXPECT_TRUE(job.steps_.at(1).usesIdleCapacity_);
}

TEST(ParseJobTest, RejectsInvalidJobs)
{
  for (const char* body : { "",
                            "x",
                            "[]",
                            R"({"steps":5})",
                            R"({"steps":[5]})",
                            R"({"steps":[{"count":-1}]})",
                            R"({"steps":[{"count":1.5}]})",
                            R"({"steps":[{"count":99999999999}]})",
                            R"({"steps":[{"count":1,"cpu":"a"}]})",
                            R"({"steps":[{"count":1,"gang":1}]})",
                            R"({"steps":[{"count":1,"after":[-1]}]})",
                            R"({"spec":5,"steps":[{"count":1}]})" }) {
    EXPECT_THROW(ParseJob(kJob, body), JobError) << body;
  }
  EXPECT_THROW(ParseJob("short", R"({"steps":[{"count":1}]})"), JobError);
}

TEST(ParseHeartbeatTest, ParsesAHeartbeat)
{
  const Heartbeat heartbeat =
    ParseHeartbeat("i-1",
                   R"({"service":"desk","state":"draining","born":123,"seq":4,
"clockMs":77,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},
"labels":["a","r1-3"]})");
  EXPECT_EQ(heartbeat.info_.id_, "i-1");
  EXPECT_EQ(heartbeat.info_.startedMs_, 123);
  EXPECT_TRUE(heartbeat.info_.draining_);
  EXPECT_EQ(heartbeat.info_.capacity_.gpus_, 2);
  EXPECT_EQ(heartbeat.info_.labels_, (std::vector<std::string>{ "a", "r1-3" }));
  EXPECT_EQ(heartbeat.sequence_, 4);
  EXPECT_EQ(heartbeat.clock_, UpstreamTime{ Millis(77) });
}

TEST(ParseHeartbeatTest, RejectsInvalidHeartbeats)
{
  for (const char* body : { "",
                            "{}",
                            R"({"service":"desk","state":"odd",
"capacity":{"cpu":1}})",
                            R"({"service":"desk","state":"ready"})",
                            R"({"service":"desk","state":"ready",
"capacity":{"cpu":"x"}})",
                            R"({"service":"desk","state":"ready",
"capacity":{"cpu":1},"labels":[1]})",
                            R"({"service":"desk","state":"ready",
"capacity":{"cpu":1},"born":"x"})" }) {
    EXPECT_THROW(ParseHeartbeat("i-1", body), WireFormatError) << body;
  }
}

OperatorState
State()
{
  return { .version_ = 1,
           .routes_ = { { .host_ = "a.example",
                          .pathPrefix_ = "/q/",
                          .timeout_ = Millis(1500),
                          .queue_ = { .name_ = "q" } } } };
}

HttpRequest
Request(const std::string& aMethod, const std::string& aPath)
{
  HttpRequest request{ .method_ = aMethod, .path_ = aPath };
  request.headers_["host"] = "a.example";
  request.body_ = R"({"steps":[{"count":1}]})";
  return request;
}

JobCall
Parse(const HttpRequest& aRequest,
      const OperatorState& aState,
      Millis aConfigAge = Millis(1000))
{
  return ParseJobCall(aRequest, aState, aConfigAge);
}

TEST(ParseJobCallTest, DistinguishesCalls)
{
  const OperatorState state = State();
  const JobCall submission = Parse(Request("POST", "/q/" + kJob), state);
  ASSERT_TRUE(std::holds_alternative<JobSubmission>(submission));
  EXPECT_EQ(std::get<JobSubmission>(submission).clientTimeout_, Millis(1500));
  EXPECT_TRUE(std::holds_alternative<JobQuery>(
    Parse(Request("GET", "/q/" + kJob), state)));
  EXPECT_TRUE(std::holds_alternative<QueueLengthQuery>(
    Parse(Request("GET", "/q/"), state)));
  EXPECT_TRUE(std::holds_alternative<JobCancellation>(
    Parse(Request("DELETE", "/q/" + kJob), state)));
}

TEST(ParseJobCallTest, RespondsToInvalidCalls)
{
  const auto status = [](const HttpRequest& aRequest,
                         const OperatorState& aState) {
    return std::get<HttpResponse>(Parse(aRequest, aState)).status_;
  };
  EXPECT_EQ(status(Request("POST", "/q/" + kJob), {}), 503);
  EXPECT_EQ(status(Request("POST", "/x/" + kJob), State()), 404);
  EXPECT_EQ(status(Request("PUT", "/q/" + kJob), State()), 405);
  EXPECT_EQ(status(Request("POST", "/q/short"), State()), 400);
}

// An entry that could not read the configuration answered 404 for a route that
// had been added meanwhile.
TEST(ParseJobCallTest, ARouteIsUnknownOnlyWhileTheConfigurationIsCurrent)
{
  constexpr Millis kConfigBound{ 2000 };
  const auto answer = [](const char* aPath, Millis aAge) {
    return Parse(Request("GET", aPath), State(), aAge);
  };
  EXPECT_EQ(std::get<HttpResponse>(answer("/x/", Millis(1100))).status_, 404);
  const auto late = std::get<HttpResponse>(answer("/x/", kConfigBound));
  EXPECT_EQ(late.status_, 503);
  EXPECT_THAT(late.headers_, Contains(Pair("Retry-After", "1")));
  EXPECT_TRUE(
    std::holds_alternative<QueueLengthQuery>(answer("/q/", Millis(60000))))
    << "known routes are served on";
}

TEST(ParseJobCallTest, UsesTheClientTimeout)
{
  HttpRequest request = Request("POST", "/q/" + kJob);
  request.headers_["request-deadline"] = "250";
  EXPECT_EQ(std::get<JobSubmission>(Parse(request, State())).clientTimeout_,
            Millis(250));
  request.headers_["request-deadline"] = "soon";
  EXPECT_EQ(std::get<JobSubmission>(Parse(request, State())).clientTimeout_,
            Millis(1500));
}

TEST(OutcomeResponseTest, RefusesOnlyJobsThatHaveNotRun)
{
  EXPECT_EQ(OutcomeResponse({ .outcome_ = JobOutcome::Completed }).status_,
            200);
  EXPECT_EQ(OutcomeResponse({ .outcome_ = JobOutcome::Failed }).status_, 200);
  EXPECT_EQ(OutcomeResponse({ .outcome_ = JobOutcome::GivenUp }).status_, 504);
  const HttpResponse refused = OutcomeResponse(
    { .outcome_ = JobOutcome::Refused, .retryAfter_ = Millis(1200) });
  EXPECT_EQ(refused.status_, 503);
  EXPECT_EQ(refused.headers_.at(0).first, "Retry-After");
  EXPECT_EQ(refused.headers_.at(0).second, "2");
}

} // namespace
} // namespace cornelfront::platform
