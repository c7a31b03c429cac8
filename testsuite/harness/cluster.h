#pragma once

/// \file
/// A complete system of real processes on loopback, with stand-ins for the
/// services of the platform.

#include "history_checker.h"
#include "process.h"

#include "cornelfront/config.h"
#include "cornelfront/http_client.h"
#include "cornelfront/log_client.h"

#include <memory>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// Settings of the processes that tests depend on.
constexpr Millis kSilenceBound{ 1500 };
constexpr Millis kFreshnessBound{ 2000 };
constexpr Millis kResolveBound{ 2000 };

/// Names of the availability zones; processes are assigned to them in this
/// order.
extern const std::vector<std::string> kZones;

struct ClusterOptions
{
  /// Entries and sidecars are assigned to the zones round-robin.
  unsigned entries_ = 2;
  unsigned sidecars_ = 3;
  unsigned slots_ = 8;
  Millis prefixLifetime_{ 120000 };
  /// Places fault proxies between sidecars and entries, and between entries and
  /// the log. Entries then do not know each other, because sidecars would learn
  /// from them the addresses behind the proxy and bypass it.
  bool proxied_ = false;
};

/// An entry, its addresses and its process.
struct EntryNode
{
  std::string name_;
  std::string zone_;
  uint16_t messages_ = 0;
  uint16_t http_ = 0;
  std::string url_;
  std::unique_ptr<Process> process_;
};

/// A sidecar with its upstream stand-in, and their processes.
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

/// Status that an entry reports at /v1/admin/status.
struct EntryStatus
{
  bool reachable_ = false;
  uint64_t version_ = 0;
  unsigned entries_ = 0;
  unsigned readySidecars_ = 0;
};

/// Starts a system and publishes a schema; the destructor ends all processes.
/// Not thread-safe, except for EntryUrl and Starts.
class Cluster
{
public:
  /// \throws std::runtime_error if the system is not ready within
  /// kDefaultTimeout.
  explicit Cluster(const ClusterOptions& aOptions = {});

  unsigned Entries() const { return options_.entries_; }
  std::string EntryUrl(unsigned aEntry) const;
  EntryNode& Entry(unsigned aEntry) { return entries_.at(aEntry); }
  SidecarNode& Sidecar(unsigned aSidecar) { return sidecars_.at(aSidecar); }

  /// Starts a new incarnation at the same addresses, after killing the earlier
  /// one.
  void StartEntry(unsigned aEntry);
  void StartSidecar(unsigned aSidecar);
  void StartUpstream(unsigned aSidecar);
  /// Waits until every entry reports every sidecar as ready, and holds the
  /// newest published configuration.
  /// \throws std::runtime_error if it takes longer than kDefaultTimeout.
  void WaitReady();
  /// Queries the status of an entry; \c reachable_ is false without an answer.
  EntryStatus Status(unsigned aEntry);

  /// Set faults of the log stand-in, of an upstream stand-in, or of the
  /// connections between two processes, with the JSON body of POST /control.
  void LogFault(const std::string& aJson);
  void UpstreamFault(unsigned aSidecar, const std::string& aJson);
  void LinkFault(unsigned aSidecar, unsigned aEntry, const std::string& aFault);
  void LogLinkFault(unsigned aEntry, const std::string& aFault);

  /// Appends a change whose base is the newest version of its key, and returns
  /// the version that it creates.
  /// \throws LogUnavailable
  uint64_t Publish(const std::string& aKey, const std::string& aText);
  /// Appends a record unchanged.
  /// \throws LogUnavailable
  void Append(const std::string& aRecord);
  /// The configuration after the last Publish.
  const ConfigState& Config() const { return config_; }
  /// Waits until entries in a majority of the entry zones hold the version, and
  /// returns the time at which this was observed.
  /// \throws std::runtime_error if it takes longer than kDefaultTimeout.
  WallTime WaitAccepted(uint64_t aVersion);

  /// Returns all task starts so far, including those of upstreams that have
  /// ended.
  std::vector<StartRecord> Starts() const;

private:
  std::unique_ptr<Process> Run(const std::string& aName,
                               std::vector<std::string> aCommand);
  void StartLog();
  void AssignNodes();
  void StartProxies();
  std::string EntrySettingsText(unsigned aEntry) const;
  std::string SidecarSettingsText(unsigned aSidecar) const;
  std::string Seeds(unsigned aSidecar) const;
  void Control(const std::string& aUrl, const std::string& aJson);

  ClusterOptions options_;
  TempDirectory directory_;
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
