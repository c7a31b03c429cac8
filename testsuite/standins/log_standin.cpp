/// \file
/// Stand-in for the platform's append-only log service; log_client.h describes
/// the protocol. `POST /control` sets faults with a JSON object of the fields
/// that MergeFaults reads; `GET /control/stats` returns counters.

#include "cornelfront/clock.h"
#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooMany = 429;
constexpr int kStatusInternalError = 500;
constexpr int kStatusUnavailable = 503;
constexpr uint64_t kMaxRecordsPerRead = 10000;
constexpr Millis kMaxReadWait{ 30000 };
/// Capacity of the append limit's token bucket, as time at the full rate.
constexpr std::chrono::duration<double> kAppendBurst{ 0.1 };

/// Faults that tests set while the service runs.
struct Faults
{
  /// "no" serves; "503" answers 503; "silent" never answers.
  std::string down_ = "no";
  Millis readDelay_{ 0 };
  /// Duration of a synced write.
  Millis appendDelay_{ 5 };
  /// With "500" or "silent" the record is appended, but the answer is 500 or
  /// never sent; "no" answers.
  std::string loseAppendAnswers_ = "no";
  double maxAppendsPerSecond_ = 400;
  /// Number of newest records that each stream keeps; 0 keeps all.
  uint64_t retentionRecords_ = 0;
  /// Age at which records are removed; 0 keeps all.
  Millis retention_{ 0 };
};

struct Stats
{
  uint64_t appends_ = 0;
  uint64_t rejectedAppends_ = 0;
  uint64_t reads_ = 0;
  uint64_t bytesIn_ = 0;
  uint64_t bytesOut_ = 0;
};

/// Runs functions at given times on its own thread.
class Timer
{
public:
  Timer()
    : thread_([this] { Run(); })
  {
  }

