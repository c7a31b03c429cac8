#pragma once

/// \file
/// Group commit: records written while an append is in flight are combined into
/// the next append. Appends are idempotent, so an append without a response is
/// retried.

#include "cornelfront/backoff.h"
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
  /// If true, an append is retried until it is applied or fenced. If false, an
  /// append that was certainly not applied fails at once, and one that may have
  /// been applied is retried only until unknownRetryLimit_ expires.
  bool retryUntilApplied_ = false;
  Millis unknownRetryLimit_{ 1000 };
};

/// Appends batches to one topic. All calls and callbacks are on the thread of
/// the event loop.
class BatchWriter
{
public:
  /// \p aStart is the start time of the first attempt that the store may have
  /// applied, by BootNow.
  using Done = std::function<void(StoreOutcome, MonoTime aStart)>;

  BatchWriter(asio::io_context& aLoop,
              StoreClient& aStore,
              BatchWriterOptions aOptions);
  ~BatchWriter();
  BatchWriter(const BatchWriter&) = delete;
  BatchWriter& operator=(const BatchWriter&) = delete;

  /// Queues records, which are appended together in order. \p aDone is called
  /// once, unless the writer is destroyed first.
  void Write(std::vector<KeyedRecord> aRecords, Done aDone);
  /// True if no append is queued or in flight.
  bool Idle() const { return !inFlight_ && queue_.empty(); }

private:
  struct PendingWrite
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
  Backoff backoff_{ { .initial_ = Millis(100), .max_ = Millis(400) } };
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::deque<PendingWrite> queue_;
  std::vector<PendingWrite> batch_;
  std::vector<KeyedRecord> records_;
  bool inFlight_ = false;
  /// True if an attempt to append this batch got no definite response.
  bool uncertain_ = false;
  uint64_t sequence_ = 0;
  uint64_t producerGeneration_ = 0;
  MonoTime batchStart_;
  MonoTime attemptStart_;
  /// Start of the first attempt of this batch that the store may have applied.
  MonoTime applicableStart_;
};

} // namespace cornelfront::platform
