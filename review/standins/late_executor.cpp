/// \file
/// Stand-in for an executor whose calls may get no answer and be carried out
/// later, and which may crash and start again under its id. It has the calls
/// and the listing GET /control/runs of the project's executor stand-in.
///
/// POST /control takes the fields
/// - "lose_start": the next call to start a run gets no answer and is carried
///   out later;
/// - "fail_running": what runs ends as failed;
/// - "crash": the executor is dark for "down_ms", then starts again under its
///   id. The calls that are still to be carried out arrive "late_ms" after that
///   start, the first heartbeat leaves "ping_ms" after it.

#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace cornelfront::review {
namespace {

using Json = nlohmann::json;

constexpr Millis kTick{ 2 };
constexpr Millis kHeartbeatInterval{ 500 };
constexpr Millis kLongestLease{ 1000 };

struct Run
{
  std::string task_;
  int64_t run_ = 0;
  MonoTime begun_;
  Millis length_{ 0 };
  MonoTime ended_;
  MonoTime acknowledged_;
  std::string how_;
};

struct PendingPoll
{
  HttpReply reply_;
  MonoTime until_;
};

int64_t
WallMs(MonoTime aTime)
{
  const auto wall = WallClock::now() + (aTime - MonoClock::now());
  return std::chrono::duration_cast<Millis>(wall.time_since_epoch()).count();
}

class Executor
{
public:
  Executor(std::string aId, int aCpu)
    : id_(std::move(aId))
    , cpu_(aCpu)
  {
  }

  void Handle(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    EndDue(now);
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (aRequest.path_ == "/control/runs") {
      aReply.Send({ .body_ = Listing().dump() });
    } else if (aRequest.path_ == "/control") {
      Control(body, now);
      aReply.Send({ .body_ = "{}" });
    } else if (downUntil_) {
      withheld_.push_back(aReply);
    } else if (aRequest.path_ == "/run-start" && loseStart_) {
      loseStart_ = false;
      late_.push_back(body);
      withheld_.push_back(aReply);
    } else if (aRequest.Header("expected-instance", id_) != id_) {
      aReply.Send(Answer(421, now));
    } else if (IsFenced(body)) {
      aReply.Send(Answer(409, now, "fence"));
    } else if (aRequest.path_ == "/run-start") {
      aReply.Send(Start(body, now));
    } else if (aRequest.path_ == "/run-stop") {
      Stop(body, now);
      aReply.Send(Answer(200, now));
    } else if (aRequest.path_ == "/hold") {
      Hold(body, now);
      polls_.push_back({ aReply, now + Millis(body.value("waitMs", 0)) });
      AnswerPolls(now);
    } else {
      aReply.Send({ .status_ = 404 });
    }
  }

  void Tick()
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    if (downUntil_ && now >= *downUntil_) {
      Restart(now);
    }
    if (!downUntil_ && carriesOutLate_ && now >= start_ + lateDelay_) {
      for (const Json& order : std::exchange(late_, {})) {
        if (!IsFenced(order)) {
          Start(order, now);
        }
      }
    }
    EndDue(now);
    AnswerPolls(now);
  }

  /// Returns the body of a heartbeat that is due, and sets the next one.
  std::optional<std::string> TakeHeartbeat()
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    if (downUntil_ || now < nextHeartbeat_) {
      return std::nullopt;
    }
    nextHeartbeat_ = now + kHeartbeatInterval;
    const Json body{ { "service", "desk" },
                     { "address", "127.0.0.1:0" },
                     { "zone", "z0" },
                     { "version", "v1" },
                     { "slots", 8 },
                     { "state", "ready" },
                     { "coldLeftMs", 0 },
                     { "capacity",
                       { { "cpu", cpu_ }, { "memMb", 100000 }, { "gpu", 0 } } },
                     { "labels", { "a", "r1-1" } },
                     { "clockMs", ClockMs(now) },
                     { "born", born_ },
                     { "seq", ++sequence_ } };
    return body.dump();
  }

