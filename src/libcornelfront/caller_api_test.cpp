#include "cornelfront/caller_api.h"

#include "cornelfront/codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>
#include <set>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr MonoTime kNow = kStart + Millis(10);
constexpr MemberId kSelf{ 0xa };
constexpr MemberId kOther{ 0xb };

/// Holds jobs until the test finishes them.
class FakeJobRunner : public JobRunner
{
public:
  void Submit(JobSpec aJob, Done aDone, MonoTime) override
  {
    jobs_.push_back({ std::move(aJob), std::move(aDone) });
  }

  void Cancel(const std::string& aSubmission, MonoTime) override
  {
    cancelled_.push_back(aSubmission);
  }

  Millis PredictedWait(const std::string&,
                       Priority,
                       size_t,
                       MonoTime) const override
  {
    return wait_;
  }

  /// Completes job \p aIndex with the bodies of its tasks as results.
  void Complete(size_t aIndex)
  {
    JobResult result{ .outcome_ = Outcome::Completed };
    for (const TaskSpec& task : jobs_[aIndex].job_.tasks_) {
      result.answers_.push_back(
        { .outcome_ = TaskOutcome::Completed, .body_ = task.body_ });
    }
    jobs_[aIndex].done_(std::move(result));
  }

  struct Job
  {
    JobSpec job_;
    Done done_;
  };

  std::vector<Job> jobs_;
  std::vector<std::string> cancelled_;
  Millis wait_{ 0 };
};

class FakeForwarder : public Forwarder
{
public:
  bool Forward(MemberId aOwner,
               const HttpRequest&,
               ResponseCallback aRespond) override
  {
    if (aOwner != kOther) {
      return false;
    }
    aRespond({ .headers_ = { { "Cornelfront-Key-Prefix", "b" } },
               .body_ = "from the owner" });
    return true;
  }
};

SchemaSetPtr
TestSchemas()
{
  ServiceSchema desk{ .service_ = "desk" };
  desk.calls_["match"] = { .name_ = "match", .maxBodyBytes_ = 16 };
  desk.calls_["check"] = { .name_ = "check", .repeatable_ = true };
  desk.teams_["doors"] = {};
  auto set = std::make_shared<SchemaSet>();
  set->services_["desk"] = std::make_shared<ServiceSchema>(std::move(desk));
  return set;
}

class CallerApiTest : public testing::Test
{
protected:
  /// Sends \p aRequest and returns an object that holds the response once it
  /// arrives; its status is 0 until then.
  std::shared_ptr<HttpResponse> Send(HttpRequest aRequest, MonoTime aNow = kNow)
  {
    auto response = std::make_shared<HttpResponse>();
    response->status_ = 0;
    api_.Handle(std::move(aRequest),
                ResponseCallback([response](HttpResponse aResponse) {
                  EXPECT_EQ(response->status_, 0) << "more than one response";
                  *response = std::move(aResponse);
                }),
                aNow);
    return response;
  }

  static HttpRequest Call(const std::string& aId,
                          const std::string& aBody = "body")
  {
    HttpRequest request{ .method_ = "POST",
                         .path_ = "/v1/services/desk/calls/match",
                         .headers_ = { { "cornelfront-team", "doors" } },
                         .body_ = aBody };
    if (!aId.empty()) {
      request.headers_["idempotency-key"] = aId;
    }
    return request;
  }

  static HttpRequest Job(const std::string& aId, size_t aTasks)
  {
    Json job = { { "submission", aId }, { "team", "doors" } };
    for (size_t i = 0; i < aTasks; ++i) {
      job["tasks"].push_back(
        { { "call", "match" },
          { "body_base64", EncodeBase64(std::to_string(i)) } });
    }
    return { .method_ = "POST",
             .path_ = "/v1/services/desk/jobs",
             .body_ = job.dump() };
  }

  static HttpRequest RequestById(const std::string& aMethod,
                                 const std::string& aId)
  {
    return { .method_ = aMethod, .path_ = "/v1/jobs/" + aId };
  }

  static std::string Header(const HttpResponse& aResponse,
                            const std::string& aName)
  {
    for (const auto& [name, value] : aResponse.headers_) {
      if (name == aName) {
        return value;
      }
    }
    return "";
  }

  static std::string OutcomeOf(const HttpResponse& aResponse)
  {
    return Header(aResponse, "Cornelfront-Outcome");
  }

  const std::string id_ = "000000000000000a-5.one";
  FakeJobRunner runner_;
  FakeForwarder forwarder_;
  ShardedSubmissionTable submissions_{ { .start_ = kStart } };
  EventLog events_;
  CallerApi api_{ { .self_ = kSelf, .start_ = kStart, .events_ = &events_ },
                  runner_,
                  submissions_,
                  forwarder_,
                  &TestSchemas };
};

