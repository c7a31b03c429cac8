#include "cornelfront/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <mutex>
#include <sstream>

namespace cornelfront {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Labels;
using prometheus::Registry;

constexpr size_t kDirections = 2;
constexpr size_t kOutcomes = 3;
constexpr size_t kTaskOutcomes = 5;
constexpr size_t kTaskReasons =
  static_cast<size_t>(TaskReason::UnknownCall) + 1;
constexpr size_t kMessageKinds = std::variant_size_v<Message>;
constexpr double kMillisPerSecond = 1000.0;
constexpr double kMicrosPerSecond = 1e6;

// Bucket boundaries in seconds, with finer steps where sub-second tasks end.
const Histogram::BucketBoundaries kTimeBuckets{ 0.001, 0.002, 0.005, 0.01, 0.02,
                                                0.05,  0.1,   0.15,  0.2,  0.3,
                                                0.5,   0.75,  1,     1.5,  2,
                                                3,     5,     10 };

// Table of counters by index. A counter is created on first use, so that label
// combinations that never occur are not exported.
template<size_t Size>
class CounterTable
{
public:
  template<class MakeLabels>
  Counter& GetOrCreate(size_t aIndex,
                       Family<Counter>& aFamily,
                       MakeLabels aMakeLabels)
  {
    std::atomic<Counter*>& slot = counters_.at(aIndex);
    Counter* counter = slot.load(std::memory_order_acquire);
    if (counter == nullptr) {
      // Family::Add() returns the same counter for the same labels, so
      // concurrent first uses are harmless.
      counter = &aFamily.Add(aMakeLabels());
      slot.store(counter, std::memory_order_release);
    }
    return *counter;
  }

private:
  std::array<std::atomic<Counter*>, Size> counters_{};
};

Family<Counter>&
CounterFamily(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

Family<Gauge>&
GaugeFamily(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

Family<Histogram>&
HistogramFamily(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
    aRegistry);
}

double
ProcessorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / kMicrosPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double
ResidentBytes()
{
  std::ifstream statm("/proc/self/statm");
  double totalPages = 0;
  double residentPages = 0;
  statm >> totalPages >> residentPages;
  return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

class Metrics::Impl
{
public:
  Registry registry_;

  Family<Counter>& messages_ =
    CounterFamily(registry_,
                  "cornelfront_messages_total",
                  "Messages between cornelfront processes.");
  Family<Counter>& messageBytes_ =
    CounterFamily(registry_,
                  "cornelfront_message_bytes_total",
                  "Bytes of messages between cornelfront processes.");
  Family<Counter>& requests_ = CounterFamily(registry_,
                                             "cornelfront_requests_total",
                                             "Finished requests of callers.");
  Family<Histogram>& responseTimes_ =
    HistogramFamily(registry_,
                    "cornelfront_response_seconds",
                    "Time from a caller's request to its answer.");
  Family<Counter>& tasks_ = CounterFamily(registry_,
                                          "cornelfront_tasks_total",
                                          "Tasks by their final outcome.");
  Histogram& runTimes_ = HistogramFamily(registry_,
                                         "cornelfront_task_run_seconds",
                                         "Run time of tasks at the upstream.")
                           .Add({}, kTimeBuckets);
  Family<Counter>& retries_ = CounterFamily(registry_,
                                            "cornelfront_retries_total",
                                            "Tasks that were sent again.");
  Counter& unexpectedAnswers_ =
    CounterFamily(registry_,
                  "cornelfront_stray_answers_total",
                  "Answers dropped because nobody waited for them.")
      .Add({});
  Family<Counter>& logOperations_ =
    CounterFamily(registry_,
                  "cornelfront_log_operations_total",
                  "Exchanges with the platform's log.");
  Family<Counter>& linkEnds_ = CounterFamily(registry_,
                                             "cornelfront_link_ends_total",
                                             "Links that ended, by reason.");
  Family<Gauge>& queueLength_ =
    GaugeFamily(registry_,
                "cornelfront_queue_length",
                "Tasks that wait in this process for a slot.");
  Family<Gauge>& slots_ = GaugeFamily(registry_,
                                      "cornelfront_slots",
                                      "Slots of the known upstreams.");
  Family<Gauge>& running_ =
    GaugeFamily(registry_,
                "cornelfront_running_tasks",
                "Tasks that run at the known upstreams.");
  Family<Gauge>& links_ = GaugeFamily(registry_,
                                      "cornelfront_links",
                                      "Links that are up, by peer role.");
  Gauge& configVersion_ =
    GaugeFamily(registry_,
                "cornelfront_config_version",
                "Version of the configuration in force here.")
      .Add({});
  Gauge& ready_ = GaugeFamily(registry_,
                              "cornelfront_ready",
                              "1 if /readyz answers 200, else 0.")
                    .Add({});
  Gauge& eventsDropped_ =
    GaugeFamily(registry_,
                "cornelfront_events_dropped",
                "Events dropped from the buffer of the time line.")
      .Add({});
  Gauge& messagesPerRequest_ =
    GaugeFamily(registry_,
                "cornelfront_messages_per_finished_request",
                "Messages sent and received for each finished request.")
      .Add({});
  Counter& processorSeconds_ =
    CounterFamily(registry_,
                  "process_cpu_seconds_total",
                  "Processor time of this process, user and system.")
      .Add({});
  Gauge& residentBytes_ = GaugeFamily(registry_,
                                      "process_resident_memory_bytes",
                                      "Resident memory of this process.")
                            .Add({});

  CounterTable<kMessageKinds * kDirections> messageCounters_;
  CounterTable<kMessageKinds * kDirections> byteCounters_;
  CounterTable<kOutcomes> requestCounters_;
  CounterTable<kTaskOutcomes * kTaskReasons> taskCounters_;
  CounterTable<kTaskReasons> retryCounters_;
  std::array<Histogram*, kOutcomes> responseTimesByOutcome_{};
  std::atomic<uint64_t> messageCount_{ 0 };
  std::atomic<uint64_t> requestCount_{ 0 };
  std::mutex serializeMutex_;
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
  for (size_t i = 0; i < kOutcomes; ++i) {
    const std::string label(ToString(static_cast<Outcome>(i)));
    impl_->responseTimesByOutcome_.at(i) =
      &impl_->responseTimes_.Add({ { "outcome", label } }, kTimeBuckets);
  }
}

Metrics::~Metrics() = default;

void
Metrics::CountMessage(const Message& aMessage,
                      Direction aDirection,
                      size_t aFrameBytes)
{
  const auto makeLabels = [&] {
    const bool sent = aDirection == Direction::Sent;
    return Labels{ { "kind", std::string(KindOf(aMessage)) },
                   { "direction", sent ? "sent" : "received" } };
  };
  const size_t index =
    aMessage.index() * kDirections + static_cast<size_t>(aDirection);
  impl_->messageCounters_.GetOrCreate(index, impl_->messages_, makeLabels)
    .Increment();
  impl_->byteCounters_.GetOrCreate(index, impl_->messageBytes_, makeLabels)
    .Increment(static_cast<double>(aFrameBytes));
  ++impl_->messageCount_;
}

void
Metrics::CountRequest(Outcome aOutcome, Millis aResponseTime)
{
  const auto index = static_cast<size_t>(aOutcome);
  impl_->requestCounters_
    .GetOrCreate(
      index,
      impl_->requests_,
      [&] {
        return Labels{ { "outcome", std::string(ToString(aOutcome)) } };
      })
    .Increment();
  impl_->responseTimesByOutcome_.at(index)->Observe(
    static_cast<double>(aResponseTime.count()) / kMillisPerSecond);
  ++impl_->requestCount_;
}

void
Metrics::CountTask(TaskOutcome aOutcome, TaskReason aReason)
{
  const size_t index =
    static_cast<size_t>(aOutcome) * kTaskReasons + static_cast<size_t>(aReason);
  impl_->taskCounters_
    .GetOrCreate(
      index,
      impl_->tasks_,
      [&] {
        return Labels{ { "outcome", std::string(ToString(aOutcome)) },
                       { "reason", std::string(ToString(aReason)) } };
      })
    .Increment();
}

void
Metrics::CountTaskRun(Millis aRunTime)
{
  impl_->runTimes_.Observe(static_cast<double>(aRunTime.count()) /
                           kMillisPerSecond);
}

void
Metrics::CountRetry(TaskReason aReason)
{
  impl_->retryCounters_
    .GetOrCreate(
      static_cast<size_t>(aReason),
      impl_->retries_,
      [&] {
        return Labels{ { "reason", std::string(ToString(aReason)) } };
      })
    .Increment();
}

void
Metrics::CountUnexpectedAnswer()
{
  impl_->unexpectedAnswers_.Increment();
}

void
Metrics::CountLogOperation(LogOperation aOperation, bool aSucceeded)
{
  const bool read = aOperation == LogOperation::Read;
  impl_->logOperations_
    .Add({ { "operation", read ? "read" : "append" },
           { "result", aSucceeded ? "ok" : "failed" } })
    .Increment();
}

void
Metrics::CountLinkEnd(const std::string& aReason)
{
  impl_->linkEnds_.Add({ { "reason", aReason } }).Increment();
}

void
Metrics::SetQueueLength(const std::string& aService, size_t aTasks)
{
  impl_->queueLength_.Add({ { "service", aService } })
    .Set(static_cast<double>(aTasks));
}

void
Metrics::SetLoad(const std::string& aService, const LoadReport& aLoad)
{
  const Labels labels{ { "service", aService } };
  impl_->slots_.Add(labels).Set(aLoad.slots_);
  impl_->running_.Add(labels).Set(aLoad.running_);
}

void
Metrics::SetLinks(Role aPeer, size_t aLinks)
{
  const bool entry = aPeer == Role::Entry;
  impl_->links_.Add({ { "peer", entry ? "entry" : "sidecar" } })
    .Set(static_cast<double>(aLinks));
}

void
Metrics::SetConfigVersion(ConfigVersion aVersion)
{
  impl_->configVersion_.Set(static_cast<double>(aVersion.value_));
}

void
Metrics::SetReady(bool aReady)
{
  impl_->ready_.Set(aReady ? 1 : 0);
}

void
Metrics::SetEventsDropped(uint64_t aEvents)
{
  impl_->eventsDropped_.Set(static_cast<double>(aEvents));
}

std::string
Metrics::Serialize()
{
  // Concurrent scrapes would otherwise add the same processor time twice.
  std::lock_guard lock(impl_->serializeMutex_);
  impl_->processorSeconds_.Increment(ProcessorSeconds() -
                                     impl_->processorSeconds_.Value());
  impl_->residentBytes_.Set(ResidentBytes());
  const uint64_t requests = impl_->requestCount_;
  if (requests > 0) {
    impl_->messagesPerRequest_.Set(static_cast<double>(impl_->messageCount_) /
                                   static_cast<double>(requests));
  }
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, impl_->registry_.Collect());
  return out.str();
}

} // namespace cornelfront
