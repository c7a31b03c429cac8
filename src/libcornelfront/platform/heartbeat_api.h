#pragma once

/// \file
/// HTTP interface that executors call on the sidecar of their machine.

#include "cornelfront/http_server.h"
#include "platform/executor_client.h"

#include <functional>
#include <string>

namespace cornelfront::platform {

struct HeartbeatHooks
{
  std::function<void(const Heartbeat&)> onHeartbeat_;
  /// Called when the executor with this id deregisters.
  std::function<void(const std::string& aId)> onLeave_;
};

/// Returns a handler that decodes heartbeats and deregistrations. A malformed
/// heartbeat is logged and answered with status 400.
HttpHandler
HeartbeatHandler(HeartbeatHooks aHooks);

} // namespace cornelfront::platform
