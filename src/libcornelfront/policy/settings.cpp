#include "cornelfront/settings.h"

#include "cornelfront/job_settings.h"

#include "policy/yaml_reader.h"

#include <algorithm>

namespace cornelfront {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Bounds<Millis> kPulseIntervalBounds{ Millis(10), seconds(10) };
constexpr Bounds<Millis> kSilenceBounds{ Millis(30), minutes(1) };
constexpr Bounds<Millis> kRedialBounds{ Millis(10), seconds(30) };
constexpr Bounds<Millis> kPrefixLifetimeBounds{ seconds(1), minutes(60) };
constexpr Bounds<Millis> kResolveBounds{ Millis(50), minutes(1) };
constexpr Bounds<Millis> kDrainNoticeBounds{ Millis(0), minutes(2) };
constexpr Bounds<Millis> kDrainLimitBounds{ Millis(100), minutes(30) };
constexpr Bounds<Millis> kFreshnessBounds{ Millis(50), seconds(30) };
constexpr Bounds<Millis> kRetentionBounds{ Millis(500), minutes(10) };
constexpr Bounds<unsigned> kThreadBounds{ 1, 64 };
constexpr Bounds<unsigned> kQueueBounds{ 0, 100000 };

// The silence bound must exceed this many pulse intervals, so that one late
// keep-alive message does not close a link.
constexpr int kMinPulsesPerSilence = 2;

constexpr std::string_view kWildcardAddress = "0.0.0.0";

void
CheckSilence(YamlReader& aReader, const LinkSettings& aLinks)
{
  if (aLinks.silenceBound_ <= kMinPulsesPerSilence * aLinks.pulseInterval_) {
    aReader.AddError("silence_bound",
                     FormatDuration(aLinks.silenceBound_) +
                       " must exceed twice the pulse_interval of " +
                       FormatDuration(aLinks.pulseInterval_));
  }
}

void
ReadLinks(YamlReader& aParent, LinkSettings& aLinks)
{
  auto reader = aParent.Child("links");
  if (!reader) {
    return;
  }
  reader->Duration(
    "pulse_interval", aLinks.pulseInterval_, kPulseIntervalBounds);
  reader->Duration("silence_bound", aLinks.silenceBound_, kSilenceBounds);
  reader->Duration("redial_interval", aLinks.redialInterval_, kRedialBounds);
  CheckSilence(*reader, aLinks);
  reader->CheckKeys();
}

void
ReadSeeds(YamlReader& aReader,
          std::vector<Endpoint>& aSeeds,
          Presence aPresence)
{
  if (!aReader.Addresses("seeds", aSeeds, aPresence)) {
    return;
  }
  if (aSeeds.empty() && aPresence == Presence::Required) {
    aReader.AddError("seeds", "must name at least one entry");
  }
  std::set<std::string> seen;
  for (const Endpoint& seed : aSeeds) {
    const std::string text = FormatEndpoint(seed);
    if (seed.port_ == 0 || seed.host_ == kWildcardAddress) {
      aReader.AddError("seeds", text + " is not an address to connect to");
    }
    if (!seen.insert(text).second) {
      aReader.AddError("seeds", text + " is given twice");
    }
  }
}

void
ReadLogUrl(YamlReader& aReader, std::string& aUrl)
{
  if (!aReader.Text("log_url", aUrl, Presence::Required)) {
    return;
  }
  constexpr std::string_view kScheme = "http://";
  const std::string_view url = aUrl;
  const auto endpoint = url.substr(0, kScheme.size()) == kScheme
                          ? ParseEndpoint(url.substr(kScheme.size()))
                          : std::nullopt;
  if (!endpoint || endpoint->port_ == 0) {
    aReader.AddError("log_url",
                     "'" + aUrl + "' must be http://<IPv4 address>:<port>");
  }
}

void
CheckListeners(YamlReader& aReader, const EntrySettings& aSettings)
{
  if (aSettings.messages_.host_ == kWildcardAddress) {
    aReader.AddError("messages",
                     "must be an address to which other processes can connect");
  }
  const bool hasFixedPort = aSettings.http_.port_ != 0;
  if (hasFixedPort &&
      FormatEndpoint(aSettings.http_) == FormatEndpoint(aSettings.messages_)) {
    aReader.AddError("messages", "must differ from http");
  }
}

void
ReadEntry(YamlReader& aReader, EntrySettings& aSettings)
{
  aReader.Name("name", aSettings.name_, Presence::Required);
  aReader.Name("zone", aSettings.zone_, Presence::Required);
  const bool http =
    aReader.Address("http", aSettings.http_, Presence::Required);
  const bool messages =
    aReader.Address("messages", aSettings.messages_, Presence::Required);
  if (http && messages) {
    CheckListeners(aReader, aSettings);
  }
  ReadSeeds(aReader, aSettings.seeds_, Presence::Optional);
  ReadLogUrl(aReader, aSettings.logUrl_);
  ReadLinks(aReader, aSettings.links_);
  aReader.Duration(
    "prefix_lifetime", aSettings.prefixLifetime_, kPrefixLifetimeBounds);
  aReader.Duration("resolve_bound", aSettings.resolveBound_, kResolveBounds);
  if (aSettings.resolveBound_ <= aSettings.links_.redialInterval_) {
    aReader.AddError("resolve_bound",
                     FormatDuration(aSettings.resolveBound_) +
                       " must exceed links.redial_interval of " +
                       FormatDuration(aSettings.links_.redialInterval_));
  }
  aReader.Duration("drain_notice", aSettings.drainNotice_, kDrainNoticeBounds);
  aReader.Duration("drain_limit", aSettings.drainLimit_, kDrainLimitBounds);
  aReader.Number("http_threads", aSettings.httpThreads_, kThreadBounds);
  aReader.Number("message_threads", aSettings.messageThreads_, kThreadBounds);
}

void
CheckSidecarTimes(YamlReader& aReader, const SidecarSettings& aSettings)
{
  const LinkSettings& links = aSettings.links_;
  if (aSettings.freshnessBound_ <= links.pulseInterval_) {
    aReader.AddError("freshness_bound",
                     FormatDuration(aSettings.freshnessBound_) +
                       " must exceed links.pulse_interval of " +
                       FormatDuration(links.pulseInterval_));
  }
  if (aSettings.resultRetention_ <= links.silenceBound_) {
    aReader.AddError("result_retention",
                     FormatDuration(aSettings.resultRetention_) +
                       " must exceed links.silence_bound of " +
                       FormatDuration(links.silenceBound_));
  }
}

void
ReadSidecar(YamlReader& aReader, SidecarSettings& aSettings)
{
  aReader.Name("name", aSettings.name_, Presence::Required);
  aReader.Name("zone", aSettings.zone_, Presence::Required);
  aReader.Address("http", aSettings.http_, Presence::Required);
  ReadSeeds(aReader, aSettings.seeds_, Presence::Required);
  ReadLinks(aReader, aSettings.links_);
  aReader.Duration(
    "freshness_bound", aSettings.freshnessBound_, kFreshnessBounds);
  aReader.Number("queue_limit", aSettings.queueLimit_, kQueueBounds);
  aReader.Duration(
    "result_retention", aSettings.resultRetention_, kRetentionBounds);
  aReader.Duration("drain_limit", aSettings.drainLimit_, kDrainLimitBounds);
  CheckSidecarTimes(aReader, aSettings);
}

constexpr Bounds<Millis> kStopLimitBounds{ Millis(100), minutes(30) };
constexpr Bounds<Millis> kLeaseBounds{ Millis(200), minutes(1) };
constexpr Bounds<uint16_t> kPortBounds{ 1, 65535 };

void
ReadJobEntry(YamlReader& aReader, JobEntrySettings& aSettings)
{
  aReader.Name("name", aSettings.name_, Presence::Required);
  aReader.Name("zone", aSettings.zone_, Presence::Required);
  aReader.Address("clients", aSettings.clients_, Presence::Required);
  aReader.Address("readiness", aSettings.readiness_, Presence::Required);
  aReader.Address("messages", aSettings.messages_, Presence::Required);
  aSettings.advertised_ = aSettings.messages_;
  aReader.Address("advertised", aSettings.advertised_, Presence::Optional);
  aReader.Address("metrics", aSettings.metrics_, Presence::Required);
  aReader.Address("store", aSettings.store_, Presence::Required);
  ReadLinks(aReader, aSettings.links_);
  aReader.Duration("stop_limit", aSettings.stopLimit_, kStopLimitBounds);
}

void
ReadJobSidecar(YamlReader& aReader, JobSidecarSettings& aSettings)
{
  aReader.Name("name", aSettings.name_, Presence::Required);
  aReader.Name("zone", aSettings.zone_, Presence::Required);
  aReader.Address("heartbeats", aSettings.heartbeats_, Presence::Required);
  aReader.Address("metrics", aSettings.metrics_, Presence::Required);
  aReader.Address("upstream", aSettings.upstream_, Presence::Required);
  aReader.Address("store", aSettings.store_, Presence::Required);
  aReader.Addresses("seeds", aSettings.seeds_);
  aReader.Number(
    "message_port", aSettings.messagePort_, kPortBounds, Presence::Required);
  ReadLinks(aReader, aSettings.links_);
  aReader.Duration("lease", aSettings.lease_, kLeaseBounds);
  aReader.Duration("stop_limit", aSettings.stopLimit_, kStopLimitBounds);
}

// Reads the mapping under the key of the role with aRead; throws FileErrors if
// there is any error.
template<class Settings, class Read>
Settings
ParseRole(const std::string& aYaml, const std::string& aRole, Read aRead)
{
  std::vector<FileError> errors;
  Settings settings;
  const YAML::Node root = LoadYaml(aYaml, errors);
  if (errors.empty()) {
    YamlReader reader(root, "", errors);
    if (auto role = reader.Child(aRole, Presence::Required)) {
      aRead(*role, settings);
      role->CheckKeys();
    }
    reader.CheckKeys();
  }
  if (!errors.empty()) {
    std::stable_sort(errors.begin(),
                     errors.end(),
                     [](const FileError& aLeft, const FileError& aRight) {
                       return aLeft.line_ < aRight.line_;
                     });
    throw FileErrors(std::move(errors));
  }
  return settings;
}

void
PrintLine(std::string& aOut, std::string_view aKey, const std::string& aValue)
{
  aOut += "  " + std::string(aKey) + ": " + aValue + "\n";
}

void
PrintSeeds(std::string& aOut, const std::vector<Endpoint>& aSeeds)
{
  std::string list;
  for (const Endpoint& seed : aSeeds) {
    list += (list.empty() ? "\"" : ", \"") + FormatEndpoint(seed) + "\"";
  }
  PrintLine(aOut, "seeds", "[" + list + "]");
}

void
PrintLinks(std::string& aOut, const LinkSettings& aLinks)
{
  PrintLine(aOut, "links", "");
  PrintLine(aOut, "  pulse_interval", FormatDuration(aLinks.pulseInterval_));
  PrintLine(aOut, "  silence_bound", FormatDuration(aLinks.silenceBound_));
  PrintLine(aOut, "  redial_interval", FormatDuration(aLinks.redialInterval_));
}

} // namespace

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  return aEndpoint.host_ + ":" + std::to_string(aEndpoint.port_);
}

