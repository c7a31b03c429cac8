#include "net/server_errors.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace cornelfront {

namespace {

using Json = nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTimeout = 408;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusInternalError = 500;
constexpr int kStatusUnavailable = 503;

HttpResponse
ErrorResponse(int aStatus, bool aRefused, std::string_view aReason, Json aBody)
{
  const std::string outcome = aRefused ? "refused" : "failed";
  aBody["outcome"] = outcome;
  aBody["reason"] = aReason;
  aBody["ran"] = aRefused ? "no" : "unknown";
  aBody["may_have_run"] = !aRefused;
  return { .status_ = aStatus,
           .headers_ = { { "Cornelfront-Outcome", outcome } },
           .body_ = aBody.dump() + "\n" };
}

HttpResponse
RetryLater(HttpResponse aResponse)
{
  aResponse.headers_.emplace_back("Retry-After", "1");
  aResponse.headers_.emplace_back("Cornelfront-Retry-After-Ms", "1000");
  return aResponse;
}

std::string_view
PhraseOf(int aStatus)
{
  switch (aStatus) {
    case kStatusBadRequest:
      return "Bad Request";
    case kStatusTimeout:
      return "Request Timeout";
    case kStatusTooLarge:
      return "Content Too Large";
    default:
      return "Error";
  }
}

} // namespace

HttpResponse
BodyTooLarge(const std::string& aSize, size_t aLimit)
{
  return ErrorResponse(
    kStatusTooLarge,
    true,
    "body_too_large",
    { { "field", "body" },
      { "value", aSize + " bytes" },
      { "bound", "must have at most " + std::to_string(aLimit) + " bytes" } });
}

HttpResponse
InvalidHeader(const std::string& aField,
              const std::string& aValue,
              const std::string& aBound)
{
  return ErrorResponse(
    kStatusBadRequest,
    true,
    "invalid_field",
    { { "field", aField }, { "value", aValue }, { "bound", aBound } });
}

HttpResponse
RequestTooSlow(Millis aLimit)
{
  return ErrorResponse(
    kStatusTimeout,
    true,
    "request_timeout",
    { { "field", "request" },
      { "value", "incomplete" },
      { "bound",
        "must arrive within " + std::to_string(aLimit.count()) + " ms" } });
}

HttpResponse
Stopping()
{
  return RetryLater(
    ErrorResponse(kStatusUnavailable, true, "draining", Json::object()));
}

HttpResponse
StoppedDuringRequest()
{
  return RetryLater(
    ErrorResponse(kStatusUnavailable, false, "stopped", Json::object()));
}

HttpResponse
HandlerFailed()
{
  return ErrorResponse(
    kStatusInternalError, false, "internal_error", Json::object());
}

std::string
RawResponse(const HttpResponse& aResponse)
{
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.status_) + " ";
  text += PhraseOf(aResponse.status_);
  text += "\r\nConnection: close\r\nContent-Type: " + aResponse.contentType_;
  text += "\r\nContent-Length: " + std::to_string(aResponse.body_.size());
  for (const auto& [name, value] : aResponse.headers_) {
    text += "\r\n" + name + ": " + value;
  }
  return text + "\r\n\r\n" + aResponse.body_;
}

} // namespace cornelfront
