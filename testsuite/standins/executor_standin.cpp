/// \file
/// Stand-in for an executor of the platform: it announces itself by heartbeats
/// and runs tasks under a lease. The payload of a job controls its tasks:
/// "ms=N" runs for N milliseconds, "fail" fails. `GET /control/runs` lists
/// every run of all incarnations with its start, its end, and when the end was
/// acknowledged. `POST /control` sets the faults "unanswered", "draining" and
/// "stalls", ends what runs as failed with "fail_running", leaves the next
/// "lose_starts" orders without an answer, and restarts the executor as a new
/// incarnation with "reborn": by turns under the id that it had and under
/// another one. The lost orders arrive "late_ms" after a restart; with
/// "late_orders", those that came while "unanswered" was set arrive at its end.
/// A `POST /control` of the field "answers" sets the faults of answer_faults.h
/// and nothing else: orders are counted, closed or refused, and stops and polls
/// closed by their percentage; a closed poll is one whose wait has passed.
/// A `POST /control` of the field "leave" begins a departure (departure.h) and
/// does nothing else: the executor deregisters, sends no heartbeat from then
/// on, and comes back as a new incarnation under another id. Runs that its end
/// cuts off are listed as "left".

#include "answer_faults.h"
#include "departure.h"
#include "executor_run.h"

#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace cornelfront {
namespace {

constexpr Millis kTick{ 5 };
constexpr Millis kHeartbeatInterval{ 200 };
constexpr Millis kHeartbeatTimeout{ 500 };
constexpr Millis kLongestLease{ 1000 };
constexpr Millis kDefaultRun{ 50 };
constexpr int kWholePercent = 100;

struct Options
{
  std::string id_ = "u-1";
  std::string service_ = "desk";
  std::string heartbeats_;
  int64_t cpu_ = 4000;
  /// Speed of the executor's clock, in percent of that of the machine.
  int clockPercent_ = 100;
  /// How long a run goes on after its stop.
  Millis stopTime_{ 0 };
};

/// A long-poll request for the state of the runs.
struct PendingPoll
{
  HttpReply reply_;
  MonoTime until_;
  Fate fate_ = Fate::Answered;
};

/// A call to the sidecar.
struct SidecarCall
{
  std::string path_;
  std::string body_;
  Millis timeout_{ 0 };
  /// The call is given up once this is set.
  const std::atomic<bool>* abort_ = nullptr;
};

class Executor
{
public:
  explicit Executor(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  void Handle(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    EndDue(now);
    Depart(now);
    if (aRequest.path_ == "/control/runs") {
      aReply.Send({ .body_ = RunsBody().dump() });
      return;
    }
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (aRequest.path_ == "/control") {
      SetFaults(body, now);
      aReply.Send({ .body_ = "{}" });
    } else if (departure_.IsGone()) {
      aReply.Close();
    } else if (departure_.IsSilent()) {
      withheldReplies_.push_back(aReply);
    } else if (aRequest.path_ == "/run-start" && loseStarts_ > 0) {
      --loseStarts_;
      lostStarts_.push_back(body);
      withheldReplies_.push_back(aReply);
    } else if (unanswered_) {
      if (lateOrders_ && aRequest.path_ == "/run-start") {
        lostStarts_.push_back(body);
      }
      withheldReplies_.push_back(aReply);
    } else {
      Answer(aRequest, body, aReply, now);
    }
  }

  void Tick()
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    EndDue(now);
    Depart(now);
    CarryOutLate(now);
    AnswerPolls(now);
  }

  /// Returns the next call to the sidecar: a heartbeat or the deregistration;
  /// none once it has deregistered.
  std::optional<SidecarCall> NextCall()
  {
    std::lock_guard lock(mutex_);
    const MonoTime now = MonoClock::now();
    EndDue(now);
    Depart(now);
    if (departure_.TakeCall(now)) {
      std::cerr << Id() << " leaves, running " << Running() << std::endl;
      Depart(now);
      return SidecarCall{ .path_ = "/instances/" + Id() + "/deregister",
                          .body_ = Json{ { "born", born_ } }.dump(),
                          .timeout_ = departure_.CallTimeout(),
                          .abort_ = &departure_.Aborted() };
    }
    if (departure_.HasLeft()) {
      return std::nullopt;
    }
    return SidecarCall{ .path_ = "/instances/" + Id() + "/heartbeat",
                        .body_ = HeartbeatBody(now).dump(),
                        .timeout_ = kHeartbeatTimeout };
  }

  /// Takes the result of a call that NextCall() returned.
  void OnAnswer(const HttpResult& aResult)
  {
    std::lock_guard lock(mutex_);
    if (!departure_.HasLeft()) {
      return;
    }
    const MonoTime now = MonoClock::now();
    EndDue(now);
    std::cerr << Id() << " left, status " << aResult.response_.status_ << " "
              << aResult.error_ << " running " << Running() << std::endl;
    if (aResult.Ok()) {
      departure_.OnAck(now);
      Depart(now);
    }
  }

