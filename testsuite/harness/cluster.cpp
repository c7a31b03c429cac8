#include "cluster.h"

#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>

namespace cornelfront::harness {
namespace {

using Json = nlohmann::json;

const std::string kHost = "127.0.0.1:";

constexpr const char* kSchema = R"(services:
  event_desk:
    calls:
      check_in:
        repeatable: true
        priority: urgent
        start_within: 10s
        run_limit: 20s
        max_body: 64KiB
        size: {processors: 0.5, memory: 64MiB, run_time: 60ms}
      confirm_seat:
        repeatable: false
        priority: normal
        start_within: 5s
        run_limit: 1s
        max_body: 64KiB
        size: {processors: 0.5, memory: 64MiB, run_time: 60ms}
      match:
        repeatable: false
        priority: normal
        start_within: 10s
        run_limit: 20s
        max_body: 64KiB
        size: {processors: 0.5, memory: 64MiB, run_time: 60ms}
    teams:
      doors: {starts_per_second: 100000, burst: 100000}
)";

std::string
FormatMillis(Millis aTime)
{
  return std::to_string(aTime.count()) + "ms";
}

std::string
LinkSettingsText()
{
  return "  links: {pulse_interval: 300ms, silence_bound: " +
         FormatMillis(kSilenceBound) + ", redial_interval: 100ms}\n";
}

std::string
Join(const std::vector<std::string>& aItems)
{
  std::string text("[");
  for (const std::string& item : aItems) {
    text.append(text.size() > 1 ? ", " : "").append(1, '"');
    text.append(item).append(1, '"');
  }
  return text.append("]");
}

std::string
Numbered(std::string aText, unsigned aNumber)
{
  return aText.append(std::to_string(aNumber));
}

/// Adds the number of the route to a body of POST /control.
std::string
WithRoute(size_t aRoute, const std::string& aFault)
{
  Json json = Json::parse(aFault);
  json["route"] = aRoute;
  return json.dump();
}

} // namespace

const std::vector<std::string> kZones{ "cr-central-a",
                                       "cr-central-b",
                                       "cr-central-c" };

Cluster::Cluster(const ClusterOptions& aOptions)
  : options_(aOptions)
{
  StartLog();
  AssignNodes();
  if (options_.proxied_) {
    StartProxies();
  }
  Publish("schema/event_desk", kSchema);
  std::set<std::string> entryZones;
  for (const EntryNode& entry : entries_) {
    entryZones.insert(entry.zone_);
  }
  std::string zones;
  for (const std::string& zone : entryZones) {
    zones += (zones.empty() ? "" : ",") + zone;
  }
  Publish("entry_zones", zones);
  for (unsigned i = 0; i < options_.entries_; ++i) {
    StartEntry(i);
  }
  for (unsigned i = 0; i < options_.sidecars_; ++i) {
    StartSidecar(i);
    StartUpstream(i);
  }
  WaitReady();
}

std::unique_ptr<Process>
Cluster::Run(const std::string& aName, std::vector<std::string> aCommand)
{
  return std::make_unique<Process>(
    ProcessOptions{ .command_ = std::move(aCommand),
                    .errorFile_ = directory_.Path(aName + ".err") });
}

void
Cluster::StartLog()
{
  log_ = Run("log", { LOG_STANDIN, "--append-delay-ms", "3" });
  logUrl_ = "http://" + kHost + log_->WaitForLine("listening ");
  logClient_ = std::make_unique<LogClient>(LogClientOptions{ .url_ = logUrl_ });
}

void
Cluster::AssignNodes()
{
  for (unsigned i = 0; i < options_.entries_; ++i) {
    entries_.push_back({ .name_ = Numbered("e", i),
                         .zone_ = kZones[i % kZones.size()],
                         .messages_ = FreePort(),
                         .http_ = FreePort() });
    entries_.back().url_ =
      "http://" + kHost + std::to_string(entries_[i].http_);
  }
  for (unsigned i = 0; i < options_.sidecars_; ++i) {
    const std::string name = Numbered("s", i);
    sidecars_.push_back({ .name_ = name,
                          .zone_ = kZones[i % kZones.size()],
                          .port_ = FreePort(),
                          .recordsFile_ = directory_.Path(name + ".records") });
  }
}

