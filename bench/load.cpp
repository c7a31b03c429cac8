/// \file
/// Load generator: replays a seeded trace of arrivals against running entries,
/// once for each routing rule, and compares the response times with those of an
/// ideal system. bench/run starts the processes.

#include "cornelfront/codec.h"
#include "cornelfront/config.h"
#include "cornelfront/file.h"
#include "cornelfront/log_client.h"
#include "http_caller.h"
#include "trace.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr Millis kLogTimeout{ 2000 };
/// Wait after a published change, so that it is in force everywhere.
constexpr Millis kSettleTime{ 3000 };
constexpr Millis kMaxPollTime{ 20 };
/// A key prefix is replaced by a new one after this time.
constexpr Millis kMaxPrefixAge{ 30000 };
constexpr Millis kDrainTimeout{ 60000 };

struct Options
{
  std::vector<std::string> entries_;
  std::vector<std::string> metrics_;
  std::string logUrl_;
  std::string schemaFile_;
  std::vector<std::string> rules_{ "least_loaded" };
  TraceOptions trace_;
  int64_t durationS_ = 30;
  std::string zone_;
  uint32_t zoneSlots_ = 0;
  std::string csvFile_;
};

/// Send time, response time and outcome of one arrival.
struct Sample
{
  Millis sentAt_{ 0 };
  Millis response_{ 0 };
  std::string outcome_ = "lost";
};

/// Appends configuration changes to the log.
class Publisher
{
public:
  explicit Publisher(const std::string& aLogUrl)
    : log_({ .url_ = aLogUrl })
  {
  }

  void Publish(const std::string& aKey, const std::string& aText)
  {
    ConfigVersion& version = versions_[aKey];
    const uint64_t offset =
      log_.Append(EncodeConfigRecord(ConfigChange{
                    .changeId_ = "load-" + std::to_string(++count_),
                    .author_ = "load",
                    .key_ = aKey,
                    .base_ = version,
                    .text_ = aText }),
                  kLogTimeout);
    version.value_ = offset + 1;
  }

private:
  LogClient log_;
  std::map<std::string, ConfigVersion> versions_;
  uint64_t count_ = 0;
};

/// Caches one key prefix for each entry; see DESIGN.md, 1.
class KeyPrefixes
{
public:
  explicit KeyPrefixes(std::vector<std::string> aEntries)
    : entries_(std::move(aEntries))
    , prefixes_(entries_.size())
  {
  }

  /// Returns a new submission id for the entry.
  /// \throws std::runtime_error if the entry returns no key prefix.
  std::string NextId(size_t aEntry, MonoTime aNow)
  {
    Prefix& prefix = prefixes_[aEntry];
    if (prefix.text_.empty() || aNow > prefix.fetchedAt_ + kMaxPrefixAge) {
      const HttpResult result =
        http_.Perform({ .url_ = entries_[aEntry] + "/v1/key-prefix" });
      if (!result.Ok()) {
        throw std::runtime_error(entries_[aEntry] +
                                 " returned no key prefix: " + result.error_);
      }
      prefix.text_ = Json::parse(result.response_.body_).at("prefix");
      prefix.fetchedAt_ = aNow;
    }
    return prefix.text_ + "." + std::to_string(++count_);
  }

private:
  struct Prefix
  {
    std::string text_;
    MonoTime fetchedAt_;
  };

  std::vector<std::string> entries_;
  std::vector<Prefix> prefixes_;
  HttpClient http_;
  uint64_t count_ = 0;
};

std::string
TaskBody(Millis aRunTime)
{
  return Json{ { "run_ms", aRunTime.count() } }.dump();
}

/// Sends the requests of one trace at their times and collects the responses.
class Replay
{
public:
  Replay(const Options& aOptions,
         const std::vector<Arrival>& aTrace,
         const Outage& aOutage,
         Publisher& aPublisher)
    : options_(aOptions)
    , trace_(aTrace)
    , outage_(aOutage)
    , publisher_(aPublisher)
    , prefixes_(aOptions.entries_)
    , samples_(aTrace.size())
  {
  }

