#include "caller.h"

#include "cornelfront/codec.h"

#include <nlohmann/json.hpp>

#include <map>
#include <ostream>
#include <stdexcept>

namespace cornelfront::harness {
namespace {

using Json = nlohmann::json;

constexpr const char* kService = "/v1/services/event_desk";
constexpr const char* kTeam = "doors";

AnswerOutcome
ParseOutcome(const std::string& aText)
{
  static const std::map<std::string, AnswerOutcome> sOutcomes{
    { "completed", AnswerOutcome::Completed },
    { "failed", AnswerOutcome::Failed },
    { "refused", AnswerOutcome::Refused },
    { "running", AnswerOutcome::Running }
  };
  const auto found = sOutcomes.find(aText);
  return found == sOutcomes.end() ? AnswerOutcome::None : found->second;
}

std::string
OutcomeHeader(const HttpResponse& aResponse)
{
  for (const auto& [name, value] : aResponse.headers_) {
    if (strcasecmp(name.c_str(), "cornelfront-outcome") == 0) {
      return value;
    }
  }
  return "";
}

/// \throws std::runtime_error if a result is not base64.
std::string
DecodeResult(const Json& aJson)
{
  return DecodeBase64(aJson.get<std::string>()).value();
}

CallerAnswer
ParseAnswer(const HttpResult& aResult)
{
  CallerAnswer answer{ .status_ = aResult.response_.status_,
                       .sent_ = aResult.failure_ != HttpFailure::NotSent,
                       .text_ = aResult.response_.body_ };
  const Json body = Json::parse(aResult.response_.body_, nullptr, false);
  if (aResult.failure_ != HttpFailure::None || !body.is_object()) {
    answer.text_ += aResult.error_;
    return answer;
  }
  const std::string outcome = body.value("outcome", "");
  if (outcome != OutcomeHeader(aResult.response_)) {
    answer.text_ += " (outcome differs between header and body)";
    return answer;
  }
  answer.outcome_ = ParseOutcome(outcome);
  answer.reason_ = body.value("reason", "");
  answer.mayHaveRun_ = body.value("may_have_run", true);
  answer.submission_ = body.value("submission", "");
  if (body.contains("result_base64")) {
    answer.results_.push_back(DecodeResult(body["result_base64"]));
  }
  for (const Json& result : body.value("results_base64", Json::array())) {
    answer.results_.push_back(DecodeResult(result));
  }
  return answer;
}

HttpClientRequest
CallRequest(const Submission& aSubmission)
{
  return { .method_ = "POST",
           .url_ = std::string(kService) + "/calls/" + aSubmission.call_,
           .headers_ = { { "Idempotency-Key", aSubmission.id_ },
                         { "Cornelfront-Team", kTeam } },
           .body_ = aSubmission.bodies_.front() };
}

HttpClientRequest
JobRequest(const Submission& aSubmission)
{
  Json tasks = Json::array();
  for (const std::string& body : aSubmission.bodies_) {
    tasks.push_back(
      { { "call", aSubmission.call_ }, { "body_base64", EncodeBase64(body) } });
  }
  const Json job{ { "submission", aSubmission.id_ },
                  { "team", kTeam },
                  { "tasks", std::move(tasks) } };
  return { .method_ = "POST",
           .url_ = std::string(kService) + "/jobs",
           .body_ = job.dump() };
}

} // namespace

std::ostream&
operator<<(std::ostream& aStream, const CallerAnswer& aAnswer)
{
  return aStream << aAnswer.status_ << " " << aAnswer.text_;
}

Submission
MakeSubmission(const std::string& aId,
               unsigned aTasks,
               Millis aRun,
               const std::string& aCall)
{
  Submission submission{ .id_ = aId, .isJob_ = aTasks > 1, .call_ = aCall };
  for (unsigned i = 0; i < aTasks; ++i) {
    const Json body{ { "run_ms", aRun.count() },
                     { "guest", aId + "/" + std::to_string(i) } };
    submission.bodies_.push_back(body.dump());
  }
  return submission;
}

bool
HasExpectedResults(const CallerAnswer& aAnswer, const Submission& aSubmission)
{
  std::vector<std::string> expected;
  for (const std::string& body : aSubmission.bodies_) {
    expected.push_back(Sha256Hex(body));
  }
  return aAnswer.results_ == expected;
}

Caller::Caller(std::string aUrl)
  : url_(std::move(aUrl))
{
}

std::string
Caller::FetchKeyPrefix()
{
  const HttpResult result = Send({ .url_ = "/v1/key-prefix" });
  if (!result.Ok()) {
    throw std::runtime_error("the entry returned no key prefix: " +
                             result.error_ + result.response_.body_);
  }
  return Json::parse(result.response_.body_).at("prefix");
}

CallerAnswer
Caller::Submit(const Submission& aSubmission)
{
  HttpClientRequest request =
    aSubmission.isJob_ ? JobRequest(aSubmission) : CallRequest(aSubmission);
  request.timeout_ = aSubmission.timeout_;
  return ParseAnswer(Send(std::move(request)));
}

CallerAnswer
Caller::LookUp(const std::string& aId)
{
  return ParseAnswer(Send({ .url_ = "/v1/jobs/" + aId }));
}

CallerAnswer
Caller::Cancel(const std::string& aId)
{
  return ParseAnswer(Send({ .method_ = "DELETE", .url_ = "/v1/jobs/" + aId }));
}

HttpResult
Caller::Send(HttpClientRequest aRequest)
{
  aRequest.url_ = url_ + aRequest.url_;
  return http_.Perform(aRequest);
}

} // namespace cornelfront::harness
