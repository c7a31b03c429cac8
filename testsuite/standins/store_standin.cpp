/// \file
/// Stand-in for the platform's store: topics of one partition, idempotent
/// appends of producers, long-poll reads, and the newest record of each key.
/// `POST /control` sets faults with a JSON object of the fields "down",
/// "lose_append_answers", "drop_history" and "answers": the last holds the
/// faults of answer_faults.h for the appends of its "topic", of all topics but
/// that of the operator if it has none.

#include "answer_faults.h"

#include "cornelfront/codec.h"
#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr Millis kWakeInterval{ 20 };
/// Its records come from the operator, and never again.
constexpr std::string_view kOperatorTopic = "keyed.op";
/// Number of newest appends of a producer that can be repeated: a repetition is
/// answered like the first attempt and appends nothing.
constexpr size_t kRememberedAppends = 5;

/// Faults that tests set while the service runs.
struct Faults
{
  /// "no" serves; "503" answers 503 and does nothing; "silent" never answers.
  std::string down_ = "no";
  /// Appends are carried out, but never answered.
  bool loseAppendAnswers_ = false;
  AnswerFaults answers_;
  /// Topic of answers_; empty if all but kOperatorTopic.
  std::string answersTopic_;
};

/// State of an idempotent producer of a topic.
struct Producer
{
  uint64_t epoch_ = 0;
  uint64_t sequence_ = 0;
  /// Answers to the newest appends of the epoch, by sequence number.
  std::map<uint64_t, std::string> answers_;
};

struct Topic
{
  /// Offset of the first record; those before it were dropped.
  uint64_t first_ = 0;
  std::deque<std::string> records_;
  /// Newest value of each key, and its offset.
  std::map<std::string, std::pair<std::string, uint64_t>> newest_;
  std::map<std::string, Producer> producers_;

  uint64_t End() const { return first_ + records_.size(); }
};

/// A long-poll read that waits for a record.
struct PendingRead
{
  HttpReply reply_;
  std::string topic_;
  uint64_t from_ = 0;
  MonoTime until_;
};

/// Appends a big-endian number of \p aSize bytes.
void
AppendNumber(std::string& aTarget, uint64_t aNumber, size_t aSize)
{
  for (size_t i = aSize; i > 0; --i) {
    aTarget.push_back(static_cast<char>(aNumber >> (8U * (i - 1))));
  }
}

/// Reads a big-endian number of \p aSize bytes.
uint64_t
ReadNumber(const std::string& aBytes, size_t aAt, size_t aSize)
{
  uint64_t number = 0;
  for (size_t i = 0; i < aSize; ++i) {
    number = (number << 8U) | static_cast<unsigned char>(aBytes.at(aAt + i));
  }
  return number;
}

uint64_t
QueryNumber(const HttpRequest& aRequest, const std::string& aName)
{
  return std::strtoull(aRequest.Query(aName, "0").c_str(), nullptr, 10);
}

HttpResponse
Answer(int aStatus, const Json& aBody = Json::object())
{
  return { .status_ = aStatus, .body_ = aBody.dump() };
}

class Store
{
public:
  void Handle(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    std::lock_guard lock(mutex_);
    if (aRequest.path_ == "/control") {
      SetFaults(Json::parse(aRequest.body_));
      aReply.Send(Answer(200));
    } else if (faults_.down_ == "503") {
      aReply.Send(Answer(503));
    } else if (faults_.down_ == "silent") {
      withheldReplies_.push_back(aReply);
    } else if (aRequest.path_ == "/log-append") {
      AnswerAppend(aRequest, aReply);
    } else if (aRequest.path_ == "/log-read") {
      Read(aRequest, aReply);
    } else if (aRequest.path_ == "/log-newest") {
      aReply.Send(Newest(aRequest));
    } else {
      aReply.Send(Answer(404));
    }
  }

  /// Answers the reads whose wait has ended.
  void AnswerExpiredReads()
  {
    std::lock_guard lock(mutex_);
    AnswerReads(MonoClock::now());
  }

private:
  void AnswerAppend(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    const MonoTime now = MonoClock::now();
    const Fate fate = FateOf(aRequest.Query("topic"), now);
    if (fate == Fate::Refused) {
      aReply.Send(Answer(503));
      return;
    }
    const HttpResponse answer = Append(aRequest);
    if (faults_.loseAppendAnswers_ && fate != Fate::Closed) {
      withheldReplies_.push_back(aReply);
    } else {
      SendOrClose(aReply, fate, answer);
    }
    AnswerReads(now);
  }

  Fate FateOf(const std::string& aTopic, MonoTime aNow)
  {
    const bool counts = faults_.answersTopic_.empty()
                          ? aTopic != kOperatorTopic
                          : aTopic == faults_.answersTopic_;
    return counts ? faults_.answers_.Next(aNow) : Fate::Answered;
  }

  void SetFaults(const Json& aJson)
  {
    if (aJson.contains("answers")) {
      faults_.answersTopic_ = aJson["answers"].value("topic", "");
      faults_.answers_.Set(aJson["answers"], MonoClock::now());
      return;
    }
    faults_.down_ = aJson.value("down", faults_.down_);
    faults_.loseAppendAnswers_ =
      aJson.value("lose_append_answers", faults_.loseAppendAnswers_);
    if (aJson.value("drop_history", false)) {
      for (auto& [name, topic] : topics_) {
        topic.first_ = topic.End();
        topic.records_.clear();
      }
    }
    // Withheld replies are never answered; they are dropped here, so that they
    // do not accumulate.
    if (faults_.down_ == "no") {
      withheldReplies_.clear();
    }
  }

