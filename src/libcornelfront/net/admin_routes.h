#pragma once

/// \file
/// HTTP routes for operators and monitoring, served by both entries and
/// sidecars: /healthz, /readyz, /metrics, /v1/admin/status, /v1/admin/events.

#include "cornelfront/events.h"
#include "cornelfront/http_server.h"
#include "cornelfront/metrics.h"
#include "cornelfront/timeline.h"

#include <functional>
#include <optional>
#include <string>

namespace cornelfront {

struct AdminRoutesOptions
{
  ProcessIdentity process_;
  /// Returns whether the process accepts new requests. Called from any thread.
  std::function<bool()> isReady_;
  /// Returns the JSON body of /v1/admin/status. Called from any thread.
  std::function<std::string()> statusJson_;
  /// events_ and metrics_ must outlive the routes.
  EventLog* events_ = nullptr;
  Metrics* metrics_ = nullptr;
  /// Updates the gauges before /metrics is served; may be empty.
  std::function<void()> refreshMetrics_;
};

/// Thread-safe.
class AdminRoutes
{
public:
  explicit AdminRoutes(AdminRoutesOptions aOptions);

  /// Returns the response, or nullopt if the path is not one of these routes.
  std::optional<HttpResponse> Handle(const HttpRequest& aRequest) const;

private:
  HttpResponse Events(const HttpRequest& aRequest) const;
  HttpResponse MetricsText() const;

  AdminRoutesOptions options_;
};

} // namespace cornelfront
