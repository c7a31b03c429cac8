#include "platform/heartbeat_api.h"

#include "platform/json_fields_pvt.h"

#include <glog/logging.h>

namespace cornelfront::platform {
namespace {

constexpr std::string_view kPrefix = "/instances/";
constexpr std::string_view kHeartbeatSuffix = "/heartbeat";
constexpr std::string_view kLeaveSuffix = "/deregister";

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;

/// Returns the id between prefix and suffix, or "" if the path does not match.
std::string
IdIn(std::string_view aPath, std::string_view aSuffix)
{
  if (!aPath.starts_with(kPrefix) || !aPath.ends_with(aSuffix) ||
      aPath.size() <= kPrefix.size() + aSuffix.size()) {
    return "";
  }
  return std::string(aPath.substr(
    kPrefix.size(), aPath.size() - kPrefix.size() - aSuffix.size()));
}

HttpResponse
Answer(int aStatus)
{
  return { .status_ = aStatus, .body_ = "{}" };
}

HttpResponse
HandleHeartbeat(const HeartbeatHooks& aHooks,
                const std::string& aId,
                const std::string& aBody)
{
  try {
    aHooks.onHeartbeat_(ParseHeartbeat(aId, aBody));
    return Answer(200);
  } catch (const WireFormatError& error) {
    LOG(WARNING) << "heartbeat upstream=" << aId
                 << " outcome=malformed reason=\"" << error.what() << "\"";
    return Answer(kStatusBadRequest);
  }
}

void
HandleDeparture(const HeartbeatHooks& aHooks,
                const std::string& aId,
                const std::string& aBody,
                const HttpReply& aReply)
{
  try {
    aHooks.onLeave_(ParseDeparture(aId, aBody),
                    [aReply] { aReply.Send(Answer(200)); });
  } catch (const WireFormatError& error) {
    LOG(WARNING) << "deregistration upstream=" << aId
                 << " outcome=malformed reason=\"" << error.what() << "\"";
    aReply.Send(Answer(kStatusBadRequest));
  }
}

} // namespace

HttpHandler
HeartbeatHandler(HeartbeatHooks aHooks)
{
  return [hooks = std::move(aHooks)](const HttpRequest& aRequest,
                                     const HttpReply& aReply) {
    const std::string heartbeatId = IdIn(aRequest.path_, kHeartbeatSuffix);
    const std::string leavingId = IdIn(aRequest.path_, kLeaveSuffix);
    if (aRequest.method_ != "POST" ||
        (heartbeatId.empty() && leavingId.empty())) {
      aReply.Send(Answer(kStatusNotFound));
    } else if (!heartbeatId.empty()) {
      aReply.Send(HandleHeartbeat(hooks, heartbeatId, aRequest.body_));
    } else {
      HandleDeparture(hooks, leavingId, aRequest.body_, aReply);
    }
  };
}

} // namespace cornelfront::platform
