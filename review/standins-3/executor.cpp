#include "executor.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr Millis kTick{ 5 };
constexpr Millis kHeartbeatInterval{ 1500 };
/// After the start of a later lifetime.
constexpr Millis kFirstHeartbeat{ 500 };
constexpr Millis kLongestLease{ 1000 };
constexpr Millis kStopTime{ 30 };
constexpr Millis kLastingStart{ 200 };

int64_t
WallMs()
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

int64_t
Number(const std::string& aSpec, const std::string& aName, int64_t aDefault)
{
  const auto at = aSpec.find(aName + "=");
  return at == std::string::npos
           ? aDefault
           : std::atoll(aSpec.c_str() + at + aName.size() + 1);
}

Work
ParseWork(const std::string& aSpec)
{
  Work work;
  work.length_ = Millis(Number(aSpec, "ms", 200));
  work.cpu_ = Number(aSpec, "cpu", 1000);
  work.gang_ = static_cast<unsigned>(Number(aSpec, "gang", 0));
  work.lasts_ = Number(aSpec, "lasts", 0) != 0;
  work.failing_ = Number(aSpec, "failing", 0);
  return work;
}

/// Name of the step that a task belongs to.
std::string
StepOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

} // namespace

std::string
ToSpec(const Work& aWork)
{
  return "ms=" + std::to_string(aWork.length_.count()) +
         " cpu=" + std::to_string(aWork.cpu_) +
         " gang=" + std::to_string(aWork.gang_) +
         " lasts=" + (aWork.lasts_ ? "1" : "0") +
         " failing=" + std::to_string(aWork.failing_);
}

Executor::Executor(ExecutorOptions aOptions, Runs& aRuns)
  : options_(std::move(aOptions))
  , runs_(aRuns)
{
  Start();
  ticker_ = std::thread([this] {
    while (!ending_) {
      std::this_thread::sleep_for(kTick);
      Tick();
    }
  });
  beater_ = std::thread([this] { Beat(); });
}

Executor::~Executor()
{
  ending_ = true;
  ticker_.join();
  beater_.join();
  Crash();
}

std::string
Executor::Id() const
{
  return options_.name_ + "-" + std::to_string(idNumber_);
}

void
Executor::Start(bool aKeepsId)
{
  if (!dark_) {
    Crash();
  }
  const std::lock_guard life(lifeMutex_);
  {
    const std::lock_guard lock(runs_.mutex_);
    ++lifetime_;
    idNumber_ += aKeepsId ? 0 : 1;
    born_ = WallMs();
    start_ = MonoClock::now();
    lease_ = start_;
    lapsed_ = {};
    fence_ = 0;
    sequence_ = 0;
    mine_.clear();
    stops_.clear();
    ends_.clear();
    acknowledged_ = 0;
    used_.clear();
    if (lostStart_ && aKeepsId) {
      carryOutAt_ = start_ + lateDelay_;
    }
    dark_ = false;
  }
  if (server_ == nullptr) {
    server_ = std::make_unique<cornelfront::HttpServer>(
      cornelfront::HttpServerOptions{ .address_ = options_.address_,
                                      .port_ = options_.port_ },
      [this](const HttpRequest& aRequest, const HttpReply& aReply) {
        Handle(aRequest, aReply);
      });
  }
}

void
Executor::EndAllRuns()
{
  const MonoTime now = MonoClock::now();
  for (const size_t index : mine_) {
    RunRecord& run = runs_.list_[index];
    if (run.how_.empty()) {
      run.how_ = "crashed";
      run.ended_ = now;
    }
  }
  mine_.clear();
}

void
Executor::GoDark()
{
  const std::lock_guard lock(runs_.mutex_);
  EndAllRuns();
  for (const Poll& poll : polls_) {
    withheld_.push_back(poll.reply_);
  }
  polls_.clear();
  dark_ = true;
}

void
Executor::Crash()
{
  const std::lock_guard life(lifeMutex_);
  {
    const std::lock_guard lock(runs_.mutex_);
    EndAllRuns();
    for (const Poll& poll : polls_) {
      poll.reply_.Close();
    }
    polls_.clear();
    for (const HttpReply& reply : withheld_) {
      reply.Close();
    }
    withheld_.clear();
  }
  server_.reset();
}