  std::vector<Sample> Run()
  {
    start_ = MonoClock::now();
    size_t next = 0;
    while (next < trace_.size()) {
      const Millis now = Elapsed();
      UpdateZone(now);
      if (trace_[next].at_ <= now) {
        Send(next++);
        continue;
      }
      caller_.Poll(std::min(trace_[next].at_ - now, kMaxPollTime));
    }
    const Millis limit = Elapsed() + kDrainTimeout;
    while (caller_.PendingCount() > 0 && Elapsed() < limit) {
      caller_.Poll(kMaxPollTime);
    }
    return std::move(samples_);
  }

private:
  Millis Elapsed() const
  {
    return std::chrono::duration_cast<Millis>(MonoClock::now() - start_);
  }

  void UpdateZone(Millis aNow)
  {
    if (outage_.slots_ == 0) {
      return;
    }
    if (zoneChanges_ == 0 && aNow >= outage_.from_) {
      publisher_.Publish("zone/" + options_.zone_, "out");
      ++zoneChanges_;
    } else if (zoneChanges_ == 1 && aNow >= outage_.until_) {
      publisher_.Publish("zone/" + options_.zone_, "in");
      ++zoneChanges_;
    }
  }

  void Send(size_t aIndex)
  {
    const Arrival& arrival = trace_[aIndex];
    const size_t entry = aIndex % options_.entries_.size();
    const std::string id = prefixes_.NextId(entry, MonoClock::now());
    const std::string base = options_.entries_[entry] + "/v1/services/desk";
    const MonoTime sent = MonoClock::now();
    samples_[aIndex].sentAt_ = Elapsed();
    auto done = [this, aIndex, sent](const LoadHttpResponse& aResponse) {
      Sample& sample = samples_[aIndex];
      sample.response_ = std::chrono::round<Millis>(MonoClock::now() - sent);
      auto outcome = aResponse.headers_.find("cornelfront-outcome");
      if (outcome != aResponse.headers_.end()) {
        sample.outcome_ = outcome->second;
      }
    };
    if (arrival.runTimes_.size() == 1) {
      caller_.Post(base + "/calls/short",
                   { "Idempotency-Key: " + id, "Cornelfront-Team: crew" },
                   TaskBody(arrival.runTimes_.front()),
                   std::move(done));
    } else {
      caller_.Post(base + "/jobs",
                   { "Content-Type: application/json" },
                   JobBody(id, arrival),
                   std::move(done));
    }
  }

  static std::string JobBody(const std::string& aId, const Arrival& aArrival)
  {
    Json job = { { "submission", aId }, { "team", "crew" } };
    for (Millis runTime : aArrival.runTimes_) {
      job["tasks"].push_back(
        { { "call", "short" },
          { "body_base64", EncodeBase64(TaskBody(runTime)) } });
    }
    return job.dump();
  }

  const Options& options_;
  const std::vector<Arrival>& trace_;
  const Outage outage_;
  Publisher& publisher_;
  KeyPrefixes prefixes_;
  std::vector<Sample> samples_;
  LoadHttpClient caller_;
  MonoTime start_;
  int zoneChanges_ = 0;
};

