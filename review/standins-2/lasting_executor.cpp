/// \file
/// Stand-in for an executor whose tasks last: a task is at work, at 100
/// percent, 0.2 s after its start, and runs until it is stopped or its lease
/// lapses. `GET /control/runs` lists all runs.

#include "cornelfront/clock.h"
#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr Millis kTick{ 5 };
constexpr Millis kHeartbeatInterval{ 500 };
constexpr Millis kHeartbeatTimeout{ 900 };
constexpr Millis kLongestLease{ 1000 };
constexpr Millis kStartup{ 200 };
constexpr int kAtWork = 100;

struct Run
{
  std::string task_;
  int64_t run_ = 0;
  MonoTime started_;
  MonoTime ended_;
  /// Empty while it runs.
  std::string outcome_;
  /// When its end was acknowledged; the default value before.
  MonoTime acknowledged_;
};

struct Poll
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
  Executor(std::string aId, std::string aService, int64_t aCpu)
    : id_(std::move(aId))
    , service_(std::move(aService))
    , cpu_(aCpu)
  {
  }

  void Handle(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    EndLapsed(now);
    if (aRequest.path_ == "/control/runs") {
      aReply.Send({ .body_ = Runs().dump() });
      return;
    }
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      aReply.Send({ .status_ = 400 });
      return;
    }
    if (aRequest.Header("expected-instance", id_) != id_) {
      aReply.Send(Answer(421, now));
      return;
    }
    const int64_t fence = body.value("fence", int64_t{ 0 });
    if (fence < fence_) {
      aReply.Send(Answer(409, now, "fence"));
      return;
    }
    fence_ = fence;
    if (aRequest.path_ == "/run-start") {
      aReply.Send(Start(body, now));
    } else if (aRequest.path_ == "/run-stop") {
      Stop(body, now);
      aReply.Send(Answer(200, now));
      AnswerPolls(now);
    } else if (aRequest.path_ == "/hold") {
      Hold(body, aReply, now);
    } else {
      aReply.Send({ .status_ = 404 });
    }
  }

  void Tick()
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    EndLapsed(now);
    AnswerPolls(now);
  }

  std::string Heartbeat()
  {
    std::lock_guard lock(mutex_);
    const Json beat{ { "service", service_ },
                     { "state", "ready" },
                     { "slots", 8 },
                     { "version", "v1" },
                     { "capacity",
                       { { "cpu", cpu_ }, { "memMb", 65536 }, { "gpu", 0 } } },
                     { "labels", { "a", "r1-1" } },
                     { "clockMs", ClockMs(MonoClock::now()) },
                     { "born", born_ },
                     { "seq", ++sequence_ } };
    return beat.dump();
  }

