#pragma once

/// \file
/// Job entries and job sidecars as real processes on loopback, with stand-ins
/// for the platform's store and executors.

#include "process.h"

#include "cornelfront/http_client.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// One run, as recorded by an executor stand-in. Times are wall-clock
/// milliseconds; an end of 0 means that the run has not ended.
struct RunRecord
{
  std::string task_;
  int64_t run_ = 0;
  int64_t started_ = 0;
  int64_t ended_ = 0;
  /// "done", "failed", "stopped", "lapsed", "crashed", or "left" if its
  /// executor had deregistered and ended; empty while it runs.
  std::string outcome_;
  /// When the end of the run was acknowledged, if the lease has not lapsed
  /// since that end; else 0.
  int64_t acknowledged_ = 0;
  unsigned executor_ = 0;
};

struct PlatformClusterOptions
{
  unsigned entries_ = 1;
  unsigned sidecars_ = 1;
  /// Places fault proxies between all processes and the store, between sidecars
  /// and their executors, and between sidecars and entries.
  bool proxied_ = false;
  /// Places fault proxies between clients and entries as well.
  bool clientsProxied_ = false;
  /// How long a run goes on after its stop.
  Millis stopTime_{ 0 };
  /// Has a second queue, kDroppedQueue, from the start.
  bool secondQueue_ = false;
};

/// Queue that is configured from the start if PlatformClusterOptions says so.
inline constexpr const char* kDroppedQueue = "q2";

/// The operator's writes wait this long for the store. A soak plays no other
/// fault meanwhile, and its store may be silent.
inline constexpr Millis kOperatorWriteTimeout{ 10000 };

/// Group of connections that one fault proxy relays.
enum class ProxiedLeg : uint8_t
{
  EntryToStore,
  SidecarToStore,
  SidecarToExecutor,
  SidecarsToEntry,
  ClientToEntry,
};

/// Starts a store with a configuration of one queue, entries, executors and
/// their sidecars; the destructor ends all of them.
class PlatformCluster
{
public:
  /// Returns once all entries are ready and linked to all sidecars: an entry is
  /// ready with its first one.
  /// \throws std::runtime_error if this takes longer than kDefaultTimeout.
  PlatformCluster(unsigned aEntries, unsigned aSidecars);
  explicit PlatformCluster(const PlatformClusterOptions& aOptions);

  /// Sends one request to an entry. May be called from any thread.
  HttpResult Call(unsigned aEntry,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  Millis aTimeout = kDefaultTimeout);
  /// Submits a job of one step with \p aTasks tasks; \p aPayload tells the
  /// executor stand-in what they do.
  HttpResult Submit(unsigned aEntry,
                    const std::string& aJob,
                    const std::string& aPayload,
                    unsigned aTasks,
                    bool aBestEffort,
                    Millis aTimeout = kDefaultTimeout);
  /// Returns the state of a job, such as "queued" or "running"; the HTTP status
  /// if it is not 200.
  std::string State(unsigned aEntry, const std::string& aJob);
  bool WaitState(unsigned aEntry,
                 const std::string& aJob,
                 const std::string& aState);

  void StartEntry(unsigned aEntry);
  void StartSidecar(unsigned aSidecar);
  /// Sends SIGHUP to an entry. One that this ends before it can hold the signal
  /// back is started again, as by the platform, and printed.
  void ReloadEntry(unsigned aEntry);
  Process& Entry(unsigned aEntry) { return *entries_.at(aEntry); }
  Process& Sidecar(unsigned aSidecar) { return *sidecars_.at(aSidecar); }
  Process& Executor(unsigned aExecutor) { return *executors_.at(aExecutor); }
  /// Returns the address "<ip>:<port>" at which clients reach an entry.
  std::string ClientAddress(unsigned aEntry);
  /// Returns the zone of a sidecar and its executor.
  std::string ZoneOf(unsigned aSidecar) const;
  /// Returns the entry whose log has the highest term of leadership; waits
  /// until there is one.
  unsigned Leader();
  bool Ready(unsigned aEntry);
  void WaitReady();

  /// Writes a record to the operator's topic of the store; an empty value
  /// deletes the key.
  void WriteOperatorRecord(const std::string& aKey,
                           const std::string& aValue,
                           Millis aTimeout = kOperatorWriteTimeout);
  /// Writes the next version of the configuration, with a route to the service
  /// of the executors for each of these queues. The first one has "q1".
  void Configure(const std::vector<std::string>& aQueues,
                 Millis aTimeout = kOperatorWriteTimeout);
  void StoreFault(const std::string& aJson);
  void ExecutorFault(unsigned aExecutor, const std::string& aJson);
  /// Sets faults of a leg; \p aFields is the body of the proxy's POST /control
  /// without "route", \p aIndex the index of the entry or the sidecar.
  void ProxyFault(ProxiedLeg aLeg, unsigned aIndex, const std::string& aFields);
  /// Sends a heartbeat of instance \p aId to a sidecar.
  HttpResult Heartbeat(unsigned aSidecar,
                       const std::string& aId,
                       const std::string& aBody,
                       Millis aTimeout = kDefaultTimeout);
  /// Tells a sidecar that its executor, known as instance \p aId, deregisters.
  /// The executor knows nothing of it and lives on.
  HttpResult Deregister(unsigned aSidecar, const std::string& aId);

  /// Returns all runs of all executors so far.
  std::vector<RunRecord> Runs();
  /// Returns the number of runs of one job that ended with \p aOutcome; of all
  /// its runs if \p aOutcome is empty.
  size_t CountRuns(const std::string& aJob, const std::string& aOutcome = "");
  /// Returns a task id for each pair of runs of the same task that overlap.
  std::vector<std::string> OverlappingRuns();

private:
  std::unique_ptr<Process> Run(const std::string& aName,
                               std::vector<std::string> aCommand);
  void Control(const std::string& aUrl, const std::string& aJson);
  bool IsLinkedToAll(unsigned aEntry);
  void WaitLinked();
  void StartStore();
  void StartExecutor(unsigned aExecutor);
  /// Returns the port of the fault proxy that forwards to \p aPort, started on
  /// first use; \p aPort itself if the cluster is not proxied.
  uint16_t Proxied(ProxiedLeg aLeg, unsigned aIndex, uint16_t aPort);

  /// The fault proxy of one leg.
  struct Proxy
  {
    std::unique_ptr<Process> process_;
    std::string control_;
    uint16_t port_ = 0;
  };

  const PlatformClusterOptions options_;
  TempDirectory directory_;
  HttpClient client_;
  int configVersion_ = 0;
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
  /// Number of starts of each process, by name.
  std::map<std::string, int> starts_;
};

} // namespace cornelfront::harness
