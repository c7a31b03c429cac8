#include "callers.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace cornelfront::soak {
namespace {

using Json = nlohmann::json;

/// Shortest backoff before a submission without an answer is repeated.
constexpr Millis kResendBackoff{ 1300 };
constexpr Millis kConnectTimeout{ 1000 };
constexpr Millis kStatePollInterval{ 100 };
constexpr int kMaxAttempts = 6;
constexpr int kMaxPauseMs = 60;

/// State of a job that is not stored.
constexpr std::string_view kUnknownJob = "410";

/// Sets the generator of the kinds of stored jobs apart from the other one.
constexpr uint64_t kKindsSeed = 0xa0761d6478bd642f;
constexpr int kSecondStepPercent = 30;
constexpr int kSecondRunPercent = 20;
constexpr int kOnePerExecutorPercent = 20;
constexpr int kDroppedQueuePercent = 50;
constexpr Millis kUntilDue{ 500 };

constexpr int kStatusOk = 200;
constexpr int kStatusNoQueue = 404;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

/// Persistent connections to every entry. libcurl is not used here, because it
/// silently repeats a request when a reused connection turns out to be closed,
/// and clients of the system must not repeat a request without a backoff.
class Connections
{
public:
  Connections(const std::vector<std::string>& aEntries, Millis aTimeout)
    : timeout_(aTimeout)
  {
    for (const std::string& entry : aEntries) {
      clients_.push_back(std::make_unique<httplib::Client>("http://" + entry));
      clients_.back()->set_keep_alive(true);
      clients_.back()->set_tcp_nodelay(true);
      clients_.back()->set_connection_timeout(kConnectTimeout);
      clients_.back()->set_read_timeout(aTimeout);
    }
  }

  size_t Size() const { return clients_.size(); }

  httplib::Result Submit(size_t aEntry,
                         const std::string& aQueue,
                         const std::string& aJob,
                         const std::string& aBody)
  {
    return clients_[aEntry]->Post(
      "/" + aQueue + "/" + aJob, Headers(), aBody, "application/json");
  }
  httplib::Result Cancel(size_t aEntry, const std::string& aJob)
  {
    return clients_[aEntry]->Delete(PathOf(aJob), Headers());
  }
  /// Returns the state of a job, such as "queued" or "running"; the HTTP status
  /// if it is not 200.
  std::string State(size_t aEntry, const std::string& aJob)
  {
    const auto result = clients_[aEntry]->Get(PathOf(aJob), Headers());
    if (!result || result->status != kStatusOk) {
      return result ? std::to_string(result->status) : "no answer";
    }
    return Json::parse(result->body).value("state", "no state");
  }

private:
  static std::string PathOf(const std::string& aJob) { return "/q1/" + aJob; }
  httplib::Headers Headers() const
  {
    return { { "Host", "desk.example" },
             { "Request-Deadline", std::to_string(timeout_.count()) } };
  }

  const Millis timeout_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
};

bool
IsFinal(const std::string& aState)
{
  return aState == "completed" || aState == "failed" || aState == "cancelled";
}

bool
IsRefusal(const httplib::Result& aResult)
{
  if (!aResult) {
    return aResult.error() == httplib::Error::Connection;
  }
  return aResult->status == kStatusTooMany ||
         aResult->status == kStatusUnavailable ||
         aResult->status == kStatusNoQueue;
}

/// One caller, used by a single thread.
class Caller
{
public:
  Caller(const CallersOptions& aOptions, unsigned aThread)
    : options_(aOptions)
    , thread_(aThread)
    , maxTaskMs_(static_cast<int>(aOptions.maxTask_.count()))
    , random_(aOptions.seed_ * 1000 + aThread)
    , kinds_((aOptions.seed_ * 1000 + aThread) ^ kKindsSeed)
    , connections_(aOptions.entries_, aOptions.timeout_)
  {
  }

  JobRecord SubmitOne()
  {
    JobRecord job = NextJob();
    const auto [body, queue] = RequestOf(job);
    job.refused_ = true;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const size_t entry = PickEntry();
      const WallMillis begun = WallMillisNow();
      const auto result = connections_.Submit(entry, queue, job.id_, body);
      const bool refused = IsRefusal(result);
      job.refused_ = job.refused_ && refused;
      if (result && result->status == kStatusOk) {
        RecordAnswer(job, result->body);
        break;
      }
      if (!result && !refused &&
          WallMillisNow() - begun < options_.timeout_.count()) {
        aborted_.push_back({ entry, begun, WallMillisNow() });
      }
      if (job.refused_) {
        break;
      }
      std::this_thread::sleep_for(kResendBackoff);
    }
    CancelSome(job);
    std::this_thread::sleep_for(Millis(Pick(0, kMaxPauseMs)));
    return job;
  }

