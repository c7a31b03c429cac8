#pragma once

/// \file
/// Group commit: what comes in while an append is under way goes into the next
/// one. Appends are idempotent, so one without an answer is repeated.

#include "platform/store_client.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront::platform {

struct BatchWriterOptions
{
  std::string topic_;
  std::string producer_;
  uint64_t epoch_ = 1;
  uint64_t firstSequence_ = 0;
  /// True: an append is repeated until it is done or fenced. False: one that
  /// was certainly not done fails, and one that may have been is given up
  /// after the limit.
  bool untilDone_ = false;
  Millis unknownLimit_{ 1000 };
};

/// All calls and callbacks are on the event loop.
class BatchWriter
{
public:
  /// With the time at which the append began that was answered.
  using Done = std::function<void(StoreOutcome, MonoTime aBegun)>;

  BatchWriter(asio::io_context& aLoop,
              StoreClient& aStore,
              BatchWriterOptions aOptions);
  ~BatchWriter();
  BatchWriter(const BatchWriter&) = delete;
  BatchWriter& operator=(const BatchWriter&) = delete;

  void Write(std::vector<KeyedRecord> aRecords, Done aDone);
  bool Idle() const { return !inFlight_ && queue_.empty(); }

private:
  struct Item
  {
    std::vector<KeyedRecord> records_;
    Done done_;
  };

  void Flush();
  void Send();
  void OnAnswer(StoreOutcome aOutcome);
  void RetryLater();
  void Finish(StoreOutcome aOutcome);

  StoreClient& store_;
  BatchWriterOptions options_;
  asio::steady_timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::deque<Item> queue_;
  std::vector<Item> batch_;
  std::vector<KeyedRecord> records_;
  bool inFlight_ = false;
  /// An append of this batch had no answer.
  bool uncertain_ = false;
  uint64_t sequence_ = 0;
  uint64_t producers_ = 0;
  MonoTime batchBegun_;
  MonoTime begun_;
};

} // namespace cornelfront::platform
