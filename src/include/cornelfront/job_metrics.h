#pragma once

/// \file
/// Metrics of the processes that serve jobs on the platform, in Prometheus'
/// text format; docs/OPERATIONS.md lists them.

#include "cornelfront/http_server.h"
#include "cornelfront/job_engine.h"
#include "cornelfront/settings.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <asio.hpp>

#include <array>
#include <memory>
#include <string>

namespace cornelfront {

/// Used from the event loop only.
class JobMetrics
{
public:
  JobMetrics();

  /// A best-effort job that was answered this long after its submission.
  void CountJob(JobOutcome aOutcome, Millis aTime);
  /// A stored job that was accepted, or a cancellation or state that was
  /// asked for; \p aResult is a constant such as "stored".
  void CountCall(const std::string& aCall, const std::string& aResult);
  /// A run that ended, with its wait before the start and its length.
  void CountRun(const RunReport& aReport);
  /// A call to the upstream that had no answer in time.
  void CountUnanswered();
  void SetGauge(const std::string& aName, double aValue);

  std::string Serialize() const;

private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& jobs_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Counter>& runs_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Counter& unanswered_;
  prometheus::Histogram& jobSeconds_;
  prometheus::Histogram& waitSeconds_;
  prometheus::Histogram& runSeconds_;
};

/// Serves GET /metrics on an event loop.
std::unique_ptr<HttpServer>
ServeMetrics(asio::io_context& aLoop,
             const Endpoint& aAddress,
             const JobMetrics& aMetrics);

} // namespace cornelfront
