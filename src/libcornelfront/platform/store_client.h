#pragma once

/// \file
/// Client of the platform's store, an append-only log with partitioned topics.
/// Keyed topics are compacted: they keep the newest record of each key.

#include "cornelfront/async_http_client.h"
#include "cornelfront/backoff.h"
#include "cornelfront/clock.h"
#include "cornelfront/keyed_record.h"
#include "cornelfront/settings.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelfront::platform {

enum class StoreOutcome : uint8_t
{
  Ok,
  /// Certainly not applied: the store rejected the call or was unreachable.
  NotApplied,
  /// No definite response: the call may have been applied, or may still be
  /// applied later.
  Unknown,
  /// Reads only: the requested records are no longer retained.
  Gone,
  /// Appends only: the store knows a later epoch or expects another sequence
  /// number of this producer.
  Fenced,
};

/// Makes appends idempotent: the store accepts each sequence number of a
/// producer once, and rejects epochs older than the newest.
struct ProducerStamp
{
  std::string producer_;
  uint64_t epoch_ = 0;
  uint64_t sequence_ = 0;
};

/// Encodes a record in the format of keyed topics, including its length prefix.
/// \throws std::invalid_argument if the key is too long
std::string
EncodeRecord(const KeyedRecord& aRecord);

/// Result of reading from an offset.
struct StoreRead
{
  StoreOutcome outcome_ = StoreOutcome::NotApplied;
  /// Offset after the last record returned.
  uint64_t next_ = 0;
  std::vector<KeyedRecord> records_;
};

/// One page of the newest records of all keys.
struct StorePage
{
  StoreOutcome outcome_ = StoreOutcome::NotApplied;
  std::vector<KeyedRecord> records_;
  bool hasMore_ = false;
  /// End of the partition when the page was read.
  uint64_t end_ = 0;
};

/// Uses only partition 0 of each topic. All calls and callbacks are on the
/// thread of the event loop.
class StoreClient
{
public:
  StoreClient(asio::io_context& aLoop, const Endpoint& aStore);

  void Append(const std::string& aTopic,
              const std::vector<KeyedRecord>& aRecords,
              const std::optional<ProducerStamp>& aStamp,
              std::function<void(StoreOutcome)> aDone);
  /// Reads records from offset \p aFrom on; waits up to \p aWait if there are
  /// none yet. Times out \p aMargin after that.
  void Read(const std::string& aTopic,
            uint64_t aFrom,
            Millis aWait,
            Millis aMargin,
            std::function<void(StoreRead)> aDone);
  /// Reads a page of the newest records of all keys greater than \p aAfter.
  void Newest(const std::string& aTopic,
              const std::string& aAfter,
              std::function<void(StorePage)> aDone);

private:
  std::string Url(std::string_view aCall, const std::string& aTopic) const;

  const std::string base_;
  AsyncHttpClient http_;
};

/// Maintains an in-memory copy of the newest records of one keyed topic. Reads
/// all pages first, then follows the topic with long-polling reads.
class TopicReader
{
public:
  using Records = std::map<std::string, std::string>;

  struct Options
  {
    std::string topic_;
    /// Longest wait of one read. It also bounds how long an unresponsive
    /// connection goes undetected.
    Millis wait_{ 1000 };
    /// Called with all records after the first complete read and after each
    /// change.
    std::function<void(const Records&)> onChange_;
    /// Called with the changed records in order; a deleted key has an empty
    /// value.
    std::function<void(const std::vector<KeyedRecord>&)> onRecords_;
    /// Called when reads begin to fail (false) or succeed again (true).
    std::function<void(bool)> onReachable_;
  };

  TopicReader(asio::io_context& aLoop, StoreClient& aStore, Options aOptions);
  ~TopicReader();
  TopicReader(const TopicReader&) = delete;
  TopicReader& operator=(const TopicReader&) = delete;

  /// True once all records have been read for the first time.
  bool Complete() const { return complete_; }

  /// Returns the start time of the newest successful read, by BootNow.
  MonoTime LastReadStart() const { return lastReadStart_; }

  /// Returns the time since the newest successful read began: what the store
  /// accepted before then is known here.
  Millis Age(MonoTime aNow) const
  {
    return std::chrono::duration_cast<Millis>(aNow - lastReadStart_);
  }

private:
  void ReadPage(const std::string& aAfter);
  void OnPage(const std::string& aAfter, const StorePage& aPage);
  void Tail();
  void OnTail(const StoreRead& aRead);
  void Retry(void (TopicReader::*aStep)());
  void Restart() { ReadPage(""); }
  void NoteReachable(bool aReachable);
  void Publish(const std::vector<KeyedRecord>& aChanges);

  asio::steady_timer timer_;
  StoreClient& store_;
  const Options options_;
  Backoff backoff_{ { .initial_ = Millis(100), .max_ = Millis(800) } };
  Millis readMargin_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Records records_;
  Records pagedRecords_;
  uint64_t next_ = 0;
  MonoTime readStart_;
  MonoTime lastReadStart_;
  bool complete_ = false;
  bool reachable_ = true;
};

} // namespace cornelfront::platform
