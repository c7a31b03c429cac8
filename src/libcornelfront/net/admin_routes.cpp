#include "net/admin_routes.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <string_view>

namespace cornelfront {
namespace {

constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kReadyPath = "/readyz";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/v1/admin/status";
constexpr std::string_view kEventsPath = "/v1/admin/events";
constexpr std::array kPaths{ kHealthPath,
                             kReadyPath,
                             kMetricsPath,
                             kStatusPath,
                             kEventsPath };

bool
IsAdminPath(std::string_view aPath)
{
  for (const std::string_view path : kPaths) {
    if (path == aPath) {
      return true;
    }
  }
  return false;
}

HttpResponse
Plain(int aStatus, std::string aBody)
{
  return { .status_ = aStatus,
           .contentType_ = "text/plain; charset=utf-8",
           .headers_ = {},
           .body_ = std::move(aBody) };
}

HttpResponse
JsonError(int aStatus, const std::string& aMessage)
{
  const nlohmann::json body{ { "error", aMessage } };
  return { .status_ = aStatus,
           .contentType_ = "application/json",
           .headers_ = {},
           .body_ = body.dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

std::optional<uint64_t>
ParseStamp(const std::string& aText)
{
  uint64_t stamp = 0;
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, stamp);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return stamp;
}

} // namespace

AdminRoutes::AdminRoutes(AdminRoutesOptions aOptions)
  : options_(std::move(aOptions))
{
}

std::optional<HttpResponse>
AdminRoutes::Handle(const HttpRequest& aRequest) const
{
  if (!IsAdminPath(aRequest.path_)) {
    return std::nullopt;
  }
  if (aRequest.method_ != "GET" && aRequest.method_ != "HEAD") {
    HttpResponse response = JsonError(
      kMethodNotAllowed,
      aRequest.path_ + ": method " + aRequest.method_ + " is not GET or HEAD");
    response.headers_.emplace_back("Allow", "GET, HEAD");
    return response;
  }
  if (aRequest.path_ == kHealthPath) {
    return Plain(200, "ok\n");
  }
  if (aRequest.path_ == kReadyPath) {
    return options_.isReady_() ? Plain(200, "ready\n")
                               : Plain(kUnavailable, "not ready\n");
  }
  if (aRequest.path_ == kMetricsPath) {
    return MetricsText();
  }
  if (aRequest.path_ == kStatusPath) {
    return HttpResponse{ .body_ = options_.statusJson_() };
  }
  return Events(aRequest);
}

HttpResponse
AdminRoutes::MetricsText() const
{
  if (options_.refreshMetrics_) {
    options_.refreshMetrics_();
  }
  options_.metrics_->SetReady(options_.isReady_());
  options_.metrics_->SetEventsDropped(options_.events_->Dropped());
  return { .status_ = 200,
           .contentType_ = "text/plain; version=0.0.4; charset=utf-8",
           .headers_ = {},
           .body_ = options_.metrics_->Serialize() };
}

HttpResponse
AdminRoutes::Events(const HttpRequest& aRequest) const
{
  const std::string text = aRequest.Query("after", "0");
  const auto after = ParseStamp(text);
  if (!after) {
    return JsonError(kBadRequest,
                     "after: '" + text +
                       "' is not a stamp, a whole number of at most 64 bits");
  }
  return { .status_ = 200,
           .contentType_ = "application/json",
           .headers_ = {},
           .body_ = EncodeEventPage(options_.process_,
                                    options_.events_->Snapshot(*after)) };
}

} // namespace cornelfront