int64_t
Executor::ClockMs(MonoTime aNow) const
{
  return std::chrono::duration_cast<Millis>(aNow - start_).count();
}

int64_t
Executor::CpuInUse() const
{
  int64_t used = 0;
  for (const size_t index : mine_) {
    const RunRecord& run = runs_.list_[index];
    used += run.how_.empty() ? run.work_.cpu_ : 0;
  }
  return used;
}

HttpResponse
Executor::Answer(int aStatus, const std::string& aReason) const
{
  Json body{ { "clockMs", ClockMs(MonoClock::now()) }, { "born", born_ } };
  if (!aReason.empty()) {
    body["reason"] = aReason;
  }
  return { .status_ = aStatus, .body_ = body.dump() };
}

void
Executor::Handle(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const std::lock_guard lock(runs_.mutex_);
  const MonoTime now = MonoClock::now();
  if (dark_) {
    withheld_.push_back(aReply);
    return;
  }
  const Json body = Json::parse(aRequest.body_, nullptr, false);
  if (!body.is_object()) {
    aReply.Send(Answer(400));
    return;
  }
  if (aRequest.Header("expected-instance", Id()) != Id()) {
    aReply.Send(Answer(421));
    return;
  }
  orders_ += aRequest.path_ == "/run-start" ? 1 : 0;
  if (aRequest.path_ == "/run-start" && !loseNext_.empty() &&
      body.value("task", "") == loseNext_) {
    loseNext_.clear();
    ++lostOrders_;
    lostStart_ = body;
    withheld_.push_back(aReply);
    return;
  }
  const int64_t fence = body.value("fence", int64_t{ 0 });
  if (fence < fence_) {
    aReply.Send(Answer(409, "fence"));
    return;
  }
  fence_ = fence;
  if (aRequest.path_ == "/run-start") {
    aReply.Send(StartRun(body));
  } else if (aRequest.path_ == "/run-stop") {
    StopRun(body);
    aReply.Send(Answer(200));
  } else if (aRequest.path_ == "/hold") {
    const size_t upto = body.value("ackedUpto", size_t{ 0 });
    for (size_t i = acknowledged_; i < std::min(upto, ends_.size()); ++i) {
      RunRecord& run = runs_.list_[ends_[i]];
      if (now < lease_ && lapsed_ < run.ended_) {
        run.acknowledged_ = now;
      }
    }
    acknowledged_ = std::max(acknowledged_, std::min(upto, ends_.size()));
    ExtendLease(body, now);
    polls_.push_back(
      { aReply, now + Millis(body.value("waitMs", int64_t{ 0 })) });
    AnswerPolls(now);
  } else {
    aReply.Send(Answer(404));
  }
}

void
Executor::ExtendLease(const Json& aBody, MonoTime aNow)
{
  if (aBody.contains("deadlineMs")) {
    const MonoTime asked = start_ + Millis(aBody["deadlineMs"].get<int64_t>());
    lapsed_ = aNow >= lease_ ? lease_ : lapsed_;
    lease_ = std::max(lease_, std::min(asked, aNow + kLongestLease));
  }
}

HttpResponse
Executor::StartRun(const Json& aBody)
{
  const MonoTime now = MonoClock::now();
  const std::string task = aBody.value("task", "");
  const int64_t number = aBody.value("run", int64_t{ 0 });
  if (aBody.value("deadlineMs", int64_t{ 0 }) < ClockMs(now)) {
    return Answer(409, "late");
  }
  ExtendLease(aBody, now);
  for (const size_t index : mine_) {
    const RunRecord& run = runs_.list_[index];
    if (run.task_ == task && run.run_ == number && run.how_.empty()) {
      return Answer(200);
    }
  }
  const auto used = used_.find(task);
  if (used != used_.end() && number <= used->second) {
    return Answer(409, "old");
  }
  const Work work = ParseWork(aBody.value("spec", ""));
  if (CpuInUse() + work.cpu_ > options_.cpu_) {
    return Answer(409, "room");
  }
  mine_.push_back(runs_.list_.size());
  runs_.list_.push_back({ .task_ = task,
                          .run_ = number,
                          .executor_ = Id(),
                          .begun_ = now,
                          .work_ = work });
  UpdateGang(mine_.back(), now);
  return Answer(200);
}