  /// Gives up a deregistration in progress.
  void GiveUpCall()
  {
    std::lock_guard lock(mutex_);
    departure_.Clear();
  }

private:
  void SetFaults(const Json& aBody, MonoTime aNow)
  {
    if (aBody.contains("answers")) {
      answerFaults_.Set(aBody["answers"], aNow);
      return;
    }
    if (aBody.contains("leave")) {
      departure_.Begin(aBody["leave"], aNow);
      return;
    }
    SetUnanswered(aBody.value("unanswered", false),
                  aBody.value("late_orders", false),
                  aNow);
    draining_ = aBody.value("draining", draining_);
    stalls_ = aBody.value("stalls", stalls_);
    loseStarts_ = aBody.value("lose_starts", 0);
    if (aBody.value("fail_running", false)) {
      FailRunning(aNow);
    }
    if (aBody.value("reborn", false)) {
      Restart(aNow, !keepsId_);
      lateFrom_ = aNow + Millis(aBody.value("late_ms", 0));
    }
  }

  void Answer(const HttpRequest& aRequest,
              const Json& aBody,
              const HttpReply& aReply,
              MonoTime aNow)
  {
    const bool isOrder = aRequest.path_ == "/run-start";
    const Fate fate =
      isOrder ? answerFaults_.Next(aNow) : answerFaults_.NextUnrefused(aNow);
    if (fate == Fate::Refused) {
      aReply.Send(WithClock(503, aNow));
    } else if (aRequest.Header("expected-instance", Id()) != Id()) {
      SendOrClose(aReply, fate, WithClock(421, aNow));
    } else if (IsFenced(aBody)) {
      SendOrClose(aReply, fate, WithClock(409, aNow, "fence"));
    } else if (isOrder) {
      SendOrClose(aReply, fate, Start(aBody, aNow));
    } else if (aRequest.path_ == "/run-stop") {
      Stop(aBody, aNow);
      SendOrClose(aReply, fate, WithClock(200, aNow));
    } else if (aRequest.path_ == "/hold") {
      Acknowledge(aBody.value("ackedUpto", 0UL), aNow);
      ExtendLease(aBody, aNow);
      polls_.push_back(
        { aReply, aNow + Millis(aBody.value("waitMs", 0)), fate });
      AnswerPolls(aNow);
    } else {
      aReply.Send({ .status_ = 404 });
    }
  }

  std::string Id() const
  {
    return options_.id_ + "-" + std::to_string(incarnation_);
  }

  int64_t ClockMs(MonoTime aNow) const
  {
    return std::chrono::duration_cast<Millis>(aNow - start_).count() *
           options_.clockPercent_ / kWholePercent;
  }

  /// Returns true if the call has a lower fence than an earlier one.
  bool IsFenced(const Json& aBody)
  {
    const int64_t fence = aBody.value("fence", int64_t{ 0 });
    const bool fenced = fence < fence_;
    fence_ = std::max(fence_, fence);
    return fenced;
  }

  void SetUnanswered(bool aUnanswered, bool aLateOrders, MonoTime aNow)
  {
    if (!aUnanswered && lateOrders_) {
      lateFrom_ = aNow;
    }
    unanswered_ = aUnanswered;
    lateOrders_ = aUnanswered && aLateOrders;
  }

  void FailRunning(MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (run.outcome_.empty()) {
        End(run, "failed", aNow);
      }
    }
  }

  /// Carries out the orders that were lost before the last restart.
  void CarryOutLate(MonoTime aNow)
  {
    if (!lateFrom_ || aNow < *lateFrom_ || departure_.HasLeft()) {
      return;
    }
    lateFrom_.reset();
    for (const Json& order : std::exchange(lostStarts_, {})) {
      if (!IsFenced(order)) {
        Start(order, aNow);
      }
    }
  }

  Json HeartbeatBody(MonoTime aNow)
  {
    const bool drains = draining_ || departure_.Drains();
    return { { "service", options_.service_ },
             { "state", drains ? "draining" : "ready" },
             { "capacity", { { "cpu", options_.cpu_ }, { "memMb", 100000 } } },
             { "labels", { "a", "rack-1" } },
             { "clockMs", ClockMs(aNow) },
             { "born", born_ },
             { "seq", ++sequence_ } };
  }

  std::ptrdiff_t Running() const
  {
    return std::count_if(runs_.begin(), runs_.end(), [](const Run& aRun) {
      return aRun.outcome_.empty();
    });
  }