/// Returns the number of messages sent by kind, summed over the processes;
/// empty if no process serves metrics.
std::map<std::string, double>
CountMessages(const std::vector<std::string>& aUrls)
{
  std::map<std::string, double> counts;
  HttpClient http;
  for (const std::string& url : aUrls) {
    const HttpResult result = http.Perform({ .url_ = url + "/metrics" });
    std::istringstream lines(result.response_.body_);
    for (std::string line; std::getline(lines, line);) {
      const std::string name = "cornelfront_messages_total{";
      const size_t kind = line.find("kind=\"");
      if (!line.starts_with(name) || kind == std::string::npos ||
          line.find("direction=\"sent\"") == std::string::npos) {
        continue;
      }
      const size_t from = kind + std::string("kind=\"").size();
      const std::string text = line.substr(from, line.find('"', from) - from);
      counts[text] += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return counts;
}

/// Statistics of one replay, compared with the ideal system.
class Report
{
public:
  Report(std::string aRule,
         const Options& aOptions,
         std::vector<Arrival> aTrace,
         const std::vector<Sample>& aSamples,
         const Outage& aOutage)
    : rule_(std::move(aRule))
    , samples_(aSamples)
    , trace_(std::move(aTrace))
  {
    for (size_t i = 0; i < trace_.size(); ++i) {
      trace_[i].at_ = samples_[i].sentAt_;
    }
    ideal_ = IdealResponses(trace_, aOptions.trace_.slots_, aOutage);
  }

  void Print(std::map<std::string, double> aMessages) const
  {
    std::vector<Millis> responses;
    std::vector<Millis> refusals;
    std::map<std::string, size_t> outcomes;
    for (const Sample& sample : samples_) {
      ++outcomes[sample.outcome_];
      if (sample.outcome_ == "completed") {
        responses.push_back(sample.response_);
      } else if (sample.outcome_ == "refused") {
        refusals.push_back(sample.response_);
      }
    }
    std::printf("%-20s", rule_.c_str());
    for (double quantile : { 0.5, 0.99, 0.999 }) {
      const Millis measured = QuantileOf(responses, quantile);
      const Millis ideal = QuantileOf(ideal_, quantile);
      std::printf("  p%g %lld/%lld=%.3f",
                  quantile * 100,
                  static_cast<long long>(measured.count()),
                  static_cast<long long>(ideal.count()),
                  Ratio(measured, ideal));
    }
    PrintSlowdown();
    std::printf("  work %.3f", CompletedWorkRatio());
    for (const auto& [outcome, count] : outcomes) {
      std::printf("  %s %zu", outcome.c_str(), count);
    }
    if (!refusals.empty()) {
      std::printf("  refusal p99 %lld ms",
                  static_cast<long long>(QuantileOf(refusals, 0.99).count()));
    }
    PrintMessages(aMessages, responses.size());
    std::printf("\n");
    std::fflush(stdout);
  }

  void WriteCsv(std::ostream& aFile) const
  {
    for (size_t i = 0; i < samples_.size(); ++i) {
      aFile << rule_ << ',' << samples_[i].sentAt_.count() << ','
            << trace_[i].runTimes_.size() << ','
            << samples_[i].response_.count() << ',' << ideal_[i].count() << ','
            << samples_[i].outcome_ << '\n';
    }
  }

private:
  static double Ratio(Millis aMeasured, Millis aIdeal)
  {
    return static_cast<double>(aMeasured.count()) /
           static_cast<double>(std::max(aIdeal, Millis(1)).count());
  }

  /// Prints quantiles of the slowdown: the ratio of each response time to the
  /// ideal response time of the same arrival.
  void PrintSlowdown() const
  {
    constexpr int64_t kThousandths = 1000;
    std::vector<Millis> slowdowns;
    for (size_t i = 0; i < samples_.size(); ++i) {
      if (samples_[i].outcome_ == "completed") {
        slowdowns.push_back(samples_[i].response_ * kThousandths /
                            std::max(ideal_[i], Millis(1)).count());
      }
    }
    std::printf("  each");
    for (double quantile : { 0.5, 0.99, 0.999 }) {
      const Millis slowdown = QuantileOf(slowdowns, quantile);
      std::printf(" %.3f", double(slowdown.count()) / double(kThousandths));
    }
  }

  /// Returns the run time of the work completed by the time of the last
  /// arrival, divided by what the ideal system completes by then.
  double CompletedWorkRatio() const
  {
    const Millis end = samples_.empty() ? Millis(0) : samples_.back().sentAt_;
    Millis finished{ 0 };
    Millis possible{ 0 };
    for (size_t i = 0; i < samples_.size(); ++i) {
      const Sample& sample = samples_[i];
      Millis work{ 0 };
      for (Millis runTime : trace_[i].runTimes_) {
        work += runTime;
      }
      if (sample.outcome_ == "completed" &&
          sample.sentAt_ + sample.response_ <= end) {
        finished += work;
      }
      possible += sample.sentAt_ + ideal_[i] <= end ? work : Millis(0);
    }
    return Ratio(finished, possible);
  }

  /// Prints messages by kind and the overhead per completed request. Overhead
  /// is every message except one start and one answer for each task.
  void PrintMessages(std::map<std::string, double>& aMessages,
                     size_t aCompleted) const
  {
    if (aMessages.empty() || aCompleted == 0) {
      std::printf("  wasted messages not measured");
      return;
    }
    double tasks = 0;
    for (size_t i = 0; i < samples_.size(); ++i) {
      const bool completed = samples_[i].outcome_ == "completed";
      tasks += completed ? static_cast<double>(trace_[i].runTimes_.size()) : 0;
    }
    double wasted = 0;
    for (const auto& [kind, count] : aMessages) {
      const bool needed = kind == "start_tasks" || kind == "task_answers";
      wasted += needed ? std::max(0.0, count - tasks) : count;
    }
    std::printf("  wasted/request %.3f", wasted / double(aCompleted));
    for (const auto& [kind, count] : aMessages) {
      std::printf("  %s %.0f", kind.c_str(), count);
    }
  }

  std::string rule_;
  const std::vector<Sample>& samples_;
  std::vector<Arrival> trace_;
  std::vector<Millis> ideal_;
};

std::map<std::string, double>
Difference(const std::map<std::string, double>& aBefore,
           std::map<std::string, double> aAfter)
{
  for (const auto& [kind, count] : aBefore) {
    aAfter[kind] -= count;
  }
  return aAfter;
}

/// Returns the policy for \p aRule, which is the name of a routing rule or a
/// complete policy in braces.
std::string
MakePolicy(const std::string& aRule)
{
  return aRule.starts_with('{') ? aRule : "route_rule: " + aRule + "\n";
}

Outage
MakeOutage(const Options& aOptions)
{
  constexpr int kParts = 3;
  const Millis duration = aOptions.trace_.duration_;
  return { .slots_ = aOptions.zoneSlots_,
           .from_ = duration / kParts,
           .until_ = duration * 2 / kParts };
}

void
Run(Options aOptions)
{
  aOptions.trace_.duration_ = std::chrono::seconds(aOptions.durationS_);
  const auto trace = MakeTrace(aOptions.trace_);
  const Outage outage = MakeOutage(aOptions);
  Publisher publisher(aOptions.logUrl_);
  publisher.Publish("schema/desk", ReadFile(aOptions.schemaFile_));
  std::ofstream csv(aOptions.csvFile_);
  csv << "rule,sent_ms,tasks,response_ms,ideal_ms,outcome\n";
  for (const std::string& rule : aOptions.rules_) {
    publisher.Publish("policy", MakePolicy(rule));
    std::this_thread::sleep_for(kSettleTime);
    const auto before = CountMessages(aOptions.metrics_);
    const auto samples = Replay(aOptions, trace, outage, publisher).Run();
    const auto messages = Difference(before, CountMessages(aOptions.metrics_));
    const Report report(rule, aOptions, trace, samples, outage);
    report.Print(messages);
    report.WriteCsv(csv);
  }
}

void
AddOptions(CLI::App& aApp, Options& aOptions)
{
  aApp.add_option("--entry", aOptions.entries_, "URLs of entries")->required();
  aApp.add_option(
    "--metrics", aOptions.metrics_, "URLs of processes that serve /metrics");
  aApp.add_option("--log", aOptions.logUrl_, "URL of the log")->required();
  aApp.add_option("--schema", aOptions.schemaFile_, "service schema file")
    ->required();
  aApp.add_option(
    "--rules", aOptions.rules_, "routing rules or policies in braces");
  aApp.add_option("--seed", aOptions.trace_.seed_, "seed of the trace");
  aApp.add_option(
    "--duration-s", aOptions.durationS_, "length of the trace, seconds");
  aApp.add_option(
    "--slots", aOptions.trace_.slots_, "total slots of all upstreams");
  aApp.add_option("--utilisation",
                  aOptions.trace_.utilisation_,
                  "mean utilisation of the slots, 0 to 1");
  aApp.add_option(
    "--burst",
    aOptions.trace_.burst_,
    "offered load of the burst, as a multiple of the slots; 0 is none");
  aApp.add_option("--zone",
                  aOptions.zone_,
                  "zone taken out for the middle third of the trace");
  aApp.add_option("--zone-slots", aOptions.zoneSlots_, "slots of that zone");
  aApp.add_option(
    "--csv", aOptions.csvFile_, "CSV file that receives every sample");
}

} // namespace
} // namespace cornelfront

int
main(int argc, char** argv)
{
  cornelfront::Options options;
  CLI::App app("Replays a seeded trace of arrivals against running entries");
  cornelfront::AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  try {
    cornelfront::Run(std::move(options));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
