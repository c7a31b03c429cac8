#pragma once

/// \file
/// The HTTP routes that entries and sidecars serve alike for operators and
/// machines: /healthz, /readyz, /metrics, /v1/admin/status, /v1/admin/events.

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
  /// Whether the process should get new requests; any thread.
  std::function<bool()> isReady_;
  /// JSON text of /v1/admin/status; any thread.
  std::function<std::string()> statusJson_;
  /// Both must outlive the routes.
  EventLog* events_ = nullptr;
  Metrics* metrics_ = nullptr;
  /// Sets the gauges before /metrics is served; may be empty.
  std::function<void()> refreshMetrics_;
};

/// Thread-safe.
class AdminRoutes
{
public:
  explicit AdminRoutes(AdminRoutesOptions aOptions);

  /// Answers the request, or returns nullopt if its path is another's.
  std::optional<HttpResponse> Handle(const HttpRequest& aRequest) const;

private:
  HttpResponse Events(const HttpRequest& aRequest) const;
  HttpResponse MetricsText() const;

  AdminRoutesOptions options_;
};

} // namespace cornelfront