void
Executor::StopRun(const Json& aBody)
{
  const MonoTime now = MonoClock::now();
  const std::string task = aBody.value("task", "");
  const int64_t number = aBody.value("run", int64_t{ 0 });
  for (const size_t index : mine_) {
    const RunRecord& run = runs_.list_[index];
    if (run.task_ == task && run.run_ == number) {
      if (run.how_.empty()) {
        stops_.try_emplace(index, now + kStopTime);
      }
      return;
    }
  }
  int64_t& used = used_[task];
  used = std::max(used, number);
}

/// Members that are present together begin to work.
void
Executor::UpdateGang(size_t aRun, MonoTime aNow)
{
  const RunRecord& run = runs_.list_[aRun];
  if (run.work_.gang_ == 0) {
    return;
  }
  std::vector<RunRecord*> members;
  for (RunRecord& other : runs_.list_) {
    if (other.how_.empty() && other.run_ == run.run_ &&
        StepOf(other.task_) == StepOf(run.task_)) {
      members.push_back(&other);
    }
  }
  if (members.size() == run.work_.gang_) {
    for (RunRecord* member : members) {
      member->together_ = aNow;
    }
  }
}

void
Executor::EndRun(size_t aRun, const std::string& aHow, MonoTime aNow)
{
  RunRecord& run = runs_.list_[aRun];
  run.how_ = aHow;
  run.ended_ = aNow;
  ends_.push_back(aRun);
  stops_.erase(aRun);
  int64_t& used = used_[run.task_];
  used = std::max(used, run.run_);
}

void
Executor::LoseNextStart(std::string aTask, Millis aDelay)
{
  const std::lock_guard lock(runs_.mutex_);
  loseNext_ = std::move(aTask);
  lateDelay_ = aDelay;
}

bool
Executor::HasLostStart() const
{
  const std::lock_guard lock(runs_.mutex_);
  return lostStart_.has_value();
}

unsigned
Executor::Orders() const
{
  const std::lock_guard lock(runs_.mutex_);
  return orders_;
}

unsigned
Executor::LostOrders() const
{
  const std::lock_guard lock(runs_.mutex_);
  return lostOrders_;
}

/// Carries out the order that had no answer, unless a call with a higher fence
/// has come before.
void
Executor::CarryOutLate(MonoTime aNow)
{
  if (dark_ || !carryOutAt_ || aNow < *carryOutAt_) {
    return;
  }
  carryOutAt_.reset();
  const Json order = *std::exchange(lostStart_, std::nullopt);
  const int64_t fence = order.value("fence", int64_t{ 0 });
  if (fence >= fence_) {
    fence_ = fence;
    StartRun(order);
  }
}

void
Executor::Tick()
{
  const std::lock_guard lock(runs_.mutex_);
  const MonoTime now = MonoClock::now();
  CarryOutLate(now);
  for (const size_t index : std::vector<size_t>(mine_)) {
    const RunRecord run = runs_.list_[index];
    if (!run.how_.empty()) {
      continue;
    }
    const auto stop = stops_.find(index);
    const bool isGang = run.work_.gang_ > 0;
    const auto isSibling = [&](const RunRecord& aOther) {
      return aOther.run_ == run.run_ &&
             StepOf(aOther.task_) == StepOf(run.task_);
    };
    // Members of a gang end done together, and one that ends otherwise breaks
    // the others.
    const auto hasSibling = [&](bool aDone) {
      return isGang && std::any_of(runs_.list_.begin(),
                                   runs_.list_.end(),
                                   [&](const RunRecord& aOther) {
                                     return isSibling(aOther) &&
                                            !aOther.how_.empty() &&
                                            aOther.ended_ >= run.begun_ &&
                                            (aOther.how_ == "done") == aDone;
                                   });
    };
    const MonoTime from = isGang ? run.together_.value_or(now) : run.begun_;
    const bool ends = !run.work_.lasts_ || run.run_ <= run.work_.failing_;
    const bool worked = ends && now >= from + run.work_.length_;
    if (hasSibling(true)) {
      EndRun(index, "done", now);
    } else if (now >= lease_) {
      EndRun(index, "lapsed", now);
    } else if (stop != stops_.end() && now >= stop->second) {
      EndRun(index, "stopped", now);
    } else if (hasSibling(false)) {
      EndRun(index, "broken", now);
    } else if (isGang && !run.together_) {
      if (now >= run.begun_ + options_.gangWait_) {
        EndRun(index, "alone", now);
      }
    } else if (worked) {
      EndRun(index, run.run_ <= run.work_.failing_ ? "failed" : "done", now);
    }
  }
  AnswerPolls(now);
}

