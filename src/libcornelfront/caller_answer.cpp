#include "caller_answer_pvt.h"

#include "cornelfront/caller_api.h"
#include "cornelfront/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelfront {

namespace {

using Json = nlohmann::json;

constexpr int kStatusCompleted = 200;
constexpr int kStatusRunning = 202;
constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr int kStatusFailed = 502;
constexpr int kStatusUnavailable = 503;
constexpr Millis kMinRetryAfter{ 1 };
/// Maximum length of a caller's value that an error response repeats.
constexpr size_t kMaxEchoedValueLength = 80;
/// Suggested delay before the caller polls again for an answer.
constexpr Millis kPollInterval{ 1000 };
/// Suggested delay before a retry when the owner is unreachable.
constexpr Millis kOwnerRetryAfter{ 1000 };

/// Whether any task of the submission was run, as reported to callers.
enum class HasRun
{
  No,
  Yes,
  Unknown,
};

std::string_view
ToString(HasRun aHasRun)
{
  switch (aHasRun) {
    case HasRun::No:
      return "no";
    case HasRun::Yes:
      return "yes";
    case HasRun::Unknown:
      break;
  }
  return "unknown";
}

void
AddRetryAfter(HttpResponse& aResponse, Millis aRetryAfter)
{
  const Millis wait = std::max(aRetryAfter, kMinRetryAfter);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
  aResponse.headers_.emplace_back("Retry-After",
                                  std::to_string(seconds.count()));
  aResponse.headers_.emplace_back("Cornelfront-Retry-After-Ms",
                                  std::to_string(wait.count()));
}

/// Serializes \p aJson. Replaces invalid UTF-8, since callers' values may hold
/// any bytes.
std::string
DumpJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json
OutcomeBody(std::string_view aOutcome,
            std::string_view aReason,
            HasRun aHasRun,
            const std::string& aSubmission)
{
  return { { "outcome", aOutcome },
           { "reason", aReason },
           { "ran", ToString(aHasRun) },
           { "may_have_run", aHasRun != HasRun::No },
           { "submission", aSubmission } };
}

HttpResponse
OutcomeResponse(int aStatus, const Json& aBody)
{
  HttpResponse response{ .status_ = aStatus, .body_ = DumpJson(aBody) };
  response.headers_.emplace_back("Cornelfront-Outcome",
                                 aBody.at("outcome").get<std::string>());
  return response;
}

HttpResponse
CompletedResponse(const JobResult& aResult, const AnswerFormat& aFormat)
{
  if (aFormat.rawBody_ && aResult.answers_.size() == 1) {
    return { .status_ = kStatusCompleted,
             .contentType_ = "application/octet-stream",
             .headers_ = { { "Cornelfront-Outcome", "completed" } },
             .body_ = aResult.answers_.front().body_ };
  }
  Json body =
    OutcomeBody("completed", "none", HasRun::Yes, aFormat.submission_);
  if (aFormat.singleResult_ && aResult.answers_.size() == 1) {
    body["result_base64"] = EncodeBase64(aResult.answers_.front().body_);
  }
  if (aFormat.resultList_) {
    Json& results = body["results_base64"] = Json::array();
    for (const TaskAnswer& answer : aResult.answers_) {
      results.push_back(EncodeBase64(answer.body_));
    }
  }
  return OutcomeResponse(kStatusCompleted, body);
}

HttpResponse
ResultResponse(const JobResult& aResult, const AnswerFormat& aFormat)
{
  const std::string_view reason = ToString(aResult.reason_);
  if (aResult.outcome_ == Outcome::Completed) {
    return CompletedResponse(aResult, aFormat);
  }
  if (aResult.outcome_ == Outcome::Failed) {
    const HasRun hasRun = aResult.mayHaveRun_ ? HasRun::Unknown : HasRun::Yes;
    return OutcomeResponse(
      kStatusFailed,
      OutcomeBody("failed", reason, hasRun, aFormat.submission_));
  }
  HttpResponse response = OutcomeResponse(
    kStatusUnavailable,
    OutcomeBody("refused", reason, HasRun::No, aFormat.submission_));
  AddRetryAfter(response, aResult.retryAfter_);
  return response;
}

bool
IsTemporary(RefusalReason aReason)
{
  return StatusOf(aReason) == kStatusUnavailable ||
         aReason == RefusalReason::QuotaExceeded ||
         aReason == RefusalReason::KeyPrefixRequired;
}

} // namespace

HttpResponse
FinalResponse(const FinalAnswer& aAnswer, const AnswerFormat& aFormat)
{
  if (const auto* refusal = std::get_if<Refusal>(&aAnswer)) {
    return RefusalResponse(*refusal, aFormat.submission_);
  }
  return ResultResponse(std::get<JobResult>(aAnswer), aFormat);
}

HttpResponse
RefusalResponse(const Refusal& aRefusal, const std::string& aSubmission)
{
  Json body =
    OutcomeBody("refused", ToString(aRefusal.reason_), HasRun::No, aSubmission);
  body["message"] = Describe(aRefusal);
  if (!aRefusal.field_.empty()) {
    body["field"] = aRefusal.field_;
    body["value"] = aRefusal.value_.substr(0, kMaxEchoedValueLength);
    body["bound"] = aRefusal.bound_;
  }
  HttpResponse response = OutcomeResponse(StatusOf(aRefusal.reason_), body);
  if (IsTemporary(aRefusal.reason_)) {
    AddRetryAfter(response, aRefusal.retryAfter_);
  }
  return response;
}

HttpResponse
RunningResponse(const std::string& aSubmission)
{
  HttpResponse response = OutcomeResponse(
    kStatusRunning,
    OutcomeBody("running", "none", HasRun::Unknown, aSubmission));
  AddRetryAfter(response, kPollInterval);
  return response;
}

HttpResponse
AnswerDroppedResponse(const std::string& aSubmission)
{
  return OutcomeResponse(
    kStatusGone,
    OutcomeBody("failed", "answer_expired", HasRun::Unknown, aSubmission));
}

HttpResponse
ExpiredResponse(const std::string& aSubmission)
{
  return OutcomeResponse(
    kStatusGone,
    OutcomeBody("failed", "submission_expired", HasRun::Unknown, aSubmission));
}

HttpResponse
NotAcceptedResponse(const std::string& aSubmission)
{
  // No outcome is given, since a request with this id may still be in transit.
  const Json body = { { "reason", "unknown_submission" },
                      { "submission", aSubmission },
                      { "message", "nothing was accepted under this id yet" } };
  return { .status_ = kStatusNotFound, .body_ = DumpJson(body) };
}

HttpResponse
OwnerUnreachableResponse(const std::string& aSubmission)
{
  HttpResponse response = OutcomeResponse(
    kStatusUnavailable,
    OutcomeBody("failed", "owner_unreachable", HasRun::Unknown, aSubmission));
  AddRetryAfter(response, kOwnerRetryAfter);
  return response;
}

HttpResponse
AnswerTooLargeResponse()
{
  return OutcomeResponse(
    kStatusFailed,
    OutcomeBody("failed", "answer_too_large", HasRun::Unknown, ""));
}

} // namespace cornelfront
