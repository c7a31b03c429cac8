#pragma once

/// \file
/// A whole system of real processes on loopback, on stand-ins of the platform.

#include "judge.h"
#include "process.h"

#include "cornelfront/config.h"
#include "cornelfront/http_client.h"
#include "cornelfront/log_client.h"

#include <memory>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// Bounds that the processes are given, and that tests may state.
constexpr Millis kSilenceBound{ 1500 };
constexpr Millis kFreshnessBound{ 2000 };
constexpr Millis kResolveBound{ 2000 };

/// Names of the availability zones, most used first.
extern const std::vector<std::string> kZones;

struct ClusterOptions
{
  /// Entries and sidecars are dealt to the zones in turn.
  unsigned entries_ = 2;
  unsigned sidecars_ = 3;
  unsigned slots_ = 8;
  Millis prefixLifetime_{ 120000 };
  /// Puts fault proxies between sidecars and entries, and between entries and
  /// the log. Entries then don't know each other, because a sidecar would
  /// learn the addresses behind the proxy from them.
  bool proxied_ = false;
};

struct EntryNode
{
  std::string name_;
  std::string zone_;
  uint16_t messages_ = 0;
  uint16_t http_ = 0;
  std::string url_;
  std::unique_ptr<Process> process_;
};

struct SidecarNode
{
  std::string name_;
  std::string zone_;
  uint16_t port_ = 0;
  std::string recordsFile_;
  std::string upstreamUrl_;
  std::unique_ptr<Process> process_;
  std::unique_ptr<Process> upstream_;
};

/// What an entry says of itself.
struct EntryView
{
  bool reachable_ = false;
  uint64_t version_ = 0;
  unsigned entries_ = 0;
  unsigned readySidecars_ = 0;
};

/// Starts everything and publishes a schema; all of it ends with the object.
/// Not thread-safe, but for EntryUrl and Starts.
class Cluster
{
public:
  /// \throws std::runtime_error if the system is not ready within kPatience.
  explicit Cluster(const ClusterOptions& aOptions = {});

  unsigned Entries() const { return options_.entries_; }
  std::string EntryUrl(unsigned aEntry) const;
  EntryNode& Entry(unsigned aEntry) { return entries_.at(aEntry); }
  SidecarNode& Sidecar(unsigned aSidecar) { return sidecars_.at(aSidecar); }

  /// Starts a new incarnation at the same addresses; ends an earlier one.
  void StartEntry(unsigned aEntry);
  void StartSidecar(unsigned aSidecar);
  void StartUpstream(unsigned aSidecar);
  /// Waits until every entry has every sidecar as ready.
  /// \throws std::runtime_error if it takes longer than kPatience.
  void WaitReady();
  EntryView View(unsigned aEntry);

  /// Sets faults of the log stand-in, an upstream stand-in, or the connections
  /// between two processes; \p aJson is the body of POST /control.
  void LogFault(const std::string& aJson);
  void UpstreamFault(unsigned aSidecar, const std::string& aJson);
  void LinkFault(unsigned aSidecar, unsigned aEntry, const std::string& aFault);
  void LogLinkFault(unsigned aEntry, const std::string& aFault);

  /// Appends a change on top of the newest version of its key, and returns
  /// the version that it makes.
  /// \throws LogUnavailable
  uint64_t Publish(const std::string& aKey, const std::string& aText);
  /// Appends a record as it is.
  /// \throws LogUnavailable
  void Append(const std::string& aRecord);
  /// The configuration after the last Publish.
  const ConfigState& Config() const { return config_; }
  /// Waits until entries in a majority of the entry zones hold the version,
  /// and returns when that was seen.
  WallTime WaitAccepted(uint64_t aVersion);

  /// All starts so far, of upstreams that have ended too.
  std::vector<StartRecord> Starts() const;

private:
  std::unique_ptr<Process> Run(const std::string& aName,
                               std::vector<std::string> aCommand);
  void StartLog();
  void PlanNodes();
  void StartProxies();
  std::string EntrySettingsText(unsigned aEntry) const;
  std::string SidecarSettingsText(unsigned aSidecar) const;
  std::string Seeds(unsigned aSidecar) const;
  void Control(const std::string& aUrl, const std::string& aJson);

  ClusterOptions options_;
  TempFolder folder_;
  HttpClient http_;
  ConfigState config_;
  std::unique_ptr<LogClient> logClient_;
  std::string logUrl_;
  std::unique_ptr<Process> log_;
  std::unique_ptr<Process> linkProxy_;
  std::unique_ptr<Process> logProxy_;
  std::string linkProxyUrl_;
  std::string logProxyUrl_;
  std::vector<std::string> linkPorts_;
  std::vector<std::string> logPorts_;
  std::vector<EntryNode> entries_;
  std::vector<SidecarNode> sidecars_;
};

} // namespace cornelfront::harness