Json
Executor::Lists(MonoTime aNow) const
{
  Json running = Json::array();
  for (const size_t index : mine_) {
    const RunRecord& run = runs_.list_[index];
    if (!run.how_.empty()) {
      continue;
    }
    const MonoTime from =
      run.work_.gang_ > 0 ? run.together_.value_or(aNow) : run.begun_;
    const Millis length = run.work_.lasts_ ? kLastingStart : run.work_.length_;
    const int64_t percent =
      length.count() == 0
        ? 100
        : std::min<int64_t>(100, 100 * (aNow - from) / length);
    running.push_back({ run.task_, run.run_, "", percent, run.work_.cpu_ });
  }
  Json ended = Json::array();
  for (size_t i = acknowledged_; i < ends_.size() && ended.size() < 500; ++i) {
    const RunRecord& run = runs_.list_[ends_[i]];
    ended.push_back({ i + 1, run.task_, run.run_, run.how_, "" });
  }
  return { { "clockMs", ClockMs(aNow) },
           { "born", born_ },
           { "running", running },
           { "ended", ended } };
}

void
Executor::AnswerPolls(MonoTime aNow)
{
  const bool hasEnds = ends_.size() > acknowledged_;
  std::erase_if(polls_, [&](const Poll& aPoll) {
    if (!hasEnds && aNow < aPoll.until_) {
      return false;
    }
    aPoll.reply_.Send({ .body_ = Lists(aNow).dump() });
    return true;
  });
}

void
Executor::Beat()
{
  cornelfront::HttpClient client;
  MonoTime next = MonoClock::now();
  int lifetime = 0;
  while (!ending_) {
    std::this_thread::sleep_for(Millis(20));
    if (!IsUp() || dark_ ||
        (lifetime == lifetime_ && MonoClock::now() < next)) {
      continue;
    }
    if (lifetime != lifetime_ && lifetime != 0) {
      std::this_thread::sleep_for(kFirstHeartbeat);
    }
    Json body;
    std::string id;
    {
      const std::lock_guard lock(runs_.mutex_);
      id = Id();
      lifetime = lifetime_;
      body = {
        { "service", options_.service_ },
        { "address", options_.address_ + ":" + std::to_string(options_.port_) },
        { "zone", options_.zone_ },
        { "version", "v1" },
        { "slots", 8 },
        { "state", "ready" },
        { "coldLeftMs", 0 },
        { "capacity",
          { { "cpu", options_.cpu_ }, { "memMb", 100000 }, { "gpu", 0 } } },
        { "labels", options_.labels_ },
        { "clockMs", ClockMs(MonoClock::now()) },
        { "born", born_ },
        { "seq", ++sequence_ }
      };
    }
    const auto result =
      client.Perform({ .method_ = "POST",
                       .url_ = "http://" + options_.heartbeats_ +
                               "/instances/" + id + "/heartbeat",
                       .headers_ = { { "Content-Type", "application/json" } },
                       .body_ = body.dump(),
                       .timeout_ = Millis(1000),
                       .freshConnection_ = true });
    next = MonoClock::now() + (result.Ok() ? kHeartbeatInterval : Millis(200));
  }
}

} // namespace review
