#pragma once

/// \file
/// Job entries and sidecars as real processes on loopback, on stand-ins of the
/// platform's store and executors.

#include "process.h"

#include "cornelfront/http_client.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// One run as an executor saw it, by wall-clock milliseconds; an end of 0
/// means that it still runs.
struct RunRecord
{
  std::string task_;
  int64_t run_ = 0;
  int64_t begun_ = 0;
  int64_t ended_ = 0;
  std::string how_;
  /// When its end was acknowledged under an unbroken lease; 0 if it was not.
  int64_t acknowledged_ = 0;
  unsigned executor_ = 0;
};

struct PlatformClusterOptions
{
  unsigned entries_ = 1;
  unsigned sidecars_ = 1;
  /// Puts a fault proxy between all processes and the store, sidecars and
  /// their executors, and sidecars and entries.
  bool proxied_ = false;
};

/// Connections that a proxy can disturb.
enum class ProxiedLeg : uint8_t
{
  EntryToStore,
  SidecarToStore,
  SidecarToExecutor,
  SidecarsToEntry,
};

/// Starts a store with a configuration of one queue, entries, executors and
/// their sidecars; all of it ends with the object.
class PlatformCluster
{
public:
  /// \throws std::runtime_error if the system is not ready within kPatience.
  PlatformCluster(unsigned aEntries, unsigned aSidecars);
  explicit PlatformCluster(const PlatformClusterOptions& aOptions);

  /// Sends one request to an entry.
  HttpResult Call(unsigned aEntry,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  Millis aTimeout = kPatience);
  /// Submits a job of one step.
  HttpResult Submit(unsigned aEntry,
                    const std::string& aJob,
                    const std::string& aPayload,
                    unsigned aTasks,
                    bool aBestEffort,
                    Millis aTimeout = kPatience);
  /// "queued", "running" and so on; the status if it is not 200.
  std::string State(unsigned aEntry, const std::string& aJob);
  bool WaitState(unsigned aEntry,
                 const std::string& aJob,
                 const std::string& aState);

  void StartEntry(unsigned aEntry);
  void StartSidecar(unsigned aSidecar);
  Process& Entry(unsigned aEntry) { return *entries_.at(aEntry); }
  Process& Sidecar(unsigned aSidecar) { return *sidecars_.at(aSidecar); }
  Process& Executor(unsigned aExecutor) { return *executors_.at(aExecutor); }
  /// "<ip>:<port>" for clients of an entry.
  std::string ClientAddress(unsigned aEntry) const;
  /// Zone of a sidecar and its executor.
  std::string ZoneOf(unsigned aSidecar) const;
  /// Entry that leads, by its log; waits for one.
  unsigned Leader();
  bool Ready(unsigned aEntry);
  void WaitReady();

  /// Writes a record of the operator; no value deletes it.
  void Operate(const std::string& aKey, const std::string& aValue);
  void StoreFault(const std::string& aJson);
  void ExecutorFault(unsigned aExecutor, const std::string& aJson);
  /// Sets faults of a leg as /control of the proxy takes them, without "route".
  /// \p aIndex is the entry's or the sidecar's.
  void ProxyFault(ProxiedLeg aLeg, unsigned aIndex, const std::string& aFields);
  HttpResult Heartbeat(unsigned aSidecar,
                       const std::string& aId,
                       const std::string& aBody);

  /// All runs of all executors so far.
  std::vector<RunRecord> Runs();
  /// Runs of one job that ended so; all if \p aHow is empty.
  size_t CountRuns(const std::string& aJob, const std::string& aHow = "");
  /// Pairs of runs of one task that were there at the same time.
  std::vector<std::string> Overlaps();

private:
  std::unique_ptr<Process> Run(const std::string& aName,
                               std::vector<std::string> aCommand);
  void Control(const std::string& aUrl, const std::string& aJson);
  void StartStore();
  void StartExecutor(unsigned aExecutor);
  /// Begins to forward to \p aPort if the cluster is proxied; returns the port
  /// to use instead.
  uint16_t Proxied(ProxiedLeg aLeg, unsigned aIndex, uint16_t aPort);

  /// A proxy of one leg.
  struct Proxy
  {
    std::unique_ptr<Process> process_;
    std::string control_;
    uint16_t port_ = 0;
  };

  const PlatformClusterOptions options_;
  TempFolder folder_;
  HttpClient client_;
  uint16_t storePort_ = 0;
  std::unique_ptr<Process> store_;
  std::vector<uint16_t> clientPorts_;
  std::vector<uint16_t> readyPorts_;
  std::vector<uint16_t> messagePorts_;
  std::vector<uint16_t> heartbeatPorts_;
  std::vector<uint16_t> executorPorts_;
  std::vector<std::unique_ptr<Process>> executors_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<Process>> sidecars_;
  std::map<std::pair<ProxiedLeg, unsigned>, Proxy> proxies_;
  std::map<std::string, int> starts_;
};

} // namespace cornelfront::harness