EntrySettings
ParseEntrySettings(const std::string& aYaml)
{
  return ParseRole<EntrySettings>(aYaml, "entry", ReadEntry);
}

SidecarSettings
ParseSidecarSettings(const std::string& aYaml)
{
  return ParseRole<SidecarSettings>(aYaml, "sidecar", ReadSidecar);
}

std::string
PrintSettings(const EntrySettings& aSettings)
{
  std::string out = "entry:\n";
  PrintLine(out, "name", aSettings.name_);
  PrintLine(out, "zone", aSettings.zone_);
  PrintLine(out, "http", FormatEndpoint(aSettings.http_));
  PrintLine(out, "messages", FormatEndpoint(aSettings.messages_));
  PrintSeeds(out, aSettings.seeds_);
  PrintLine(out, "log_url", aSettings.logUrl_);
  PrintLinks(out, aSettings.links_);
  PrintLine(out, "prefix_lifetime", FormatDuration(aSettings.prefixLifetime_));
  PrintLine(out, "resolve_bound", FormatDuration(aSettings.resolveBound_));
  PrintLine(out, "drain_notice", FormatDuration(aSettings.drainNotice_));
  PrintLine(out, "drain_limit", FormatDuration(aSettings.drainLimit_));
  PrintLine(out, "http_threads", std::to_string(aSettings.httpThreads_));
  PrintLine(out, "message_threads", std::to_string(aSettings.messageThreads_));
  return out;
}

