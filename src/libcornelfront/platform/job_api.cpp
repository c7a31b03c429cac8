#include "platform/job_api.h"

#include "platform/wire_job.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace cornelfront::platform {
namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusNotAllowed = 405;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

/// Timeout if neither the client nor the route specifies one.
constexpr Millis kDefaultWait{ 30000 };
constexpr Millis kConfigRetry{ 1000 };
/// Maximum age of the configuration at which a missing route counts as unknown.
/// A route has to be served 2 s after it was accepted.
constexpr Millis kMaxConfigAge{ 1800 };
constexpr Millis kStoreRetry{ 1000 };

HttpResponse
ErrorResponse(int aStatus, const std::string& aReason)
{
  return { .status_ = aStatus,
           .body_ = nlohmann::json{ { "error", aReason } }.dump() };
}

Millis
ClientTimeout(const HttpRequest& aRequest, const Route& aRoute)
{
  // The header holds milliseconds, counted from the arrival of the request.
  const std::string text = aRequest.Header("request-deadline");
  int64_t wait = 0;
  const auto result =
    std::from_chars(text.data(), text.data() + text.size(), wait);
  if (text.empty() || result.ec != std::errc() || wait <= 0) {
    return aRoute.timeout_.count() > 0 ? aRoute.timeout_ : kDefaultWait;
  }
  return Millis(wait);
}

JobCall
ParseSubmission(const HttpRequest& aRequest,
                const std::string& aId,
                const Route& aRoute)
{
  try {
    return JobSubmission{ .job_ = ParseJob(aId, aRequest.body_),
                          .queue_ = aRoute.queue_,
                          .clientTimeout_ = ClientTimeout(aRequest, aRoute),
                          .arrivedAfter_ = aRequest.arrivedAfter_ };
  } catch (const JobError& error) {
    return ErrorResponse(kStatusBadRequest, error.what());
  }
}

std::string
RetryAfter(Millis aWait)
{
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t seconds =
    (aWait.count() + kMillisPerSecond - 1) / kMillisPerSecond;
  return std::to_string(std::max<int64_t>(seconds, 1));
}

} // namespace

JobCall
ParseJobCall(const HttpRequest& aRequest,
             const OperatorState& aState,
             Millis aConfigAge)
{
  if (aState.version_ == 0) {
    return RefusedResponse("no configuration has been read yet", kConfigRetry);
  }
  const Route* route =
    aState.FindRoute(aRequest.Header("host"), aRequest.path_);
  if (route == nullptr && aConfigAge > kMaxConfigAge) {
    return RefusedResponse("the configuration can't be read", kConfigRetry);
  }
  if (route == nullptr) {
    return ErrorResponse(kStatusNotFound, "no such queue");
  }
  const std::string id = aRequest.path_.substr(route->pathPrefix_.size());
  if (aRequest.method_ == "POST") {
    return ParseSubmission(aRequest, id, *route);
  }
  if (aRequest.method_ == "GET" && id.empty()) {
    return QueueLengthQuery{ route->queue_.name_ };
  }
  if (aRequest.method_ == "GET") {
    return JobQuery{ id };
  }
  if (aRequest.method_ == "DELETE" && !id.empty()) {
    return JobCancellation{ id };
  }
  return ErrorResponse(kStatusNotAllowed,
                       "method " + aRequest.method_ + " is not served here");
}

HttpResponse
UnknownJobResponse()
{
  return ErrorResponse(kStatusGone, "no such job");
}

HttpResponse
StateResponse(JobState aState)
{
  return { .status_ = 200, .body_ = StateBody(ToString(aState)) };
}

HttpResponse
StoredResponse(StoreOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreOutcome::Ok:
      return { .status_ = 200, .body_ = "{}" };
    case StoreOutcome::Unknown:
      return GivenUpResponse("the store did not answer");
    default:
      return RefusedResponse("the store can't be written", kStoreRetry);
  }
}

HttpResponse
CancelledResponse()
{
  return { .status_ = 200, .body_ = StateBody("cancelled") };
}

HttpResponse
PendingResponse(size_t aPending)
{
  return { .status_ = 200, .body_ = PendingBody(aPending) };
}

HttpResponse
RefusedResponse(const std::string& aReason, Millis aRetryAfter)
{
  HttpResponse response = ErrorResponse(kStatusUnavailable, aReason);
  response.headers_.emplace_back("Retry-After", RetryAfter(aRetryAfter));
  return response;
}

HttpResponse
GivenUpResponse(const std::string& aReason)
{
  return ErrorResponse(kStatusTimeout, aReason);
}

HttpResponse
OutcomeResponse(const AnswerJob& aAnswer)
{
  switch (aAnswer.outcome_) {
    case JobOutcome::Completed:
    case JobOutcome::Failed:
      return { .status_ = 200, .body_ = StateBody(ToString(aAnswer.outcome_)) };
    case JobOutcome::Refused:
      return RefusedResponse(aAnswer.reason_, aAnswer.retryAfter_);
    case JobOutcome::GivenUp:
      break;
  }
  return GivenUpResponse(aAnswer.reason_);
}

} // namespace cornelfront::platform