  std::vector<AbortedRequest> TakeAbortedRequests()
  {
    return std::move(aborted_);
  }

private:
  int Pick(int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, aMax)(random_);
  }
  bool Chance(int aPercent) { return Pick(1, 100) <= aPercent; }

  size_t PickEntry()
  {
    return static_cast<size_t>(
      Pick(0, static_cast<int>(connections_.Size()) - 1));
  }

  JobRecord NextJob()
  {
    char id[17];
    snprintf(id, sizeof(id), "%08x%08x", thread_ + 1, ++number_);
    return { .id_ = id,
             .bestEffort_ = Chance(options_.bestEffortPercent_),
             .tasks_ = static_cast<unsigned>(
               Pick(1, static_cast<int>(options_.maxTasks_))),
             .fails_ = Chance(options_.failPercent_) };
  }

  struct Request
  {
    std::string body_;
    std::string queue_ = "q1";
  };

  /// Draws what is left open of the job.
  Request RequestOf(JobRecord& aJob)
  {
    const int ms = Pick(20, maxTaskMs_);
    Request request;
    Json step{ { "count", aJob.tasks_ },
               { "cpu", 1000 },
               { "memMb", 10 },
               { "estimateMs", ms } };
    Json body{ { "spec",
                 (aJob.fails_ ? "fail ms=" : "ms=") + std::to_string(ms) } };
    if (aJob.bestEffort_) {
      body["bestEffort"] = true;
    }
    const bool stored = options_.allKinds_ && !aJob.bestEffort_;
    if (stored && IsOfKind(kOnePerExecutorPercent)) {
      step["antiAffinity"] = 1;
    }
    body["steps"] = { step };
    if (stored && IsOfKind(kSecondStepPercent)) {
      aJob.steps_ = 2;
      step["after"] = { 0 };
      body["steps"].push_back(step);
    }
    if (stored && IsOfKind(kSecondRunPercent)) {
      aJob.occurrences_ = 2;
      body["repeats"] = 2;
      body["intervalMs"] = kUntilDue.count();
      body["startAtMs"] = WallMillisNow() + kUntilDue.count();
    }
    if (stored && IsOfKind(kDroppedQueuePercent)) {
      request.queue_ = harness::kDroppedQueue;
    }
    request.body_ = body.dump();
    return request;
  }

  bool IsOfKind(int aPercent)
  {
    return std::uniform_int_distribution<int>(1, 100)(kinds_) <= aPercent;
  }

  static void RecordAnswer(JobRecord& aJob, const std::string& aBody)
  {
    if (aJob.bestEffort_) {
      aJob.answer_ = Json::parse(aBody).value("state", "no state");
      aJob.answered_ = WallMillisNow();
    } else {
      aJob.accepted_ = WallMillisNow();
    }
  }

  void CancelSome(JobRecord& aJob)
  {
    if (aJob.accepted_ == 0 || !Chance(10)) {
      return;
    }
    std::this_thread::sleep_for(Millis(Pick(0, maxTaskMs_)));
    // The cancellation may take effect even without an answer.
    connections_.Cancel(PickEntry(), aJob.id_);
    aJob.cancelled_ = WallMillisNow();
  }

  const CallersOptions& options_;
  const unsigned thread_;
  const int maxTaskMs_;
  unsigned number_ = 0;
  std::mt19937_64 random_;
  std::mt19937_64 kinds_;
  Connections connections_;
  std::vector<AbortedRequest> aborted_;
};

} // namespace

Callers::Callers(CallersOptions aOptions)
  : options_(std::move(aOptions))
{
  for (unsigned i = 0; i < options_.threads_; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

Callers::~Callers()
{
  Stop();
}

void
Callers::Run(unsigned aThread)
{
  Caller caller(options_, aThread);
  while (!stopping_) {
    JobRecord job = caller.SubmitOne();
    std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  const auto aborted = caller.TakeAbortedRequests();
  std::lock_guard lock(mutex_);
  aborted_.insert(aborted_.end(), aborted.begin(), aborted.end());
}

void
Callers::Stop()
{
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void
Callers::ReadStates(Millis aLimit)
{
  Connections connections(options_.entries_, options_.timeout_);
  const MonoTime deadline = MonoClock::now() + aLimit;
  for (JobRecord& job : jobs_) {
    // A job whose answers were lost may be stored; its tasks run as well.
    const bool uncertain =
      job.accepted_ == 0 && !job.refused_ && !job.bestEffort_;
    if (job.accepted_ == 0 && !uncertain) {
      continue;
    }
    for (size_t entry = 0; entry < connections.Size(); ++entry) {
      std::string state = connections.State(entry, job.id_);
      while (!IsFinal(state) && !(uncertain && state == kUnknownJob) &&
             MonoClock::now() < deadline) {
        std::this_thread::sleep_for(kStatePollInterval);
        state = connections.State(entry, job.id_);
      }
      if (!uncertain) {
        job.states_.push_back(state);
      }
    }
  }
}

} // namespace cornelfront::soak
