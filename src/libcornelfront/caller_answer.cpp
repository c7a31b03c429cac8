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
constexpr Millis kLeastRetryAfter{ 1 };
/// Maximum length of a caller's value that an error response repeats.
constexpr size_t kMaxValueLength = 80;
/// Suggested delay before the caller polls again for an answer.
constexpr Millis kPollInterval{ 1000 };
/// Suggested delay before a retry when the owner is unreachable.
constexpr Millis kOwnerRetryAfter{ 1000 };

/// Whether any task of the submission was run, as reported to callers.
enum class Ran
{
  No,
  Yes,
  Unknown,
};

std::string_view
NameOf(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Yes:
      return "yes";
    case Ran::Unknown:
      break;
  }
  return "unknown";
}

void
AddRetryAfter(HttpResponse& aResponse, Millis aRetryAfter)
{
  const Millis wait = std::max(aRetryAfter, kLeastRetryAfter);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
  aResponse.headers_.emplace_back("Retry-After",
                                  std::to_string(seconds.count()));
  aResponse.headers_.emplace_back("Cornelfront-Retry-After-Ms",
                                  std::to_string(wait.count()));
}

/// Serializes \p aJson. Replaces invalid UTF-8, since callers' values may hold
/// any bytes.
std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json
OutcomeBody(std::string_view aOutcome,
            std::string_view aReason,
            Ran aRan,
            const std::string& aSubmission)
{
  return { { "outcome", aOutcome },
           { "reason", aReason },
           { "ran", NameOf(aRan) },
           { "may_have_run", aRan != Ran::No },
           { "submission", aSubmission } };
}

HttpResponse
OutcomeResponse(int aStatus, const Json& aBody)
{
  HttpResponse response{ .status_ = aStatus, .body_ = Dump(aBody) };
  response.headers_.emplace_back("Cornelfront-Outcome",
                                 aBody.at("outcome").get<std::string>());
  return response;
}

HttpResponse
RespondCompleted(const JobResult& aResult, const AnswerFormat& aFormat)
{
  if (aFormat.raw_ && aResult.answers_.size() == 1) {
    return { .status_ = kStatusCompleted,
             .contentType_ = "application/octet-stream",
             .headers_ = { { "Cornelfront-Outcome", "completed" } },
             .body_ = aResult.answers_.front().body_ };
  }
  Json body = OutcomeBody("completed", "none", Ran::Yes, aFormat.submission_);
  if (aFormat.single_ && aResult.answers_.size() == 1) {
    body["result_base64"] = EncodeBase64(aResult.answers_.front().body_);
  }
  if (aFormat.list_) {
    Json& results = body["results_base64"] = Json::array();
    for (const TaskAnswer& answer : aResult.answers_) {
      results.push_back(EncodeBase64(answer.body_));
    }
  }
  return OutcomeResponse(kStatusCompleted, body);
}

HttpResponse
RespondResult(const JobResult& aResult, const AnswerFormat& aFormat)
{
  const std::string_view reason = ToString(aResult.reason_);
  if (aResult.outcome_ == Outcome::Completed) {
    return RespondCompleted(aResult, aFormat);
  }
  if (aResult.outcome_ == Outcome::Failed) {
    const Ran ran = aResult.mayHaveRun_ ? Ran::Unknown : Ran::Yes;
    return OutcomeResponse(
      kStatusFailed, OutcomeBody("failed", reason, ran, aFormat.submission_));
  }
  HttpResponse response = OutcomeResponse(
    kStatusUnavailable,
    OutcomeBody("refused", reason, Ran::No, aFormat.submission_));
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
RespondFinal(const FinalAnswer& aAnswer, const AnswerFormat& aFormat)
{
  if (const auto* refusal = std::get_if<Refusal>(&aAnswer)) {
    return RespondRefusal(*refusal, aFormat.submission_);
  }
  return RespondResult(std::get<JobResult>(aAnswer), aFormat);
}

HttpResponse
RespondRefusal(const Refusal& aRefusal, const std::string& aSubmission)
{
  Json body =
    OutcomeBody("refused", ToString(aRefusal.reason_), Ran::No, aSubmission);
  body["message"] = Describe(aRefusal);
  if (!aRefusal.field_.empty()) {
    body["field"] = aRefusal.field_;
    body["value"] = aRefusal.value_.substr(0, kMaxValueLength);
    body["bound"] = aRefusal.bound_;
  }
  HttpResponse response = OutcomeResponse(StatusOf(aRefusal.reason_), body);
  if (IsTemporary(aRefusal.reason_)) {
    AddRetryAfter(response, aRefusal.retryAfter_);
  }
  return response;
}

HttpResponse
RespondRunning(const std::string& aSubmission)
{
  HttpResponse response = OutcomeResponse(
    kStatusRunning, OutcomeBody("running", "none", Ran::Unknown, aSubmission));
  AddRetryAfter(response, kPollInterval);
  return response;
}

HttpResponse
RespondAnswerDropped(const std::string& aSubmission)
{
  return OutcomeResponse(
    kStatusGone,
    OutcomeBody("failed", "answer_expired", Ran::Unknown, aSubmission));
}

HttpResponse
RespondExpired(const std::string& aSubmission)
{
  return OutcomeResponse(
    kStatusGone,
    OutcomeBody("failed", "submission_expired", Ran::Unknown, aSubmission));
}

HttpResponse
RespondNotAccepted(const std::string& aSubmission)
{
  // No outcome is given, since a request with this id may still be in transit.
  const Json body = { { "reason", "unknown_submission" },
                      { "submission", aSubmission },
                      { "message", "nothing was accepted under this id yet" } };
  return { .status_ = kStatusNotFound, .body_ = Dump(body) };
}

HttpResponse
OwnerUnreachable(const std::string& aSubmission)
{
  HttpResponse response = OutcomeResponse(
    kStatusUnavailable,
    OutcomeBody("failed", "owner_unreachable", Ran::Unknown, aSubmission));
  AddRetryAfter(response, kOwnerRetryAfter);
  return response;
}

HttpResponse
AnswerTooLarge()
{
  return OutcomeResponse(
    kStatusFailed, OutcomeBody("failed", "answer_too_large", Ran::Unknown, ""));
}

} // namespace cornelfront