void
Cluster::StartProxies()
{
  std::vector<std::string> links{ FAULT_PROXY, "--framed" };
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    for (const EntryNode& entry : entries_) {
      links.insert(
        links.end(),
        { "--route", "0:" + kHost + std::to_string(entry.messages_) });
    }
  }
  std::vector<std::string> logs{ FAULT_PROXY };
  const std::string logAddress = logUrl_.substr(std::string("http://").size());
  for (size_t i = 0; i < entries_.size(); ++i) {
    logs.insert(logs.end(), { "--route", "0:" + logAddress });
  }
  linkProxy_ = Run("link_proxy", links);
  logProxy_ = Run("log_proxy", logs);
  const auto readPorts = [](Process& aProxy, size_t aCount) {
    std::vector<std::string> ports;
    for (size_t i = 0; i < aCount; ++i) {
      const std::string start =
        std::string("route ") + std::to_string(i) + " listening ";
      ports.push_back(kHost + aProxy.WaitForLine(start));
    }
    return ports;
  };
  linkPorts_ = readPorts(*linkProxy_, sidecars_.size() * entries_.size());
  logPorts_ = readPorts(*logProxy_, entries_.size());
  const std::string http = "http://" + kHost;
  linkProxyUrl_ = http + linkProxy_->WaitForLine("listening ");
  logProxyUrl_ = http + logProxy_->WaitForLine("listening ");
}

std::string
Cluster::EntrySettingsText(unsigned aEntry) const
{
  const EntryNode& entry = entries_.at(aEntry);
  const bool proxied = options_.proxied_;
  const std::string logUrl =
    proxied ? "http://" + logPorts_.at(aEntry) : logUrl_;
  std::vector<std::string> seeds;
  for (const EntryNode& other : entries_) {
    if (!proxied) {
      seeds.push_back(kHost + std::to_string(other.messages_));
    }
  }
  return "entry:\n  name: " + entry.name_ + "\n  zone: " + entry.zone_ +
         "\n  http: \"" + kHost + std::to_string(entry.http_) +
         "\"\n  messages: \"" + kHost + std::to_string(entry.messages_) +
         "\"\n  seeds: " + Join(seeds) + "\n  log_url: \"" + logUrl + "\"\n" +
         LinkSettingsText() +
         "  prefix_lifetime: " + FormatMillis(options_.prefixLifetime_) +
         "\n  resolve_bound: " + FormatMillis(kResolveBound) +
         "\n  drain_notice: 300ms\n";
}

std::string
Cluster::SidecarSettingsText(unsigned aSidecar) const
{
  const SidecarNode& sidecar = sidecars_.at(aSidecar);
  return "sidecar:\n  name: " + sidecar.name_ + "\n  zone: " + sidecar.zone_ +
         "\n  http: \"" + kHost + std::to_string(sidecar.port_) +
         "\"\n  seeds: " + Seeds(aSidecar) + "\n" + LinkSettingsText() +
         "  freshness_bound: " + FormatMillis(kFreshnessBound) + "\n";
}

std::string
Cluster::Seeds(unsigned aSidecar) const
{
  std::vector<std::string> seeds;
  for (size_t i = 0; i < entries_.size(); ++i) {
    seeds.push_back(options_.proxied_
                      ? linkPorts_.at((aSidecar * entries_.size()) + i)
                      : kHost + std::to_string(entries_[i].messages_));
  }
  return Join(seeds);
}

std::string
Cluster::EntryUrl(unsigned aEntry) const
{
  return entries_.at(aEntry).url_;
}

void
Cluster::StartEntry(unsigned aEntry)
{
  EntryNode& entry = entries_.at(aEntry);
  entry.process_.reset();
  const std::string file =
    directory_.Write(entry.name_ + ".yaml", EntrySettingsText(aEntry));
  entry.process_ =
    Run(entry.name_, { CORNELFRONT, "entry", "--settings", file });
  entry.process_->WaitForLine("listening http ");
}

void
Cluster::StartSidecar(unsigned aSidecar)
{
  SidecarNode& sidecar = sidecars_.at(aSidecar);
  sidecar.process_.reset();
  const std::string file =
    directory_.Write(sidecar.name_ + ".yaml", SidecarSettingsText(aSidecar));
  sidecar.process_ =
    Run(sidecar.name_, { CORNELFRONT, "sidecar", "--settings", file });
  sidecar.process_->WaitForLine("listening http ");
}

void
Cluster::StartUpstream(unsigned aSidecar)
{
  SidecarNode& sidecar = sidecars_.at(aSidecar);
  sidecar.upstream_.reset();
  sidecar.upstream_ = Run(sidecar.name_ + ".upstream",
                          { UPSTREAM_STANDIN,
                            "--sidecar",
                            "http://" + kHost + std::to_string(sidecar.port_),
                            "--slots",
                            std::to_string(options_.slots_),
                            "--records-file",
                            sidecar.recordsFile_ });
  sidecar.upstreamUrl_ =
    "http://" + kHost + sidecar.upstream_->WaitForLine("listening ");
}

