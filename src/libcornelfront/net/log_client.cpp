#include "cornelfront/log_client.h"

#include <nlohmann/json.hpp>

namespace cornelfront {

namespace {

using Json = nlohmann::json;

std::string
RecordsUrl(const LogClientOptions& aOptions)
{
  return aOptions.url_ + "/streams/" + aOptions.stream_ + "/records";
}

/// Returns the body of a successful response.
/// \throws LogUnavailable
const std::string&
RequireSuccess(const HttpResult& aResult)
{
  if (aResult.failure_ != HttpFailure::None) {
    throw LogUnavailable("log: " + aResult.error_);
  }
  if (!aResult.Ok()) {
    throw LogUnavailable("log: HTTP status " +
                         std::to_string(aResult.response_.status_));
  }
  return aResult.response_.body_;
}

LogPage
PageFromJson(const Json& aJson)
{
  LogPage page;
  page.first_ = aJson.at("first").get<uint64_t>();
  page.next_ = aJson.at("next").get<uint64_t>();
  for (const Json& record : aJson.at("records")) {
    page.records_.push_back({ .offset_ = record.at("offset").get<uint64_t>(),
                              .body_ = record.at("body").get<std::string>() });
  }
  return page;
}

} // namespace

LogClient::LogClient(LogClientOptions aOptions)
  : options_(std::move(aOptions))
{
}

uint64_t
LogClient::Append(const std::string& aBody, Millis aTimeout)
{
  const HttpResult result = http_.Perform(
    { .method_ = "POST",
      .url_ = RecordsUrl(options_),
      .headers_ = { { "Content-Type", "application/octet-stream" } },
      .body_ = aBody,
      .connectTimeout_ = aTimeout,
      .timeout_ = aTimeout });
  const std::string& body = RequireSuccess(result);
  try {
    return Json::parse(body).at("offset").get<uint64_t>();
  } catch (const Json::exception& error) {
    throw LogUnavailable(std::string("log: malformed response: ") +
                         error.what());
  }
}

LogPage
LogClient::Read(const LogReadOptions& aOptions)
{
  const HttpResult result = http_.Perform(
    { .url_ = RecordsUrl(options_) + "?from=" + std::to_string(aOptions.from_) +
              "&max=" + std::to_string(aOptions.maxRecords_) +
              "&wait_ms=" + std::to_string(aOptions.wait_.count()),
      .connectTimeout_ = aOptions.timeout_,
      .timeout_ = aOptions.wait_ + aOptions.timeout_ });
  const std::string& body = RequireSuccess(result);
  try {
    return PageFromJson(Json::parse(body));
  } catch (const Json::exception& error) {
    throw LogUnavailable(std::string("log: malformed response: ") +
                         error.what());
  }
}

} // namespace cornelfront