  HttpResponse Append(const HttpRequest& aRequest)
  {
    Topic& topic = topics_[aRequest.Query("topic")];
    Producer* producer = nullptr;
    if (!aRequest.Query("producer").empty()) {
      producer = &topic.producers_[aRequest.Query("producer")];
      const uint64_t epoch = QueryNumber(aRequest, "epoch");
      const uint64_t sequence = QueryNumber(aRequest, "seq");
      if (epoch < producer->epoch_) {
        return Answer(409, { { "reason", "fenced" } });
      }
      if (epoch > producer->epoch_) {
        producer->answers_.clear();
      }
      const auto repeated = producer->answers_.find(sequence);
      if (repeated != producer->answers_.end()) {
        return { .body_ = repeated->second };
      }
      if (!producer->answers_.empty() && sequence != producer->sequence_ + 1) {
        return Answer(409, { { "reason", "seq" } });
      }
      producer->epoch_ = epoch;
      producer->sequence_ = sequence;
    }
    const uint64_t offset = topic.End();
    for (size_t at = 0; at < aRequest.body_.size();) {
      const size_t length = ReadNumber(aRequest.body_, at, kLengthBytes);
      at += kLengthBytes;
      Add(topic, aRequest.body_.substr(at, length));
      at += length;
    }
    HttpResponse answer =
      Answer(200, { { "offset", offset }, { "end", topic.End() } });
    if (producer != nullptr) {
      producer->answers_[producer->sequence_] = answer.body_;
      if (producer->answers_.size() > kRememberedAppends) {
        producer->answers_.erase(producer->answers_.begin());
      }
    }
    return answer;
  }

  static void Add(Topic& aTopic, const std::string& aRecord)
  {
    const size_t keyBytes = ReadNumber(aRecord, 0, 1);
    const std::string key = aRecord.substr(1, keyBytes);
    const std::string value = aRecord.substr(1 + keyBytes);
    if (value.empty()) {
      aTopic.newest_.erase(key);
    } else {
      aTopic.newest_[key] = { value, aTopic.End() };
    }
    aTopic.records_.push_back(aRecord);
  }

  void Read(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    const MonoTime now = MonoClock::now();
    reads_.push_back({ aReply,
                       aRequest.Query("topic"),
                       QueryNumber(aRequest, "from"),
                       now + Millis(QueryNumber(aRequest, "waitMs")) });
    AnswerReads(now);
  }

  void AnswerReads(MonoTime aNow)
  {
    std::erase_if(reads_, [&](const PendingRead& aRead) {
      const Topic& topic = topics_[aRead.topic_];
      if (aRead.from_ < topic.first_) {
        aRead.reply_.Send(Answer(410, { { "first", topic.first_ } }));
        return true;
      }
      if (aRead.from_ >= topic.End() && aNow < aRead.until_) {
        return false;
      }
      aRead.reply_.Send(Records(topic, aRead.from_));
      return true;
    });
  }

  /// Returns the end and the first offset of the topic, then its records from
  /// \p aFrom on, each after its length.
  static HttpResponse Records(const Topic& aTopic, uint64_t aFrom)
  {
    HttpResponse response{ .contentType_ = "application/octet-stream" };
    AppendNumber(response.body_, aTopic.End(), kOffsetBytes);
    AppendNumber(response.body_, aTopic.first_, kOffsetBytes);
    for (uint64_t at = aFrom; at < aTopic.End(); ++at) {
      const std::string& record = aTopic.records_.at(at - aTopic.first_);
      AppendNumber(response.body_, record.size(), kLengthBytes);
      response.body_ += record;
    }
    return response;
  }

  HttpResponse Newest(const HttpRequest& aRequest)
  {
    constexpr size_t kPage = 100;
    const Topic& topic = topics_[aRequest.Query("topic")];
    Json items = Json::array();
    auto item = aRequest.Query("after").empty()
                  ? topic.newest_.begin()
                  : topic.newest_.upper_bound(aRequest.Query("after"));
    for (; item != topic.newest_.end() && items.size() < kPage; ++item) {
      items.push_back({ { "key", item->first },
                        { "value", EncodeBase64(item->second.first) },
                        { "offset", item->second.second } });
    }
    return Answer(200,
                  { { "items", items },
                    { "hasMore", item != topic.newest_.end() },
                    { "end", topic.End() } });
  }

  std::mutex mutex_;
  Faults faults_;
  std::map<std::string, Topic> topics_;
  std::vector<PendingRead> reads_;
  /// Replies that are never sent.
  std::vector<HttpReply> withheldReplies_;
};

int
RunStandin(int argc, char** argv)
{
  CLI::App app("Stand-in for the platform's store");
  uint16_t port = 0;
  app.add_option("--port", port, "Port on loopback; 0 picks a free one");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Store store;
  std::atomic<bool> stopping = false;
  HttpServer server({ .port_ = port },
                    [&](const HttpRequest& aRequest, const HttpReply& aReply) {
                      store.Handle(aRequest, aReply);
                    });
  std::thread waker([&] {
    while (!stopping) {
      std::this_thread::sleep_for(kWakeInterval);
      store.AnswerExpiredReads();
    }
  });
  std::cout << "listening http " << server.Port() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  stopping = true;
  waker.join();
  return 0;
}

} // namespace
} // namespace cornelfront

int
main(int argc, char** argv)
{
  return cornelfront::RunStandin(argc, argv);
}