void
Cluster::WaitReady()
{
  const bool ready = WaitUntil([this] {
    for (unsigned i = 0; i < options_.entries_; ++i) {
      const EntryStatus status = Status(i);
      if (status.readySidecars_ != options_.sidecars_ ||
          status.version_ < config_.version_.value_) {
        return false;
      }
    }
    return true;
  });
  if (!ready) {
    throw std::runtime_error("the cluster did not become ready within " +
                             std::to_string(kDefaultTimeout.count()) + " ms");
  }
}

EntryStatus
Cluster::Status(unsigned aEntry)
{
  const HttpResult result =
    http_.Perform({ .url_ = EntryUrl(aEntry) + "/v1/admin/status",
                    .timeout_ = Millis(1000) });
  if (!result.Ok()) {
    return {};
  }
  const Json json = Json::parse(result.response_.body_);
  EntryStatus status{ .reachable_ = true,
                      .version_ = json.at("config_version"),
                      .entries_ = unsigned(json.at("entries").size()) };
  for (const Json& sidecar : json.at("sidecars")) {
    const bool current = sidecar.at("config_version") == status.version_;
    status.readySidecars_ += sidecar.at("ready").get<bool>() && current ? 1 : 0;
  }
  return status;
}

void
Cluster::Control(const std::string& aUrl, const std::string& aJson)
{
  const HttpResult result = http_.Perform(
    { .method_ = "POST", .url_ = aUrl + "/control", .body_ = aJson });
  if (!result.Ok()) {
    throw std::runtime_error("POST " + aUrl + "/control failed: " +
                             result.error_ + result.response_.body_);
  }
}

void
Cluster::LogFault(const std::string& aJson)
{
  Control(logUrl_, aJson);
}

void
Cluster::UpstreamFault(unsigned aSidecar, const std::string& aJson)
{
  Control(sidecars_.at(aSidecar).upstreamUrl_, aJson);
}

void
Cluster::LinkFault(unsigned aSidecar,
                   unsigned aEntry,
                   const std::string& aFault)
{
  const size_t route = (aSidecar * entries_.size()) + aEntry;
  Control(linkProxyUrl_, WithRoute(route, aFault));
}

void
Cluster::LogLinkFault(unsigned aEntry, const std::string& aFault)
{
  Control(logProxyUrl_, WithRoute(aEntry, aFault));
}

uint64_t
Cluster::Publish(const std::string& aKey, const std::string& aText)
{
  const auto fold = [this] {
    const LogPage page = logClient_->Read({ .from_ = config_.nextOffset_ });
    for (const LogRecord& record : page.records_) {
      FoldConfigRecord(config_, record.offset_, record.body_);
    }
  };
  fold();
  static unsigned sChanges = 0;
  const ConfigChange change{ .changeId_ = "test-" + std::to_string(++sChanges),
                             .author_ = "test",
                             .key_ = aKey,
                             .base_ = config_.Get(aKey).version_,
                             .text_ = aText };
  const uint64_t offset =
    logClient_->Append(EncodeConfigRecord(change), kDefaultTimeout);
  fold();
  return offset + 1;
}

void
Cluster::Append(const std::string& aRecord)
{
  logClient_->Append(aRecord, kDefaultTimeout);
}

WallTime
Cluster::WaitAccepted(uint64_t aVersion)
{
  const bool accepted = WaitUntil([&] {
    std::set<std::string> zones;
    std::set<std::string> confirmed;
    for (unsigned i = 0; i < entries_.size(); ++i) {
      zones.insert(entries_[i].zone_);
      if (Status(i).version_ >= aVersion) {
        confirmed.insert(entries_[i].zone_);
      }
    }
    return confirmed.size() * 2 > zones.size();
  });
  if (!accepted) {
    throw std::runtime_error(
      "version " + std::to_string(aVersion) +
      " was not confirmed by a majority of the entry zones");
  }
  return WallClock::now();
}

std::vector<StartRecord>
Cluster::Starts() const
{
  std::vector<StartRecord> starts;
  for (unsigned i = 0; i < sidecars_.size(); ++i) {
    const auto records = ReadRecords(sidecars_[i].recordsFile_, i);
    starts.insert(starts.end(), records.begin(), records.end());
  }
  return starts;
}

} // namespace cornelfront::harness