  /// Carries out what is due of a departure.
  void Depart(MonoTime aNow)
  {
    const bool isBack = departure_.IsBack(aNow);
    if (departure_.TakeEnd(aNow) || isBack) {
      CutOff(kLeft, aNow);
      for (const PendingPoll& poll : std::exchange(polls_, {})) {
        poll.reply_.Close();
      }
    }
    if (isBack) {
      Restart(aNow, false);
    }
  }

  /// Ends all runs that have not ended, unnoticed by the sidecar.
  void CutOff(std::string_view aOutcome, MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (run.outcome_.empty()) {
        run.outcome_ = aOutcome;
        run.ended_ = aNow;
      }
    }
  }

  /// Starts a new incarnation, as after a crash: ends all runs and clears the
  /// state.
  void Restart(MonoTime aNow, bool aKeepsId)
  {
    CutOff(kCrashed, aNow);
    departure_.Clear();
    earlierRuns_.insert(earlierRuns_.end(), runs_.begin(), runs_.end());
    runs_.clear();
    ends_.clear();
    acknowledged_ = 0;
    lease_ = {};
    lapsed_ = {};
    sequence_ = 0;
    fence_ = 0;
    keepsId_ = aKeepsId;
    incarnation_ += keepsId_ ? 0 : 1;
    if (!keepsId_) {
      // They name the earlier id, and are refused.
      lostStarts_.clear();
    }
    start_ = aNow;
    born_ = WallMs(aNow);
  }

  /// Acknowledges the first \p aUpTo ends of runs.
  void Acknowledge(size_t aUpTo, MonoTime aNow)
  {
    const bool inForce = aNow < lease_;
    for (size_t i = acknowledged_; i < std::min(aUpTo, ends_.size()); ++i) {
      Run& run = runs_[static_cast<size_t>(ends_[i])];
      if (inForce && lapsed_ < run.ended_) {
        run.acknowledged_ = aNow;
      }
    }
    acknowledged_ = std::max(acknowledged_, aUpTo);
  }

  HttpResponse WithClock(int aStatus,
                         MonoTime aNow,
                         const std::string& aReason = "") const
  {
    Json body{ { "clockMs", ClockMs(aNow) }, { "born", born_ } };
    if (!aReason.empty()) {
      body["reason"] = aReason;
    }
    return { .status_ = aStatus, .body_ = body.dump() };
  }

  /// Extends the lease to the requested deadline, but to no more than
  /// kLongestLease from now.
  void ExtendLease(const Json& aBody, MonoTime aNow)
  {
    if (aBody.contains("deadlineMs")) {
      const MonoTime asked =
        start_ + Millis(aBody["deadlineMs"].get<int64_t>() * kWholePercent /
                        options_.clockPercent_);
      if (aNow >= lease_) {
        lapsed_ = lease_;
      }
      lease_ = std::max(lease_, std::min(asked, aNow + kLongestLease));
    }
  }

  HttpResponse Start(const Json& aBody, MonoTime aNow)
  {
    const std::string task = aBody.value("task", "");
    const int64_t run = aBody.value("run", 0);
    if (aBody.value("deadlineMs", int64_t{ 0 }) < ClockMs(aNow)) {
      return WithClock(409, aNow, "late");
    }
    for (const Run& known : runs_) {
      if (known.task_ == task && known.outcome_.empty() && known.run_ == run) {
        return WithClock(200, aNow);
      }
      if (known.task_ == task && run <= known.run_) {
        return WithClock(409, aNow, "old");
      }
    }
    ExtendLease(aBody, aNow);
    const std::string spec = aBody.value("spec", "");
    const auto ms = spec.find("ms=");
    runs_.push_back({ .task_ = task,
                      .run_ = run,
                      .started_ = aNow,
                      .length_ = ms == std::string::npos
                                   ? kDefaultRun
                                   : Millis(std::atoi(spec.c_str() + ms + 3)),
                      .fails_ = spec.find("fail") != std::string::npos });
    return WithClock(200, aNow);
  }

  void Stop(const Json& aBody, MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (run.outcome_.empty() && run.task_ == aBody.value("task", "") &&
          run.run_ == aBody.value("run", 0)) {
        run.stopsAt_ = run.stopsAt_.value_or(aNow + options_.stopTime_);
      }
    }
    EndDue(aNow);
  }

  void End(Run& aRun, const std::string& aOutcome, MonoTime aNow)
  {
    aRun.outcome_ = aOutcome;
    aRun.ended_ = aNow;
    ends_.push_back(&aRun - runs_.data());
  }

  void EndDue(MonoTime aNow)
  {
    for (Run& run : runs_) {
      if (!run.outcome_.empty()) {
        continue;
      }
      if (aNow >= lease_) {
        // The run ended with the lease, even if this process was suspended then
        // and notices it later.
        End(run, "lapsed", std::max(lease_, run.started_));
      } else if (run.stopsAt_ && aNow >= *run.stopsAt_) {
        End(run, "stopped", aNow);
      } else if (!stalls_ && aNow >= run.started_ + run.length_) {
        End(run, run.fails_ ? "failed" : "done", aNow);
      }
    }
  }

  void AnswerPolls(MonoTime aNow)
  {
    if (departure_.IsSilent()) {
      return;
    }
    const bool hasEnds = ends_.size() > acknowledged_;
    std::erase_if(polls_, [&](const PendingPoll& aPoll) {
      if (!hasEnds && aNow < aPoll.until_) {
        return false;
      }
      SendOrClose(
        aPoll.reply_, aPoll.fate_, { .body_ = PollBody(aNow).dump() });
      return true;
    });
  }

  /// Body of an answer to /hold: running tasks, and ends not yet acknowledged.
  Json PollBody(MonoTime aNow) const
  {
    Json running = Json::array();
    for (const Run& run : runs_) {
      if (run.outcome_.empty()) {
        const auto percent =
          stalls_ || run.length_.count() == 0
            ? 0
            : kWholePercent * (aNow - run.started_) / run.length_;
        running.push_back({ run.task_, run.run_, "", percent });
      }
    }
    Json ended = Json::array();
    for (size_t i = acknowledged_; i < ends_.size(); ++i) {
      const Run& run = runs_[static_cast<size_t>(ends_[i])];
      ended.push_back({ i + 1, run.task_, run.run_, run.outcome_, "" });
    }
    return { { "clockMs", ClockMs(aNow) },
             { "born", born_ },
             { "running", running },
             { "ended", ended } };
  }

  /// Body of an answer to /control/runs.
  Json RunsBody() const
  {
    Json list = Json::array();
    const auto add = [&list](const Run& aRun) { list.push_back(Record(aRun)); };
    std::for_each(earlierRuns_.begin(), earlierRuns_.end(), add);
    std::for_each(runs_.begin(), runs_.end(), add);
    return list;
  }

  const Options options_;
  int incarnation_ = 1;
  MonoTime start_ = MonoClock::now();
  int64_t born_ = WallMs(start_);
  std::mutex mutex_;
  /// Runs of earlier incarnations.
  std::vector<Run> earlierRuns_;
  std::vector<Run> runs_;
  /// Indices in runs_ of the ended runs, in order of their ends.
  std::vector<std::ptrdiff_t> ends_;
  std::vector<PendingPoll> polls_;
  /// Replies that are never sent.
  std::vector<HttpReply> withheldReplies_;
  /// Number of ends that the sidecar has acknowledged.
  size_t acknowledged_ = 0;
  /// End of the lease.
  MonoTime lease_;
  /// End of the last lease that lapsed before it was extended.
  MonoTime lapsed_;
  int64_t sequence_ = 0;
  /// Highest fence seen in this incarnation.
  int64_t fence_ = 0;
  /// The last restart kept the id.
  bool keepsId_ = false;
  /// Number of orders to leave without an answer.
  int loseStarts_ = 0;
  std::vector<Json> lostStarts_;
  std::optional<MonoTime> lateFrom_;
  AnswerFaults answerFaults_;
  Departure departure_;
  bool unanswered_ = false;
  bool lateOrders_ = false;
  bool draining_ = false;
  bool stalls_ = false;
};