private:
  int64_t ClockMs(MonoTime aNow) const
  {
    return std::chrono::duration_cast<Millis>(aNow - start_).count();
  }

  bool IsFenced(const Json& aBody)
  {
    const int64_t fence = aBody.value("fence", int64_t{ 0 });
    const bool fenced = fence < fence_;
    fence_ = std::max(fence_, fence);
    return fenced;
  }

  HttpResponse Answer(int aStatus,
                      MonoTime aNow,
                      const std::string& aReason = "") const
  {
    Json body{ { "clockMs", ClockMs(aNow) }, { "born", born_ } };
    if (!aReason.empty()) {
      body["reason"] = aReason;
    }
    return { .status_ = aStatus, .body_ = body.dump() };
  }

  void Control(const Json& aBody, MonoTime aNow)
  {
    loseStart_ = aBody.value("lose_start", loseStart_);
    if (aBody.value("fail_running", false)) {
      for (Run& run : runs_) {
        if (run.how_.empty()) {
          End(run, "failed", aNow);
        }
      }
    }
    if (aBody.value("crash", false)) {
      for (Run& run : runs_) {
        if (run.how_.empty()) {
          run.how_ = "crashed";
          run.ended_ = aNow;
        }
      }
      downUntil_ = aNow + Millis(aBody.at("down_ms").get<int64_t>());
      lateDelay_ = Millis(aBody.at("late_ms").get<int64_t>());
      pingDelay_ = Millis(aBody.at("ping_ms").get<int64_t>());
    }
  }

  /// A new lifetime under the same id, which knows nothing of before.
  void Restart(MonoTime aNow)
  {
    downUntil_.reset();
    earlier_.insert(earlier_.end(), runs_.begin(), runs_.end());
    runs_.clear();
    ends_.clear();
    acknowledged_ = 0;
    lease_ = {};
    fence_ = 0;
    sequence_ = 0;
    start_ = aNow;
    born_ = WallMs(aNow);
    nextHeartbeat_ = aNow + pingDelay_;
    carriesOutLate_ = true;
  }

  void ExtendLease(const Json& aBody, MonoTime aNow)
  {
    if (aBody.contains("deadlineMs")) {
      const MonoTime asked =
        start_ + Millis(aBody["deadlineMs"].get<int64_t>());
      lease_ = std::max(lease_, std::min(asked, aNow + kLongestLease));
    }
  }

  HttpResponse Start(const Json& aBody, MonoTime aNow)
  {
    const std::string task = aBody.value("task", "");
    const int64_t run = aBody.value("run", 0);
    if (aBody.value("deadlineMs", int64_t{ 0 }) < ClockMs(aNow)) {
      return Answer(409, aNow, "late");
    }
    for (const Run& known : runs_) {
      if (known.task_ == task && known.how_.empty() && known.run_ == run) {
        return Answer(200, aNow);
      }
      if (known.task_ == task && run <= known.run_) {
        return Answer(409, aNow, "old");
      }
    }
    ExtendLease(aBody, aNow);
    const std::string spec = aBody.value("spec", "");
    runs_.push_back({ .task_ = task,
                      .run_ = run,
                      .begun_ = aNow,
                      .length_ = Millis(std::atoi(spec.c_str() + 3)) });
    return Answer(200, aNow);
  }

  void Stop(const Json& aBody, MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (run.how_.empty() && run.task_ == aBody.value("task", "") &&
          run.run_ == aBody.value("run", 0)) {
        End(run, "stopped", aNow);
      }
    }
  }

  void Hold(const Json& aBody, MonoTime aNow)
  {
    const size_t upTo = aBody.value("ackedUpto", 0UL);
    for (size_t i = acknowledged_; i < std::min(upTo, ends_.size()); ++i) {
      runs_[ends_[i]].acknowledged_ = aNow;
    }
    acknowledged_ = std::max(acknowledged_, std::min(upTo, ends_.size()));
    ExtendLease(aBody, aNow);
  }

  void End(Run& aRun, const std::string& aHow, MonoTime aNow)
  {
    aRun.how_ = aHow;
    aRun.ended_ = aNow;
    ends_.push_back(static_cast<size_t>(&aRun - runs_.data()));
  }

  void EndDue(MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (!run.how_.empty() || downUntil_) {
        continue;
      }
      if (aNow >= lease_) {
        End(run, "lapsed", aNow);
      } else if (aNow >= run.begun_ + run.length_) {
        End(run, "done", aNow);
      }
    }
  }

  void AnswerPolls(MonoTime aNow)
  {
    if (downUntil_) {
      return;
    }
    const bool hasEnds = ends_.size() > acknowledged_;
    std::erase_if(polls_, [&](const PendingPoll& aPoll) {
      if (!hasEnds && aNow < aPoll.until_) {
        return false;
      }
      aPoll.reply_.Send({ .body_ = Report(aNow).dump() });
      return true;
    });
  }

  Json Report(MonoTime aNow) const
  {
    Json running = Json::array();
    for (const Run& run : runs_) {
      if (run.how_.empty()) {
        running.push_back({ run.task_,
                            run.run_,
                            "",
                            100 * (aNow - run.begun_) / run.length_,
                            1000 });
      }
    }
    Json ended = Json::array();
    for (size_t i = acknowledged_; i < ends_.size(); ++i) {
      const Run& run = runs_[ends_[i]];
      ended.push_back({ i + 1, run.task_, run.run_, run.how_, "" });
    }
    return { { "clockMs", ClockMs(aNow) },
             { "born", born_ },
             { "running", running },
             { "ended", ended } };
  }

  Json Listing() const
  {
    Json list = Json::array();
    const auto add = [&list](const Run& aRun) {
      const auto wall = [](MonoTime aTime) {
        return aTime == MonoTime() ? 0 : WallMs(aTime);
      };
      list.push_back({ { "task", aRun.task_ },
                       { "run", aRun.run_ },
                       { "begun", wall(aRun.begun_) },
                       { "ended", wall(aRun.ended_) },
                       { "acknowledged", wall(aRun.acknowledged_) },
                       { "how", aRun.how_ } });
    };
    std::for_each(earlier_.begin(), earlier_.end(), add);
    std::for_each(runs_.begin(), runs_.end(), add);
    return list;
  }

  const std::string id_;
  const int cpu_;
  std::mutex mutex_;
  MonoTime start_ = MonoClock::now();
  int64_t born_ = WallMs(start_);
  MonoTime nextHeartbeat_ = start_;
  Millis lateDelay_{ 0 };
  Millis pingDelay_{ 0 };
  std::optional<MonoTime> downUntil_;
  bool loseStart_ = false;
  /// The executor has started again since the calls were lost.
  bool carriesOutLate_ = false;
  /// Calls without an answer that are still to be carried out.
  std::vector<Json> late_;
  std::vector<HttpReply> withheld_;
  std::vector<Run> earlier_;
  std::vector<Run> runs_;
  /// Indices in runs_ of the ended runs, in the order of their ends.
  std::vector<size_t> ends_;
  size_t acknowledged_ = 0;
  std::vector<PendingPoll> polls_;
  MonoTime lease_;
  int64_t fence_ = 0;
  int64_t sequence_ = 0;
};

