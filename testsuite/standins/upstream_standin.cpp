/// \file
/// Stand-in for the upstream of a worker: simulates tasks on a fixed number of
/// slots by waiting, announces itself to its sidecar under a lease, and records
/// every start, so that tests can check which tasks were actually run.

#include "cornelfront/codec.h"
#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr Millis kUsageLag{ 500 };
constexpr Millis kAnnounceBackoff{ 200 };
constexpr Millis kLateDelay{ 500 };

struct Options
{
  std::string sidecar_;
  std::string service_ = "event_desk";
  unsigned slots_ = 8;
  uint16_t port_ = 0;
  int64_t runMs_ = 50;
  int64_t leaseMs_ = 3000;
  uint64_t memoryMb_ = 16384;
  double processors_ = 32;
  std::string recordsFile_;
};

/// Faults that tests set with POST /control.
struct Faults
{
  double slowFactor_ = 1;
  bool failAll_ = false;
  int64_t answerDelayMs_ = 0;
  bool dropAnswer_ = false;
  bool refuseAll_ = false;
  /// Answers are sent only after the run limit has passed.
  bool late_ = false;
  bool wrongBody_ = false;
};

/// State of a task.
enum class Phase
{
  Running,
  /// The task has ended and freed its slot; the answer is delayed.
  Answering,
};

struct Task
{
  std::string id_;
  HttpReply reply_;
  HttpResponse response_;
  MonoTime finish_;
  MonoTime answer_;
  uint64_t memoryMb_ = 0;
  unsigned checkpoints_ = 0;
  Phase phase_ = Phase::Running;
};

/// Behaviour that the body of a task requests.
struct TaskBehavior
{
  int64_t runMs_ = 0;
  bool fail_ = false;
};

int64_t
IntQuery(const HttpRequest& aRequest,
         const std::string& aName,
         int64_t aDefault)
{
  const std::string text = aRequest.Query(aName);
  return text.empty() ? aDefault : std::stoll(text);
}

TaskBehavior
ParseWork(const std::string& aBody, int64_t aDefaultRunMs)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return { .runMs_ = aDefaultRunMs };
  }
  return { .runMs_ = json.value("run_ms", aDefaultRunMs),
           .fail_ = json.value("fail", false) };
}

HttpResponse
JsonResponse(int aStatus, const Json& aBody)
{
  return { .status_ = aStatus, .body_ = aBody.dump() };
}

HttpResponse
ErrorResponse(int aStatus, const std::string& aError)
{
  return JsonResponse(aStatus, { { "error", aError } });
}

/// The slots, the running tasks and the start records. Thread-safe.
class Upstream
{
public:
  explicit Upstream(Options aOptions)
    : options_(std::move(aOptions))
    , timer_([this](const std::stop_token& aStop) { RunTimer(aStop); })
  {
    if (!options_.recordsFile_.empty()) {
      recordsFile_.open(options_.recordsFile_, std::ios::app);
    }
  }

  void Handle(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    try {
      Route(aRequest, aReply);
    } catch (const std::exception& error) {
      aReply.Send(ErrorResponse(400, error.what()));
    }
  }

  /// Refuses all further starts.
  void Leave()
  {
    const std::scoped_lock lock(mutex_);
    leaving_ = true;
  }

  /// Waits until every task has been answered.
  void WaitIdle()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return tasks_.empty(); });
  }