int
RunStandin(int argc, char** argv)
{
  CLI::App app("Stand-in for an executor of the platform");
  Options options;
  uint16_t port = 0;
  app.add_option("--port", port, "Port on loopback; 0 picks a free one");
  app.add_option("--id", options.id_, "Name of this executor");
  app.add_option("--service", options.service_, "Service whose tasks it runs");
  app
    .add_option("--heartbeats",
                options.heartbeats_,
                "Address of the sidecar, <ip>:<port>")
    ->required();
  app.add_option("--cpu", options.cpu_, "Processors, in thousandths of a core");
  app.add_option("--clock-percent",
                 options.clockPercent_,
                 "Speed of its clock, in percent of that of the machine");
  int64_t stopMs = 0;
  app.add_option("--stop-ms", stopMs, "How long a run goes on after its stop")
    ->check(CLI::NonNegativeNumber);
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  options.stopTime_ = Millis(stopMs);
  Executor executor(options);
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
      if (const auto call = executor.NextCall()) {
        executor.OnAnswer(client.Perform(
          { .method_ = "POST",
            .url_ = "http://" + options.heartbeats_ + call->path_,
            .body_ = call->body_,
            .timeout_ = call->timeout_ },
          call->abort_));
      }
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  });
  std::cout << "listening http " << server.Port() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  stopping = true;
  executor.GiveUpCall();
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