  ~Timer()
  {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void At(MonoTime aTime, std::function<void()> aFunction)
  {
    {
      std::lock_guard lock(mutex_);
      queue_.emplace(aTime, std::move(aFunction));
    }
    wake_.notify_one();
  }

private:
  void Run()
  {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      if (queue_.empty()) {
        wake_.wait(lock);
        continue;
      }
      const MonoTime due = queue_.begin()->first;
      if (MonoClock::now() < due) {
        wake_.wait_until(lock, due);
        continue;
      }
      const auto function = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      lock.unlock();
      function();
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<MonoTime, std::function<void()>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

struct StoredRecord
{
  std::string body_;
  MonoTime time_;
};

/// A long-poll read that waits for new records.
struct PendingRead
{
  uint64_t id_ = 0;
  uint64_t from_ = 0;
  uint64_t max_ = 0;
  HttpReply reply_;
};

struct Stream
{
  /// Offset of the first element of records_.
  uint64_t first_ = 0;
  std::deque<StoredRecord> records_;
  std::vector<PendingRead> pendingReads_;

  uint64_t Next() const { return first_ + records_.size(); }

  void Trim(const Faults& aFaults, MonoTime aNow)
  {
    const auto tooOld = [&](const StoredRecord& aRecord) {
      return aFaults.retention_ > Millis(0) &&
             aNow - aRecord.time_ > aFaults.retention_;
    };
    const auto tooMany = [&] {
      return aFaults.retentionRecords_ > 0 &&
             records_.size() > aFaults.retentionRecords_;
    };
    while (!records_.empty() && (tooMany() || tooOld(records_.front()))) {
      records_.pop_front();
      ++first_;
    }
  }
};

HttpResponse
JsonResponse(const Json& aJson)
{
  const auto replace = Json::error_handler_t::replace;
  return { .body_ = aJson.dump(-1, ' ', false, replace) };
}

HttpResponse
ErrorResponse(int aStatus, const std::string& aMessage)
{
  HttpResponse response = JsonResponse({ { "error", aMessage } });
  response.status_ = aStatus;
  return response;
}

std::optional<uint64_t>
ParseCount(const std::string& aText)
{
  const bool digits = !aText.empty() && aText.size() <= 18 &&
                      std::all_of(aText.begin(), aText.end(), [](char aChar) {
                        return aChar >= '0' && aChar <= '9';
                      });
  if (!digits) {
    return std::nullopt;
  }
  return std::stoull(aText);
}

/// Returns the stream named by "/streams/<stream>/records".
std::optional<std::string>
StreamOf(const std::string& aPath)
{
  const std::string prefix = "/streams/";
  const std::string suffix = "/records";
  if (aPath.size() <= prefix.size() + suffix.size() ||
      !aPath.starts_with(prefix) || !aPath.ends_with(suffix)) {
    return std::nullopt;
  }
  return aPath.substr(prefix.size(),
                      aPath.size() - prefix.size() - suffix.size());
}

Faults
MergeFaults(Faults aFaults, const Json& aJson)
{
  const auto millis = [&](const char* aName, Millis& aTarget) {
    aTarget = Millis(aJson.value(aName, aTarget.count()));
  };
  aFaults.down_ = aJson.value("down", aFaults.down_);
  millis("read_delay_ms", aFaults.readDelay_);
  millis("append_delay_ms", aFaults.appendDelay_);
  aFaults.loseAppendAnswers_ =
    aJson.value("lose_append_answers", aFaults.loseAppendAnswers_);
  aFaults.maxAppendsPerSecond_ =
    aJson.value("max_appends_per_second", aFaults.maxAppendsPerSecond_);
  aFaults.retentionRecords_ =
    aJson.value("retention_records", aFaults.retentionRecords_);
  millis("retention_ms", aFaults.retention_);
  return aFaults;
}

class LogService
{
public:
  explicit LogService(Faults aFaults)
    : faults_(std::move(aFaults))
  {
  }

  void Handle(HttpRequest aRequest, HttpReply aReply)
  {
    if (aRequest.path_ == "/control") {
      Control(aRequest, aReply);
      return;
    }
    if (aRequest.path_ == "/control/stats") {
      aReply.Send(JsonResponse(StatsJson()));
      return;
    }
    const auto stream = StreamOf(aRequest.path_);
    if (!stream) {
      aReply.Send(ErrorResponse(kStatusNotFound, "unknown path"));
      return;
    }
    if (aRequest.method_ == "POST") {
      Append(*stream, std::move(aRequest.body_), aReply);
    } else {
      Read(*stream, aRequest, aReply);
    }
  }

private:
  void Control(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    std::vector<HttpReply> dropped;
    try {
      const Json json = Json::parse(aRequest.body_);
      std::lock_guard lock(mutex_);
      faults_ = MergeFaults(faults_, json);
      if (faults_.down_ != "no") {
        EndPendingReadsLocked();
      }
      if (faults_.down_ != "silent" && faults_.loseAppendAnswers_ != "silent") {
        dropped.swap(withheldReplies_);
      }
    } catch (const Json::exception& error) {
      aReply.Send(ErrorResponse(kStatusBadRequest, error.what()));
      return;
    }
    aReply.Send(JsonResponse(Json::object()));
  }

  Json StatsJson()
  {
    std::lock_guard lock(mutex_);
    return { { "appends", stats_.appends_ },
             { "rejected_appends", stats_.rejectedAppends_ },
             { "reads", stats_.reads_ },
             { "bytes_in", stats_.bytesIn_ },
             { "bytes_out", stats_.bytesOut_ } };
  }

  /// During an outage, refuses the request or withholds the reply and returns
  /// true; else returns false. The mutex must be held.
  bool RejectIfDownLocked(const HttpReply& aReply)
  {
    if (faults_.down_ == "no") {
      return false;
    }
    if (faults_.down_ == "silent") {
      withheldReplies_.push_back(aReply);
    } else {
      aReply.Send(ErrorResponse(kStatusUnavailable, "log is down"));
    }
    return true;
  }

  /// Ends all waiting reads as the outage requires. The mutex must be held.
  void EndPendingReadsLocked()
  {
    for (auto& [name, stream] : streams_) {
      for (const PendingRead& pendingRead : stream.pendingReads_) {
        RejectIfDownLocked(pendingRead.reply_);
      }
      stream.pendingReads_.clear();
    }
  }

  /// Takes a token from the token bucket of the append limit; returns false if
  /// there is none. The mutex must be held.
  bool TakeAppendTokenLocked(MonoTime aNow)
  {
    const double rate = faults_.maxAppendsPerSecond_;
    const std::chrono::duration<double> passed = aNow - tokensAt_;
    tokensAt_ = aNow;
    const double capacity = std::max(1.0, rate * kAppendBurst.count());
    tokens_ = std::min(capacity, tokens_ + passed.count() * rate);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  void Append(const std::string& aStream,
              std::string aBody,
              const HttpReply& aReply)
  {
    const MonoTime now = MonoClock::now();
    std::lock_guard lock(mutex_);
    if (RejectIfDownLocked(aReply)) {
      return;
    }
    stats_.bytesIn_ += aBody.size();
    if (!TakeAppendTokenLocked(now)) {
      ++stats_.rejectedAppends_;
      aReply.Send(ErrorResponse(kStatusTooMany, "append limit reached"));
      return;
    }
    timer_.At(now + faults_.appendDelay_,
              [this, aStream, body = std::move(aBody), aReply] {
                FinishAppend(aStream, body, aReply);
              });
  }

  void FinishAppend(const std::string& aStream,
                    const std::string& aBody,
                    const HttpReply& aReply)
  {
    const MonoTime now = MonoClock::now();
    std::lock_guard lock(mutex_);
    if (RejectIfDownLocked(aReply)) {
      return;
    }
    Stream& stream = streams_[aStream];
    const uint64_t offset = stream.Next();
    stream.records_.push_back({ .body_ = aBody, .time_ = now });
    stream.Trim(faults_, now);
    ++stats_.appends_;
    if (faults_.loseAppendAnswers_ == "silent") {
      withheldReplies_.push_back(aReply);
    } else if (faults_.loseAppendAnswers_ == "500") {
      aReply.Send(ErrorResponse(kStatusInternalError, "answer lost"));
    } else {
      aReply.Send(JsonResponse({ { "offset", offset } }));
    }
    AnswerReadsLocked(stream);
  }

  void AnswerReadsLocked(Stream& aStream)
  {
    const auto answered = std::remove_if(aStream.pendingReads_.begin(),
                                         aStream.pendingReads_.end(),
                                         [&](const PendingRead& aRead) {
                                           if (aStream.Next() <= aRead.from_) {
                                             return false;
                                           }
                                           SendPageLocked(aStream, aRead);
                                           return true;
                                         });
    aStream.pendingReads_.erase(answered, aStream.pendingReads_.end());
  }

  void SendPageLocked(const Stream& aStream, const PendingRead& aRead)
  {
    Json records = Json::array();
    const uint64_t begin = std::max(aRead.from_, aStream.first_);
    for (uint64_t offset = begin;
         offset < aStream.Next() && records.size() < aRead.max_;
         ++offset) {
      const auto& record = aStream.records_[offset - aStream.first_];
      records.push_back({ { "offset", offset }, { "body", record.body_ } });
    }
    HttpResponse response = JsonResponse({ { "first", aStream.first_ },
                                           { "next", aStream.Next() },
                                           { "records", records } });
    stats_.bytesOut_ += response.body_.size();
    aRead.reply_.Send(std::move(response));
  }

  void Read(const std::string& aStream,
            const HttpRequest& aRequest,
            const HttpReply& aReply)
  {
    const auto from = ParseCount(aRequest.Query("from", "0"));
    const auto max = ParseCount(aRequest.Query("max", "1000"));
    const auto wait = ParseCount(aRequest.Query("wait_ms", "0"));
    if (!from || !max || !wait) {
      aReply.Send(
        ErrorResponse(kStatusBadRequest,
                      "from, max and wait_ms must be non-negative integers"));
      return;
    }
    const MonoTime now = MonoClock::now();
    const Millis hold = std::min(kMaxReadWait, Millis(*wait));
    std::lock_guard lock(mutex_);
    const PendingRead pendingRead{ .id_ = ++lastRead_,
                                   .from_ = *from,
                                   .max_ = std::min(*max, kMaxRecordsPerRead),
                                   .reply_ = aReply };
    if (faults_.readDelay_ == Millis(0)) {
      BeginReadLocked(aStream, pendingRead, now + hold);
      return;
    }
    timer_.At(now + faults_.readDelay_,
              [this, aStream, pendingRead, now, hold] {
                std::lock_guard guard(mutex_);
                BeginReadLocked(aStream, pendingRead, now + hold);
              });
  }

  void BeginReadLocked(const std::string& aStream,
                       const PendingRead& aRead,
                       MonoTime aDeadline)
  {
    if (RejectIfDownLocked(aRead.reply_)) {
      return;
    }
    ++stats_.reads_;
    const MonoTime now = MonoClock::now();
    Stream& stream = streams_[aStream];
    stream.Trim(faults_, now);
    if (stream.Next() > aRead.from_ || aDeadline <= now) {
      SendPageLocked(stream, aRead);
      return;
    }
    stream.pendingReads_.push_back(aRead);
    timer_.At(aDeadline,
              [this, aStream, id = aRead.id_] { ExpireRead(aStream, id); });
  }

  void ExpireRead(const std::string& aStream, uint64_t aRead)
  {
    std::lock_guard lock(mutex_);
    Stream& stream = streams_[aStream];
    const auto found = std::find_if(
      stream.pendingReads_.begin(),
      stream.pendingReads_.end(),
      [&](const PendingRead& aOther) { return aOther.id_ == aRead; });
    if (found == stream.pendingReads_.end()) {
      return;
    }
    SendPageLocked(stream, *found);
    stream.pendingReads_.erase(found);
  }

  std::mutex mutex_;
  Faults faults_;
  Stats stats_;
  std::map<std::string, Stream> streams_;
  /// Replies that are not sent.
  std::vector<HttpReply> withheldReplies_;
  uint64_t lastRead_ = 0;
  double tokens_ = 0;
  MonoTime tokensAt_;
  /// Last member, so that its thread ends before the state that it uses is
  /// destroyed.
  Timer timer_;
};

void
WaitForStopSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

int
RunService(int argc, char** argv)
{
  CLI::App app("Stand-in for the append-only log service");
  HttpServerOptions server{ .threads_ = 4, .maxBodyBytes_ = 64U << 20 };
  Faults faults;
  Millis::rep appendDelayMs = faults.appendDelay_.count();
  Millis::rep retentionMs = 0;
  app.add_option("--port", server.port_, "TCP port; 0 picks a free one");
  app.add_option(
    "--append-delay-ms", appendDelayMs, "Duration of a synced write");
  app.add_option("--max-appends-per-second",
                 faults.maxAppendsPerSecond_,
                 "Limit above which appends are answered with 429");
  app.add_option("--retention",
                 faults.retentionRecords_,
                 "Records kept per stream; 0 keeps all");
  app.add_option("--retention-ms",
                 retentionMs,
                 "Age at which records are removed; 0 keeps all");
  CLI11_PARSE(app, argc, argv);
  faults.appendDelay_ = Millis(appendDelayMs);
  faults.retention_ = Millis(retentionMs);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  LogService service(faults);
  HttpServer http(server, [&](HttpRequest aRequest, HttpReply aReply) {
    service.Handle(std::move(aRequest), std::move(aReply));
  });
  std::cout << "listening " << http.Port() << std::endl;
  WaitForStopSignal(signals);
  return 0;
}

} // namespace
} // namespace cornelfront

int
main(int argc, char** argv)
{
  return cornelfront::RunService(argc, argv);
}