TEST_F(CallerApiTest, IssuesPrefixes)
{
  const auto response = Send({ .method_ = "GET", .path_ = "/v1/key-prefix" });
  const Json body = Json::parse(response->body_);
  EXPECT_EQ(body["prefix"], "000000000000000a-a");
  EXPECT_EQ(body["lifetime_ms"], 120000);
}

TEST_F(CallerApiTest, CompletesACall)
{
  const auto response = Send(Call(id_));
  ASSERT_EQ(runner_.jobs_.size(), 1U);
  EXPECT_EQ(runner_.jobs_[0].job_.submission_, id_);
  EXPECT_FALSE(runner_.jobs_[0].job_.mayRepeat_);
  EXPECT_EQ(runner_.jobs_[0].job_.startBy_, kNow + Millis(2000));
  runner_.Complete(0);
  EXPECT_EQ(response->status_, 200);
  EXPECT_EQ(OutcomeOf(*response), "completed");
  EXPECT_EQ(Header(*response, "Cornelfront-Key-Prefix"), "000000000000000a-a");
  const Json body = Json::parse(response->body_);
  EXPECT_EQ(body["result_base64"], EncodeBase64("body"));
  EXPECT_EQ(body["submission"], id_);
}

TEST_F(CallerApiTest, GivesRawResults)
{
  HttpRequest request = Call(id_, std::string("\0\xff", 2));
  request.headers_["accept"] = "application/octet-stream";
  const auto response = Send(request);
  runner_.Complete(0);
  EXPECT_EQ(response->contentType_, "application/octet-stream");
  EXPECT_EQ(response->body_, std::string("\0\xff", 2));
}

TEST_F(CallerApiTest, CompletesAJobInOrder)
{
  const auto response = Send(Job(id_, 3));
  runner_.Complete(0);
  const Json expected = { EncodeBase64("0"),
                          EncodeBase64("1"),
                          EncodeBase64("2") };
  EXPECT_EQ(Json::parse(response->body_)["results_base64"], expected);
}

TEST_F(CallerApiTest, ResubmissionsWaitAndGetTheStoredAnswer)
{
  const auto first = Send(Call(id_));
  const auto second = Send(Call(id_));
  ASSERT_EQ(runner_.jobs_.size(), 1U);
  EXPECT_EQ(second->status_, 0);
  runner_.Complete(0);
  const auto third = Send(Call(id_));
  const auto late = Send(Call(id_), kNow + std::chrono::hours(1));
  EXPECT_EQ(runner_.jobs_.size(), 1U);
  for (const auto& response : { first, second, third, late }) {
    EXPECT_EQ(OutcomeOf(*response), "completed");
  }
}

TEST_F(CallerApiTest, RunsARefusedSubmissionAgain)
{
  const auto first = Send(Call(id_));
  runner_.jobs_[0].done_(
    { .reason_ = TaskReason::QueueFull, .retryAfter_ = Millis(1500) });
  EXPECT_EQ(first->status_, 503);
  EXPECT_EQ(OutcomeOf(*first), "refused");
  EXPECT_EQ(Header(*first, "Retry-After"), "2");
  EXPECT_EQ(Header(*first, "Cornelfront-Retry-After-Ms"), "1500");
  const auto second = Send(Call(id_));
  ASSERT_EQ(runner_.jobs_.size(), 2U);
  runner_.Complete(1);
  EXPECT_EQ(OutcomeOf(*second), "completed");
}

TEST_F(CallerApiTest, NeverRunsAFailedSubmissionAgain)
{
  const auto first = Send(Call(id_));
  runner_.jobs_[0].done_({ .outcome_ = Outcome::Failed,
                           .reason_ = TaskReason::LinkLost,
                           .mayHaveRun_ = true });
  const auto second = Send(Call(id_));
  EXPECT_EQ(runner_.jobs_.size(), 1U);
  EXPECT_EQ(second->status_, 502);
  EXPECT_EQ(OutcomeOf(*second), "failed");
  EXPECT_EQ(Json::parse(second->body_)["ran"], "unknown");
}

TEST_F(CallerApiTest, ForwardsIdsOfOtherOwners)
{
  const auto reached = Send(Call("000000000000000b-1.x"));
  EXPECT_EQ(reached->body_, "from the owner");
  ASSERT_EQ(reached->headers_.size(), 1U);
  EXPECT_EQ(reached->headers_[0].second, "000000000000000a-a");
  const auto lost = Send(Call("000000000000000c-1.x"));
  EXPECT_EQ(lost->status_, 503);
  EXPECT_EQ(OutcomeOf(*lost), "failed");
  const Json body = Json::parse(lost->body_);
  EXPECT_EQ(body["reason"], "owner_unreachable");
  EXPECT_TRUE(body["may_have_run"].get<bool>());
  EXPECT_TRUE(runner_.jobs_.empty());
}