std::string
PrintSettings(const SidecarSettings& aSettings)
{
  std::string out = "sidecar:\n";
  PrintLine(out, "name", aSettings.name_);
  PrintLine(out, "zone", aSettings.zone_);
  PrintLine(out, "http", FormatEndpoint(aSettings.http_));
  PrintSeeds(out, aSettings.seeds_);
  PrintLinks(out, aSettings.links_);
  PrintLine(out, "freshness_bound", FormatDuration(aSettings.freshnessBound_));
  PrintLine(out, "queue_limit", std::to_string(aSettings.queueLimit_));
  PrintLine(
    out, "result_retention", FormatDuration(aSettings.resultRetention_));
  PrintLine(out, "drain_limit", FormatDuration(aSettings.drainLimit_));
  return out;
}

JobEntrySettings
ParseJobEntrySettings(const std::string& aYaml)
{
  return ParseRole<JobEntrySettings>(aYaml, "job_entry", ReadJobEntry);
}

JobSidecarSettings
ParseJobSidecarSettings(const std::string& aYaml)
{
  return ParseRole<JobSidecarSettings>(aYaml, "job_sidecar", ReadJobSidecar);
}

std::string
PrintSettings(const JobEntrySettings& aSettings)
{
  std::string out = "job_entry:\n";
  PrintLine(out, "name", aSettings.name_);
  PrintLine(out, "zone", aSettings.zone_);
  PrintLine(out, "clients", FormatEndpoint(aSettings.clients_));
  PrintLine(out, "readiness", FormatEndpoint(aSettings.readiness_));
  PrintLine(out, "messages", FormatEndpoint(aSettings.messages_));
  PrintLine(out, "advertised", FormatEndpoint(aSettings.advertised_));
  PrintLine(out, "metrics", FormatEndpoint(aSettings.metrics_));
  PrintLine(out, "store", FormatEndpoint(aSettings.store_));
  PrintLinks(out, aSettings.links_);
  PrintLine(out, "stop_limit", FormatDuration(aSettings.stopLimit_));
  return out;
}

std::string
PrintSettings(const JobSidecarSettings& aSettings)
{
  std::string out = "job_sidecar:\n";
  PrintLine(out, "name", aSettings.name_);
  PrintLine(out, "zone", aSettings.zone_);
  PrintLine(out, "heartbeats", FormatEndpoint(aSettings.heartbeats_));
  PrintLine(out, "metrics", FormatEndpoint(aSettings.metrics_));
  PrintLine(out, "upstream", FormatEndpoint(aSettings.upstream_));
  PrintLine(out, "store", FormatEndpoint(aSettings.store_));
  PrintSeeds(out, aSettings.seeds_);
  PrintLine(out, "message_port", std::to_string(aSettings.messagePort_));
  PrintLinks(out, aSettings.links_);
  PrintLine(out, "lease", FormatDuration(aSettings.lease_));
  PrintLine(out, "stop_limit", FormatDuration(aSettings.stopLimit_));
  return out;
}

} // namespace cornelfront