private:
  int64_t ClockMs(MonoTime aNow) const
  {
    return std::chrono::duration_cast<Millis>(aNow - start_).count();
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

  void ExtendLease(const Json& aBody, MonoTime aNow)
  {
    const MonoTime asked =
      start_ + Millis(aBody.value("deadlineMs", int64_t{ 0 }));
    lease_ = std::max(lease_, std::min(asked, aNow + kLongestLease));
  }

  HttpResponse Start(const Json& aBody, MonoTime aNow)
  {
    const std::string task = aBody.value("task", "");
    const int64_t number = aBody.value("run", int64_t{ 0 });
    if (aBody.value("deadlineMs", int64_t{ 0 }) < ClockMs(aNow)) {
      return Answer(409, aNow, "late");
    }
    for (const Run& run : runs_) {
      if (run.task_ == task && run.run_ == number && run.outcome_.empty()) {
        return Answer(200, aNow);
      }
      if (run.task_ == task && number <= run.run_) {
        return Answer(409, aNow, "old");
      }
    }
    ExtendLease(aBody, aNow);
    runs_.push_back({ .task_ = task, .run_ = number, .started_ = aNow });
    return Answer(200, aNow);
  }

  void Stop(const Json& aBody, MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (run.outcome_.empty() && run.task_ == aBody.value("task", "") &&
          run.run_ == aBody.value("run", int64_t{ 0 })) {
        End(run, "stopped", aNow);
      }
    }
  }

  void Hold(const Json& aBody, const HttpReply& aReply, MonoTime aNow)
  {
    const auto acknowledged = aBody.value("ackedUpto", size_t{ 0 });
    for (size_t i = acknowledged_; i < std::min(acknowledged, ends_.size());
         ++i) {
      runs_[ends_[i]].acknowledged_ = aNow;
    }
    acknowledged_ = std::max(acknowledged_, acknowledged);
    if (aBody.contains("deadlineMs")) {
      ExtendLease(aBody, aNow);
    }
    polls_.push_back({ aReply, aNow + Millis(aBody.value("waitMs", 0)) });
    AnswerPolls(aNow);
  }

  void End(Run& aRun, const std::string& aOutcome, MonoTime aNow)
  {
    aRun.outcome_ = aOutcome;
    aRun.ended_ = aNow;
    ends_.push_back(static_cast<size_t>(&aRun - runs_.data()));
  }

  void EndLapsed(MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (run.outcome_.empty() && aNow >= lease_) {
        End(run, "lapsed", std::max(lease_, run.started_));
      }
    }
  }

  void AnswerPolls(MonoTime aNow)
  {
    const bool hasEnds = ends_.size() > acknowledged_;
    std::erase_if(polls_, [&](const Poll& aPoll) {
      if (!hasEnds && aNow < aPoll.until_) {
        return false;
      }
      aPoll.reply_.Send({ .body_ = PollBody(aNow).dump() });
      return true;
    });
  }

  Json PollBody(MonoTime aNow) const
  {
    Json running = Json::array();
    for (const Run& run : runs_) {
      if (run.outcome_.empty()) {
        const int percent = aNow - run.started_ >= kStartup ? kAtWork : 0;
        running.push_back({ run.task_, run.run_, "", percent, 0 });
      }
    }
    Json ended = Json::array();
    for (size_t i = acknowledged_; i < ends_.size(); ++i) {
      const Run& run = runs_[ends_[i]];
      ended.push_back({ i + 1, run.task_, run.run_, run.outcome_, "" });
    }
    return { { "clockMs", ClockMs(aNow) },
             { "born", born_ },
             { "running", running },
             { "ended", ended } };
  }

  Json Runs() const
  {
    Json list = Json::array();
    for (const Run& run : runs_) {
      const bool ended = !run.outcome_.empty();
      list.push_back(
        { { "task", run.task_ },
          { "run", run.run_ },
          { "begun", WallMs(run.started_) },
          { "ended", ended ? WallMs(run.ended_) : 0 },
          { "acknowledged",
            run.acknowledged_ == MonoTime() ? 0 : WallMs(run.acknowledged_) },
          { "how", run.outcome_ } });
    }
    return list;
  }

  const std::string id_;
  const std::string service_;
  const int64_t cpu_;
  const MonoTime start_ = MonoClock::now();
  const int64_t born_ = WallMs(start_);
  std::mutex mutex_;
  std::vector<Run> runs_;
  /// Indices in runs_ of the ended runs, in the order of their ends.
  std::vector<size_t> ends_;
  size_t acknowledged_ = 0;
  std::vector<Poll> polls_;
  MonoTime lease_;
  int64_t fence_ = 0;
  int64_t sequence_ = 0;
};

int
RunStandin(int argc, char** argv)
{
  CLI::App app("Stand-in for an executor whose tasks last");
  uint16_t port = 0;
  std::string id;
  std::string service;
  std::string heartbeats;
  int64_t cpu = 0;
  app.add_option("--port", port, "Port on loopback; 0 picks a free one");
  app.add_option("--id", id, "Id of this executor")->required();
  app.add_option("--service", service, "Its service")->required();
  app.add_option("--heartbeats", heartbeats, "Address of the sidecar")
    ->required();
  app.add_option("--cpu", cpu, "Thousandths of a core")->required();
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Executor executor(id, service, cpu);
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
      client.Perform(
        { .method_ = "POST",
          .url_ = "http://" + heartbeats + "/instances/" + id + "/heartbeat",
          .body_ = executor.Heartbeat(),
          .timeout_ = kHeartbeatTimeout });
      std::this_thread::sleep_for(kHeartbeatInterval);
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
} // namespace cornelfront

int
main(int argc, char** argv)
{
  return cornelfront::RunStandin(argc, argv);
}
