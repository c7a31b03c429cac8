#pragma once

/// \file
/// A small deployment on loopback addresses: the project's programs with the
/// commands of the deploy file and the settings of its templates, the
/// platform's store, executors, and clients.

#include "processes.h"

#include "cornelfront/http_client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cornelfront::review {

struct DeploymentOptions
{
  unsigned entries_ = 2;
  unsigned executors_ = 3;
  /// Capacity of an executor, in thousandths of a core.
  int cpu_ = 4000;
  /// Program that stands in for an executor.
  std::string executorProgram_ = "executor_standin";
  /// Places a proxy before the store, for each entry.
  bool storeProxies_ = false;
  /// Places a proxy between the sidecars and each entry.
  bool linkProxies_ = false;
  /// Places a proxy before the clients' address of each entry.
  bool clientProxies_ = false;
};

/// A run that an executor has begun. Times are Unix milliseconds; 0 means that
/// it has not happened.
struct RunSeen
{
  unsigned executor_ = 0;
  std::string task_;
  int64_t run_ = 0;
  int64_t begun_ = 0;
  int64_t ended_ = 0;
  int64_t acknowledged_ = 0;
  std::string how_;
};

int64_t
WallMs();

class Deployment
{
public:
  Deployment(const DeploymentOptions& aOptions, Record& aRecord);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Waits until all entries are ready, a leader is known, and all sidecars are
  /// linked to all entries.
  void WaitReady();

  /// Sends a request of a client and records it with its answer. Thread-safe.
  HttpResult Call(unsigned aEntry,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  Millis aTimeout = Millis(5000),
                  bool aRecorded = true);
  /// Submits a job and returns whether it was accepted.
  bool Submit(unsigned aEntry,
              const std::string& aJob,
              const std::string& aBody);
  /// Returns the state that a GET shows, or the status if that is not 200.
  std::string State(unsigned aEntry,
                    const std::string& aJob,
                    bool aRecorded = true);

  /// Returns all runs of all executors so far, by time of their start.
  std::vector<RunSeen> Runs();
  /// Returns the runs whose task's name begins with \p aTask.
  std::vector<RunSeen> RunsOf(const std::string& aTask);
  /// Returns the executor on which the task runs now; -1 if there is none.
  int WhereRuns(const std::string& aTask);
  /// Records all runs.
  void RecordRuns();

  /// Sends a request to the control address of an executor.
  void ControlExecutor(unsigned aExecutor, const std::string& aFields);
  /// SIGKILL of an executor.
  void CrashExecutor(unsigned aExecutor);
  /// Starts a crashed executor again, under its id and address.
  void StartExecutor(unsigned aExecutor);

  /// Starts an entry or a sidecar that was killed again, with its settings.
  void RestartEntry(unsigned aEntry);
  void RestartSidecar(unsigned aSidecar);
  Child& Entry(unsigned aEntry) { return *entries_.at(aEntry); }
  Child& Sidecar(unsigned aSidecar) { return *sidecars_.at(aSidecar); }
  /// The entry that leads according to its metrics; -1 if none does.
  int Leader();

  /// Sets faults of the proxy before the store for one entry.
  void StoreProxy(unsigned aEntry, const std::string& aFields);
  /// Sets faults of the proxy between all sidecars and one entry.
  void LinkProxy(unsigned aEntry, const std::string& aFields);
  /// Sets faults of the proxy before the clients' address of one entry.
  void ClientProxy(unsigned aEntry, const std::string& aFields);

private:
  struct Proxy
  {
    std::unique_ptr<Child> process_;
    std::string control_;
  };

  std::string Address(const std::string& aHost, int aOffset) const;
  std::string LogOf(const std::string& aName);
  void WriteConfig();
  void StartEntry(unsigned aEntry);
  void StartSidecar(unsigned aSidecar);
  std::string Metric(unsigned aEntry, const std::string& aName);
  /// Starts a proxy and returns the address at which it listens.
  std::string StartProxy(const std::string& aName,
                         const std::string& aListenPort,
                         const std::string& aTarget);
  void Control(const std::string& aName, const std::string& aFields);
  std::vector<RunSeen> AskRuns(unsigned aExecutor);
  HttpResult Perform(const HttpClientRequest& aRequest);

  const DeploymentOptions options_;
  Record& record_;
  std::string directory_;
  std::string product_;
  std::string standins_;
  int port_ = 0;
  std::unique_ptr<Child> store_;
  std::string storeAddress_;
  std::vector<std::string> storeOfEntry_;
  std::vector<std::string> clientsOfEntry_;
  std::vector<std::unique_ptr<Child>> entries_;
  std::vector<std::unique_ptr<Child>> sidecars_;
  std::vector<std::unique_ptr<Child>> executors_;
  std::vector<int> executorPorts_;
  /// Runs of executors that have crashed.
  std::vector<RunSeen> earlierRuns_;
  std::map<std::string, Proxy> proxies_;
  std::map<std::string, int> starts_;
};

} // namespace cornelfront::review
