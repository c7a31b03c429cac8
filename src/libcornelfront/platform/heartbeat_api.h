#pragma once

/// \file
/// HTTP interface that executors call on the sidecar of their machine.

#include "cornelfront/http_server.h"
#include "platform/executor_client.h"

#include <functional>

namespace cornelfront::platform {

struct HeartbeatHooks
{
  std::function<void(const Heartbeat&)> onHeartbeat_;
  /// Called when an executor deregisters. The executor gets its answer when
  /// the acknowledgement is called, on the thread of the server's event loop.
  std::function<void(const UpstreamDeparture&,
                     std::function<void()> aAcknowledge)>
    onLeave_;
};

/// Returns a handler that decodes heartbeats and deregistrations. A malformed
/// one is logged, answered with status 400 and otherwise ignored.
HttpHandler
HeartbeatHandler(HeartbeatHooks aHooks);

} // namespace cornelfront::platform
