#pragma once

/// \file
/// Metrics of the processes that serve jobs on the platform, in the Prometheus
/// text format; docs/OPERATIONS.md lists them.

#include "cornelfront/http_server.h"
#include "cornelfront/job_scheduler.h"
#include "cornelfront/run_table.h"
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

/// Must be used from the event loop only.
class JobMetrics
{
public:
  JobMetrics();

  /// Counts an answered best-effort job; \p aTime is the time since its
  /// submission.
  void CountJob(JobOutcome aOutcome, Millis aTime);
  /// Records the longest time for which the request of a best-effort job can
  /// have waited at this process before it was read.
  void RecordRequestWait(Millis aTime);
  /// Counts a call for a stored job: a submission, a cancellation or a query of
  /// its state. \p aResult is a constant such as "stored".
  void CountCall(const std::string& aCall, const std::string& aResult);
  /// Counts an ended run and records its wait and its run time.
  void CountRun(const RunReport& aReport);
  /// Counts a stop that was sent to the upstream, repeated ones included.
  void CountStop(StopReason aReason);
  /// Counts what a sidecar learns of a crash of its upstream.
  void CountCrash(CrashState aState);
  /// Counts a job that was given up because a task of it crashes upstreams.
  void CountCrashingTask(const std::string& aQueue);
  /// Counts a call to the upstream that was not answered in time.
  void CountUnanswered();
  void SetGauge(const std::string& aName, double aValue);

  std::string Serialize() const;

private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& jobs_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Counter>& runs_;
  prometheus::Family<prometheus::Counter>& stops_;
  prometheus::Family<prometheus::Counter>& crashes_;
  prometheus::Family<prometheus::Counter>& crashingTasks_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Counter& unanswered_;
  prometheus::Histogram& jobSeconds_;
  prometheus::Histogram& requestWaitSeconds_;
  prometheus::Histogram& waitSeconds_;
  prometheus::Histogram& runSeconds_;
};

/// Serves GET /metrics on an event loop.
std::unique_ptr<HttpServer>
ServeMetrics(asio::io_context& aLoop,
             const Endpoint& aAddress,
             const JobMetrics& aMetrics);

} // namespace cornelfront