private:
  void Route(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    const std::string& path = aRequest.path_;
    const std::string tasks = "/tasks/";
    if (path.starts_with(tasks)) {
      RouteTask(aRequest, path.substr(tasks.size()), aReply);
    } else if (path == "/records") {
      const std::scoped_lock lock(mutex_);
      aReply.Send(JsonResponse(200, records_));
    } else if (path == "/usage") {
      const std::scoped_lock lock(mutex_);
      aReply.Send(JsonResponse(200, usage_));
    } else if (path == "/control" && aRequest.method_ == "POST") {
      Control(Json::parse(aRequest.body_));
      aReply.Send(JsonResponse(200, Json::object()));
    } else if (path == "/throttle" && aRequest.method_ == "POST") {
      Throttle(Json::parse(aRequest.body_).at("factor").get<double>());
      aReply.Send(JsonResponse(200, Json::object()));
    } else {
      aReply.Send(ErrorResponse(404, "no such path: " + path));
    }
  }

  void RouteTask(const HttpRequest& aRequest,
                 const std::string& aRest,
                 const HttpReply& aReply)
  {
    const std::string checkpoint = "/checkpoint";
    if (aRest.ends_with(checkpoint)) {
      aReply.Send(
        Checkpoint(aRest.substr(0, aRest.size() - checkpoint.size())));
    } else if (aRequest.method_ == "DELETE") {
      aReply.Send(Stop(aRest));
    } else if (aRequest.method_ == "POST") {
      Start(aRequest, aRest, aReply);
    } else {
      aReply.Send(ErrorResponse(405, "use POST or DELETE"));
    }
  }

  void Start(const HttpRequest& aRequest,
             const std::string& aId,
             const HttpReply& aReply)
  {
    const TaskBehavior work = ParseWork(aRequest.body_, options_.runMs_);
    const std::scoped_lock lock(mutex_);
    const std::string refusal = ExplainRefusal(aRequest);
    if (!refusal.empty()) {
      ++refused_;
      aReply.Send(ErrorResponse(429, refusal));
      return;
    }
    RecordStart(aRequest, aId);
    Task task = MakeTask(aRequest, work, aReply);
    task.id_ = aId;
    tasks_.push_back(std::move(task));
    ++running_;
    WakeTimer();
  }

  /// Returns why the task may not start; empty if it may. The mutex must be
  /// held.
  std::string ExplainRefusal(const HttpRequest& aRequest) const
  {
    if (leaving_) {
      return "leaving";
    }
    if (faults_.refuseAll_) {
      return "refusing all";
    }
    if (running_ >= options_.slots_) {
      return "all slots are busy";
    }
    const Millis startBy(IntQuery(aRequest, "start_by_ms", 0));
    if (startBy > Millis(0) && MonoClock::now().time_since_epoch() > startBy) {
      return "start_by_ms has passed";
    }
    const auto memory = uint64_t(IntQuery(aRequest, "memory_mb", 0));
    if (memory > options_.memoryMb_) {
      return "memory_mb exceeds " + std::to_string(options_.memoryMb_);
    }
    return "";
  }

  /// Records the start of a task. The mutex must be held.
  void RecordStart(const HttpRequest& aRequest, const std::string& aId)
  {
    const auto unixTime = WallClock::now().time_since_epoch();
    Json record{ { "task", aId },
                 { "submission", aRequest.Query("submission") },
                 { "index", IntQuery(aRequest, "index", 0) },
                 { "call", aRequest.Query("call") },
                 { "started_unix_ms",
                   std::chrono::duration_cast<Millis>(unixTime).count() },
                 { "body_digest", Sha256Hex(aRequest.body_) } };
    // Flushed immediately, so that the start is recorded even if this process
    // is killed right after it.
    if (recordsFile_.is_open()) {
      recordsFile_ << record.dump() + "\n" << std::flush;
    }
    records_.push_back(std::move(record));
  }

  /// Computes the response of a task and the times of its end and its answer.
  /// The mutex must be held.
  Task MakeTask(const HttpRequest& aRequest,
                const TaskBehavior& aWork,
                const HttpReply& aReply) const
  {
    const auto now = MonoClock::now();
    const Millis limit(IntQuery(aRequest, "run_limit_ms", 3600000));
    const double factor = faults_.slowFactor_ / throttle_;
    const Millis wanted(int64_t(double(aWork.runMs_) * factor));
    HttpResponse response = Result(aRequest, aWork);
    if (wanted > limit) {
      response = ErrorResponse(500, "run limit exceeded");
    }
    Task task{ .reply_ = aReply, .response_ = std::move(response) };
    task.finish_ = now + std::min(wanted, limit);
    task.answer_ = task.finish_ + Millis(faults_.answerDelayMs_);
    if (faults_.late_) {
      task.answer_ = now + limit + kLateDelay;
    }
    task.memoryMb_ = uint64_t(IntQuery(aRequest, "memory_mb", 0));
    return task;
  }

  HttpResponse Result(const HttpRequest& aRequest,
                      const TaskBehavior& aWork) const
  {
    if (aWork.fail_ || faults_.failAll_) {
      return ErrorResponse(500, "the task failed");
    }
    const std::string suffix = faults_.wrongBody_ ? "another task's body" : "";
    return { .contentType_ = "text/plain",
             .body_ = Sha256Hex(aRequest.body_ + suffix) };
  }

  HttpResponse Checkpoint(const std::string& aId)
  {
    const std::scoped_lock lock(mutex_);
    const auto task = std::ranges::find(tasks_, aId, &Task::id_);
    if (task == tasks_.end()) {
      return ErrorResponse(404, "not running: " + aId);
    }
    return JsonResponse(200, { { "checkpoints", ++task->checkpoints_ } });
  }

  HttpResponse Stop(const std::string& aId)
  {
    const std::scoped_lock lock(mutex_);
    const auto task = std::ranges::find(tasks_, aId, &Task::id_);
    if (task == tasks_.end() || task->phase_ != Phase::Running) {
      return ErrorResponse(404, "not running: " + aId);
    }
    task->response_ = ErrorResponse(409, "stopped");
    task->finish_ = MonoClock::now();
    task->answer_ = task->finish_;
    WakeTimer();
    return JsonResponse(200, Json::object());
  }

  void Control(const Json& aJson)
  {
    const std::scoped_lock lock(mutex_);
    faults_.slowFactor_ = aJson.value("slow_factor", faults_.slowFactor_);
    faults_.failAll_ = aJson.value("fail_all", faults_.failAll_);
    faults_.answerDelayMs_ =
      aJson.value("answer_delay_ms", faults_.answerDelayMs_);
    faults_.dropAnswer_ = aJson.value("drop_answer", faults_.dropAnswer_);
    faults_.refuseAll_ = aJson.value("refuse_all", faults_.refuseAll_);
    faults_.late_ = aJson.value("late", faults_.late_);
    faults_.wrongBody_ = aJson.value("wrong_body", faults_.wrongBody_);
  }

  void Throttle(double aFactor)
  {
    if (aFactor <= 0 || aFactor > 1) {
      throw std::invalid_argument("factor must be above 0 and at most 1");
    }
    const std::scoped_lock lock(mutex_);
    throttle_ = aFactor;
  }

  /// Makes the timer thread check the tasks now. The mutex must be held.
  void WakeTimer()
  {
    planChanged_ = true;
    changed_.notify_all();
  }

  void RunTimer(const std::stop_token& aStop)
  {
    std::unique_lock lock(mutex_);
    while (!aStop.stop_requested()) {
      const auto now = MonoClock::now();
      RefreshUsage(now);
      planChanged_ = false;
      changed_.wait_until(
        lock, aStop, Advance(now), [this] { return planChanged_; });
    }
  }

  /// Ends and answers the tasks that are due, and returns when to check again.
  /// The mutex must be held.
  MonoTime Advance(MonoTime aNow)
  {
    MonoTime next = aNow + kUsageLag;
    for (Task& task : tasks_) {
      if (task.phase_ == Phase::Running && task.finish_ <= aNow) {
        task.phase_ = Phase::Answering;
        --running_;
      }
      if (task.phase_ == Phase::Answering && task.answer_ <= aNow) {
        Answer(task);
      }
      const bool running = task.phase_ == Phase::Running;
      next = std::min(next, running ? task.finish_ : task.answer_);
    }
    if (std::erase_if(tasks_, [aNow](const Task& aTask) {
          return aTask.phase_ == Phase::Answering && aTask.answer_ <= aNow;
        }) > 0) {
      changed_.notify_all();
    }
    return next;
  }

  void Answer(const Task& aTask)
  {
    if (faults_.dropAnswer_) {
      // Kept, because destroying a reply that was not sent answers with 500.
      droppedReplies_.push_back(aTask.reply_);
    } else {
      aTask.reply_.Send(aTask.response_);
    }
  }

  void RefreshUsage(MonoTime aNow)
  {
    if (aNow < usageTime_ + kUsageLag) {
      return;
    }
    usageTime_ = aNow;
    uint64_t memory = 0;
    for (const Task& task : tasks_) {
      memory += task.memoryMb_;
    }
    usage_ = {
      { "running", running_ },    { "slots", options_.slots_ },
      { "processors", running_ }, { "processors_limit", options_.processors_ },
      { "memory_mb", memory },    { "memory_limit_mb", options_.memoryMb_ },
      { "refused", refused_ }
    };
  }

  Options options_;
  std::mutex mutex_;
  std::condition_variable_any changed_;
  Faults faults_;
  double throttle_ = 1;
  bool leaving_ = false;
  unsigned running_ = 0;
  uint64_t refused_ = 0;
  std::vector<Task> tasks_;
  /// Set to make the timer thread check the tasks before its wait ends.
  bool planChanged_ = false;
  std::vector<HttpReply> droppedReplies_;
  Json records_ = Json::array();
  std::ofstream recordsFile_;
  MonoTime usageTime_;
  Json usage_ = Json::object();
  // Last member, so that its thread starts after all others are constructed.
  std::jthread timer_;
};