int
RunStandin(int argc, char** argv)
{
  CLI::App app("Stand-in for an executor with late orders and restarts");
  uint16_t port = 0;
  std::string id;
  std::string heartbeats;
  int cpu = 4000;
  app.add_option("--port", port, "Port on loopback");
  app.add_option("--id", id, "Id of the executor")->required();
  app.add_option("--heartbeats", heartbeats, "Sidecar, <ip>:<port>")
    ->required();
  app.add_option("--cpu", cpu, "Processors, in thousandths of a core");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Executor executor(id, cpu);
  HttpServer server({ .port_ = port },
                    [&](const HttpRequest& aRequest, const HttpReply& aReply) {
                      executor.Handle(aRequest, aReply);
                    });
  std::atomic<bool> stopping = false;
  std::thread ticker([&] {
    while (!stopping) {
      std::this_thread::sleep_for(kTick);
      executor.Tick();
    }
  });
  std::thread beater([&] {
    HttpClient client;
    while (!stopping) {
      if (const auto body = executor.TakeHeartbeat()) {
        client.Perform(
          { .method_ = "POST",
            .url_ = "http://" + heartbeats + "/instances/" + id + "/heartbeat",
            .body_ = *body,
            .timeout_ = Millis(1000) });
      }
      std::this_thread::sleep_for(kTick);
    }
  });
  std::cout << "listening http " << server.Port() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  stopping = true;
  ticker.join();
  beater.join();
  return 0;
}

} // namespace
} // namespace cornelfront::review

int
main(int argc, char** argv)
{
  return cornelfront::review::RunStandin(argc, argv);
}
