#pragma once

/// \file
/// Client of the platform's store: an append-only log of topics in partitions,
/// some of which keep the newest record of each key.

#include "cornelfront/async_http_client.h"
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
  /// Certainly not done: the store refused or could not be reached.
  NotDone,
  /// No answer: may have been done, or may be done later.
  Unknown,
  /// Reads only: the records asked for are deleted.
  Gone,
  /// Appends only: a later epoch or another sequence number of this producer
  /// is known.
  Fenced,
};

/// Makes appends idempotent: the store takes each sequence number of a
/// producer once, and nothing of an epoch before the newest.
struct ProducerStamp
{
  std::string producer_;
  uint64_t epoch_ = 0;
  uint64_t sequence_ = 0;
};

/// A record in the form of a keyed topic, with its length.
std::string
EncodeRecord(const KeyedRecord& aRecord);

struct StoreRead
{
  StoreOutcome outcome_ = StoreOutcome::NotDone;
  /// Offset after the last record returned.
  uint64_t next_ = 0;
  std::vector<KeyedRecord> records_;
};

struct StorePage
{
  StoreOutcome outcome_ = StoreOutcome::NotDone;
  std::vector<KeyedRecord> records_;
  bool hasMore_ = false;
  /// End of the partition when the page was read.
  uint64_t end_ = 0;
};

/// Everything in partition 0. All calls and callbacks are on the event loop.
class StoreClient
{
public:
  StoreClient(asio::io_context& aLoop, const Endpoint& aStore);

  void Append(const std::string& aTopic,
              const std::vector<KeyedRecord>& aRecords,
              const std::optional<ProducerStamp>& aStamp,
              std::function<void(StoreOutcome)> aDone);
  /// Waits up to \p aWait for a record at or after \p aFrom.
  void Read(const std::string& aTopic,
            uint64_t aFrom,
            Millis aWait,
            std::function<void(StoreRead)> aDone);
  /// The newest records of the keys after \p aAfter.
  void Newest(const std::string& aTopic,
              const std::string& aAfter,
              std::function<void(StorePage)> aDone);

private:
  std::string Url(std::string_view aCall, const std::string& aTopic) const;

  const std::string base_;
  AsyncHttpClient http_;
};

/// Keeps the newest records of one keyed topic at hand.
class TopicReader
{
public:
  using Records = std::map<std::string, std::string>;

  struct Options
  {
    std::string topic_;
    /// Longest wait of one read; also bounds how long a connection that went
    /// silent goes unnoticed.
    Millis wait_{ 1000 };
    /// Called after each change with all records, and once after the first
    /// complete read.
    std::function<void(const Records&)> onChange_;
    /// Called with what has changed, in order; deleted keys have no value.
    std::function<void(const std::vector<KeyedRecord>&)> onRecords_;
    /// Called when reads begin to fail (false) or succeed again (true).
    std::function<void(bool)> onReachable_;
  };

  TopicReader(asio::io_context& aLoop, StoreClient& aStore, Options aOptions);
  ~TopicReader();
  TopicReader(const TopicReader&) = delete;
  TopicReader& operator=(const TopicReader&) = delete;

  /// True once everything has been read for the first time.
  bool Complete() const { return complete_; }

  /// When the newest successful read was begun, by BootNow.
  MonoTime NewestRead() const { return newestRead_; }

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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Records records_;
  Records incoming_;
  uint64_t next_ = 0;
  MonoTime begun_;
  MonoTime newestRead_;
  bool complete_ = false;
  bool reachable_ = true;
};

} // namespace cornelfront::platform