/// Renews the announcement to the sidecar, and with it the lease, until
/// destroyed.
class Announcer
{
public:
  Announcer(const Options& aOptions, uint16_t aPort)
    : options_(aOptions)
    , port_(aPort)
    , thread_([this](const std::stop_token& aStop) { Run(aStop); })
  {
  }

  /// Stops the renewals and notifies the sidecar that the upstream leaves.
  void Leave()
  {
    thread_.request_stop();
    thread_.join();
    Send("DELETE", "");
  }

private:
  void Run(const std::stop_token& aStop)
  {
    const Json body{ { "service", options_.service_ },
                     { "port", port_ },
                     { "slots", options_.slots_ },
                     { "lease_ms", options_.leaseMs_ } };
    std::mutex mutex;
    std::unique_lock lock(mutex);
    std::condition_variable_any wake;
    while (!aStop.stop_requested()) {
      const bool accepted = Send("POST", body.dump());
      const Millis pause =
        accepted ? Millis(options_.leaseMs_ / 3) : kAnnounceBackoff;
      wake.wait_for(lock, aStop, pause, [] { return false; });
    }
  }

  bool Send(const std::string& aMethod, const std::string& aBody)
  {
    if (options_.sidecar_.empty()) {
      return true;
    }
    return http_
      .Perform({ .method_ = aMethod,
                 .url_ = options_.sidecar_ + "/v1/upstream",
                 .headers_ = { { "Content-Type", "application/json" } },
                 .body_ = aBody,
                 .timeout_ = Millis(1000) })
      .Ok();
  }

