#include "cornelfront/job_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace cornelfront {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

constexpr double kMillisPerSecond = 1000.0;

// In seconds; most buckets are below one second, where most jobs end.
const prometheus::Histogram::BucketBoundaries kBuckets{
  0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 5, 10
};

double
Seconds(Millis aTime)
{
  return static_cast<double>(aTime.count()) / kMillisPerSecond;
}

prometheus::Histogram&
AddHistogram(prometheus::Registry& aRegistry,
             const std::string& aName,
             const std::string& aHelp)
{
  return BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry).Add(
    {}, kBuckets);
}

} // namespace

JobMetrics::JobMetrics()
  : jobs_(BuildCounter()
            .Name("cornelfront_jobs_total")
            .Help("Best-effort jobs answered, by outcome")
            .Register(registry_))
  , calls_(BuildCounter()
             .Name("cornelfront_stored_calls_total")
             .Help("Calls for stored jobs, by call and result")
             .Register(registry_))
  , runs_(BuildCounter()
            .Name("cornelfront_runs_total")
            .Help("Runs of tasks, by end")
            .Register(registry_))
  , stops_(BuildCounter()
             .Name("cornelfront_stops_sent_total")
             .Help("Stops sent to the upstream, by reason")
             .Register(registry_))
  , crashes_(BuildCounter()
               .Name("cornelfront_upstream_crashes_total")
               .Help("Crashes of the upstream, by what is known of them")
               .Register(registry_))
  , crashingTasks_(
      BuildCounter()
        .Name("cornelfront_crashing_tasks_total")
        .Help("Jobs given up because a task crashes its upstreams, "
              "by queue")
        .Register(registry_))
  , gauges_(BuildGauge()
              .Name("cornelfront_state")
              .Help("What this process holds at the moment, by name")
              .Register(registry_))
  , unanswered_(BuildCounter()
                  .Name("cornelfront_upstream_unanswered_total")
                  .Help("Looks at the upstream without an answer in time")
                  .Register(registry_)
                  .Add({}))
  , jobSeconds_(AddHistogram(registry_,
                             "cornelfront_job_seconds",
                             "Time from submission to answer"))
  , requestWaitSeconds_(
      AddHistogram(registry_,
                   "cornelfront_request_wait_seconds",
                   "Longest time for which a submission can have waited here "
                   "before it was read"))
  , waitSeconds_(AddHistogram(registry_,
                              "cornelfront_run_wait_seconds",
                              "Wait of a run in the sidecar"))
  , runSeconds_(
      AddHistogram(registry_, "cornelfront_run_seconds", "Length of a run"))
{
}

void
JobMetrics::CountJob(JobOutcome aOutcome, Millis aTime)
{
  jobs_.Add({ { "outcome", std::string(ToString(aOutcome)) } }).Increment();
  jobSeconds_.Observe(Seconds(aTime));
}

void
JobMetrics::RecordRequestWait(Millis aTime)
{
  requestWaitSeconds_.Observe(Seconds(aTime));
}

void
JobMetrics::CountCall(const std::string& aCall, const std::string& aResult)
{
  calls_.Add({ { "call", aCall }, { "result", aResult } }).Increment();
}

void
JobMetrics::CountRun(const RunReport& aReport)
{
  runs_.Add({ { "end", std::string(ToString(aReport.end_)) } }).Increment();
  waitSeconds_.Observe(Seconds(aReport.waited_));
  if (aReport.runTime_.count() > 0) {
    runSeconds_.Observe(Seconds(aReport.runTime_));
  }
}

void
JobMetrics::CountStop(StopReason aReason)
{
  stops_.Add({ { "reason", std::string(ToString(aReason)) } }).Increment();
}

void
JobMetrics::CountCrash(CrashState aState)
{
  crashes_.Add({ { "outcome", std::string(ToString(aState)) } }).Increment();
}

void
JobMetrics::CountCrashingTask(const std::string& aQueue)
{
  crashingTasks_.Add({ { "queue", aQueue } }).Increment();
}

void
JobMetrics::CountUnanswered()
{
  unanswered_.Increment();
}

void
JobMetrics::SetGauge(const std::string& aName, double aValue)
{
  gauges_.Add({ { "name", aName } }).Set(aValue);
}

std::string
JobMetrics::Serialize() const
{
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

std::unique_ptr<HttpServer>
ServeMetrics(asio::io_context& aLoop,
             const Endpoint& aAddress,
             const JobMetrics& aMetrics)
{
  return std::make_unique<HttpServer>(
    HttpServerOptions{
      .address_ = aAddress.host_, .port_ = aAddress.port_, .loop_ = &aLoop },
    [&aMetrics](const HttpRequest& aRequest, const HttpReply& aReply) {
      if (aRequest.path_ != "/metrics") {
        aReply.Send({ .status_ = 404 });
        return;
      }
      aReply.Send(
        { .contentType_ = "text/plain", .body_ = aMetrics.Serialize() });
    });
}

} // namespace cornelfront
