#pragma once

/// \file
/// Stand-in for the executors of the platform, as the pages describe them:
/// leases, fences, run numbers, gangs, tasks that last, and what they list.

#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using cornelfront::HttpReply;
using cornelfront::HttpRequest;
using cornelfront::HttpResponse;
using cornelfront::Millis;
using cornelfront::MonoClock;
using cornelfront::MonoTime;
using Json = nlohmann::json;

/// What the payload of a job tells the executors about its tasks.
struct Work
{
  Millis length_{ 200 };
  int64_t cpu_ = 1000;
  /// Number of members; 0 if the tasks are no gang.
  unsigned gang_ = 0;
  bool lasts_ = false;
  /// The runs up to this number fail by their own fault; those that last when
  /// they have worked for length_.
  int64_t failing_ = 0;
};

/// Formats as the payload of a job.
std::string
ToSpec(const Work& aWork);

/// One run, as the executors saw it.
struct RunRecord
{
  std::string task_;
  int64_t run_ = 0;
  std::string executor_;
  MonoTime begun_;
  MonoTime ended_;
  /// Empty while it runs; "crashed" if it ended with its executor.
  std::string how_;
  Work work_;
  /// Since when all members of its gang are present, if they are.
  std::optional<MonoTime> together_;
  /// When the end was acknowledged, if the lease has not lapsed since it.
  std::optional<MonoTime> acknowledged_;
};

/// All runs of all executors; the executors of a gang find each other here.
struct Runs
{
  std::recursive_mutex mutex_;
  std::vector<RunRecord> list_;
};

struct ExecutorOptions
{
  std::string name_;
  std::string address_;
  uint16_t port_ = 0;
  /// Address of the sidecar for heartbeats, <ip>:<port>.
  std::string heartbeats_;
  std::string service_ = "desk";
  std::string zone_;
  std::vector<std::string> labels_{ "a", "r1" };
  int64_t cpu_ = 4000;
  Millis gangWait_{ 3000 };
};

/// One machine with an executor, which may crash and start again.
class Executor
{
public:
  Executor(ExecutorOptions aOptions, Runs& aRuns);
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  /// Ends the executor as a power loss of its process does: all runs end, all
  /// connections close, and its port refuses new ones.
  void Crash();
  /// Ends the executor as a power loss of its machine does: all runs end, and
  /// calls get no answer any more, on open connections and on new ones.
  void GoDark();
  /// Starts the next lifetime, under another id unless \p aKeepsId.
  void Start(bool aKeepsId = false);
  /// The next order to start a run of \p aTask gets no answer. It is carried
  /// out later, \p aDelay after the next lifetime has begun.
  void LoseNextStart(std::string aTask, Millis aDelay);
  bool HasLostStart() const;
  /// Number of orders to start a run that have arrived, and that got no answer.
  unsigned Orders() const;
  unsigned LostOrders() const;
  bool IsUp() const { return server_ != nullptr; }
  std::string Id() const;
  const std::string& Name() const { return options_.name_; }

private:
  struct Poll
  {
    HttpReply reply_;
    MonoTime until_;
  };

  void Handle(const HttpRequest& aRequest, const HttpReply& aReply);
  HttpResponse Answer(int aStatus, const std::string& aReason = "") const;
  HttpResponse StartRun(const Json& aBody);
  void StopRun(const Json& aBody);
  void Tick();
  void CarryOutLate(MonoTime aNow);
  void EndRun(size_t aRun, const std::string& aHow, MonoTime aNow);
  void UpdateGang(size_t aRun, MonoTime aNow);
  void ExtendLease(const Json& aBody, MonoTime aNow);
  Json Lists(MonoTime aNow) const;
  void AnswerPolls(MonoTime aNow);
  void EndAllRuns();
  void Beat();
  int64_t ClockMs(MonoTime aNow) const;
  int64_t CpuInUse() const;

  ExecutorOptions options_;
  Runs& runs_;
  int lifetime_ = 0;
  int idNumber_ = 0;
  int64_t born_ = 0;
  MonoTime start_;
  MonoTime lease_;
  /// End of the last lease that lapsed.
  MonoTime lapsed_;
  int64_t fence_ = 0;
  int64_t sequence_ = 0;
  /// Indices in runs_ of this lifetime's runs.
  std::vector<size_t> mine_;
  std::map<size_t, MonoTime> stops_;
  /// Ends of this lifetime, in order: indices in runs_.
  std::vector<size_t> ends_;
  size_t acknowledged_ = 0;
  /// Highest run that was stopped or has ended, by task.
  std::map<std::string, int64_t> used_;
  std::vector<Poll> polls_;
  /// Task of the order that is lost next; empty if none.
  std::string loseNext_;
  std::optional<Json> lostStart_;
  std::vector<HttpReply> withheld_;
  Millis lateDelay_{ 0 };
  unsigned orders_ = 0;
  unsigned lostOrders_ = 0;
  std::optional<MonoTime> carryOutAt_;
  std::atomic<bool> dark_ = false;
  std::atomic<bool> ending_ = false;
  std::unique_ptr<cornelfront::HttpServer> server_;
  std::mutex lifeMutex_;
  std::thread ticker_;
  std::thread beater_;
};

} // namespace review