  Options options_;
  uint16_t port_;
  HttpClient http_;
  std::jthread thread_;
};

void
Serve(const Options& aOptions, const sigset_t& aSignals)
{
  Upstream upstream(aOptions);
  HttpServer server(
    { .port_ = aOptions.port_ },
    [&upstream](const HttpRequest& aRequest, const HttpReply& aReply) {
      upstream.Handle(aRequest, aReply);
    });
  std::cout << "listening " << server.Port() << std::endl;
  Announcer announcer(aOptions, server.Port());
  int signal = 0;
  sigwait(&aSignals, &signal);
  announcer.Leave();
  upstream.Leave();
  upstream.WaitIdle();
}

void
AddOptions(CLI::App& aApp, Options& aOptions)
{
  aApp.add_option("--sidecar", aOptions.sidecar_, "URL of the sidecar");
  aApp.add_option(
    "--service", aOptions.service_, "service whose tasks it runs");
  aApp.add_option(
    "--slots", aOptions.slots_, "number of tasks that can run at once");
  aApp.add_option("--port", aOptions.port_, "port; 0 picks a free one");
  aApp.add_option(
    "--run-ms", aOptions.runMs_, "default run time of a task, ms");
  aApp.add_option("--lease-ms", aOptions.leaseMs_, "lease length, ms");
  aApp.add_option("--memory-mb", aOptions.memoryMb_, "memory limit, MiB");
  aApp.add_option("--records-file",
                  aOptions.recordsFile_,
                  "file to which each start is appended");
}

} // namespace
} // namespace cornelfront

int
main(int argc, char** argv)
{
  using namespace cornelfront; // NOLINT(google-build-using-namespace)
  Options options;
  CLI::App app("Stand-in for an upstream");
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before any thread starts, so that only sigwait receives them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Serve(options, signals);
  return 0;
}