TEST_F(CallerApiTest, ChecksPrefixes)
{
  const auto missing = Send(Call(""));
  EXPECT_EQ(missing->status_, 428);
  const auto malformed = Send(Call("my-own-key"));
  EXPECT_EQ(malformed->status_, 428);
  const auto future = Send(Call("000000000000000a-ffff.x"));
  EXPECT_EQ(future->status_, 428);
  for (const auto& response : { missing, malformed, future }) {
    EXPECT_EQ(OutcomeOf(*response), "refused");
    EXPECT_NE(Header(*response, "Cornelfront-Key-Prefix"), "");
  }
  const auto expired = Send(Call(id_), kNow + std::chrono::hours(1));
  EXPECT_EQ(expired->status_, 410);
  EXPECT_EQ(OutcomeOf(*expired), "failed");
  EXPECT_TRUE(runner_.jobs_.empty());
}

TEST_F(CallerApiTest, RunsRepeatableCallsWithoutKey)
{
  HttpRequest request = Call("");
  request.path_ = "/v1/services/desk/calls/check";
  const auto response = Send(request);
  ASSERT_EQ(runner_.jobs_.size(), 1U);
  EXPECT_TRUE(runner_.jobs_[0].job_.mayRepeat_);
  runner_.Complete(0);
  EXPECT_EQ(OutcomeOf(*response), "completed");
}

TEST_F(CallerApiTest, LooksUpWithoutWaiting)
{
  EXPECT_EQ(Send(RequestById("GET", id_))->status_, 404);
  HttpRequest job = Job(id_, 1);
  job.query_["wait_ms"] = "0";
  const auto accepted = Send(job);
  EXPECT_EQ(accepted->status_, 202);
  EXPECT_EQ(OutcomeOf(*accepted), "running");
  EXPECT_EQ(OutcomeOf(*Send(RequestById("GET", id_))), "running");
  runner_.Complete(0);
  EXPECT_EQ(OutcomeOf(*Send(RequestById("GET", id_))), "completed");
}

TEST_F(CallerApiTest, CancelsAndAnswersBoth)
{
  const auto job = Send(Job(id_, 2));
  const auto cancel = Send(RequestById("DELETE", id_));
  EXPECT_EQ(runner_.cancelled_, std::vector<std::string>{ id_ });
  runner_.jobs_[0].done_({ .reason_ = TaskReason::Cancelled });
  EXPECT_EQ(OutcomeOf(*job), "refused");
  EXPECT_EQ(OutcomeOf(*cancel), "refused");
}

TEST_F(CallerApiTest, RecordsEvents)
{
  Send(Call(id_));
  Send(Call(id_));
  runner_.Complete(0);
  Send(Call(""));
  std::vector<EventId> ids;
  for (const Event& event : events_.Since(0)) {
    ids.push_back(event.id_);
  }
  EXPECT_EQ(ids,
            (std::vector<EventId>{ EventId::SubmissionAccepted,
                                   EventId::SubmissionRepeated,
                                   EventId::SubmissionFinished,
                                   EventId::RequestRefused }));
}

/// Random mutations of valid requests, with a fixed seed. Each must get exactly
/// one response with an outcome that docs/API.md lists.
TEST_F(CallerApiTest, AnswersMutatedRequestsOnce)
{
  const std::set<std::string> outcomes = {
    "", "completed", "failed", "refused", "running"
  };
  std::mt19937 random(20261203);
  for (int round = 0; round < 3000; ++round) {
    HttpRequest request = round % 2 == 0 ? Job(id_, 2) : Call(id_);
    for (std::string* text : { &request.body_,
                               &request.path_,
                               &request.headers_["cornelfront-team"],
                               &request.headers_["idempotency-key"] }) {
      if (!text->empty() && random() % 2 == 0) {
        (*text)[random() % text->size()] = static_cast<char>(random());
      }
    }
    const size_t before = runner_.jobs_.size();
    const auto response = Send(request);
    if (runner_.jobs_.size() > before) {
      runner_.Complete(before);
    }
    EXPECT_NE(response->status_, 0);
    EXPECT_EQ(outcomes.count(OutcomeOf(*response)), 1U);
  }
}

TEST_F(CallerApiTest, RefusesOverload)
{
  runner_.wait_ = Millis(2500);
  const auto refused = Send(Call(id_));
  EXPECT_EQ(refused->status_, 503);
  EXPECT_EQ(Header(*refused, "Cornelfront-Retry-After-Ms"), "500");
  runner_.wait_ = Millis(0);
  Send(Call(id_));
  EXPECT_EQ(runner_.jobs_.size(), 1U);
}

TEST_F(CallerApiTest, KeepsRunningSubmissionsWhileDraining)
{
  const auto running = Send(Call(id_));
  api_.StartDraining();
  const auto refused = Send(Call("000000000000000a-5.two"));
  EXPECT_EQ(refused->status_, 503);
  EXPECT_EQ(Header(*refused, "Cornelfront-Key-Prefix"), "");
  runner_.Complete(0);
  EXPECT_EQ(OutcomeOf(*running), "completed");
  EXPECT_EQ(OutcomeOf(*Send(Call(id_))), "completed");
}

} // namespace
} // namespace cornelfront
