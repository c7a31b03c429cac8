#pragma once

/// \file
/// Client of the platform's store: an append-only log of topics in partitions,
/// some of which keep the newest record of each key.

#include "cornelfront/async_http_client.h"
#include "cornelfront/clock.h"
#include "cornelfront/settings.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
};

/// A record of a keyed topic; without a value it deletes the key.
struct KeyedRecord
{
  std::string key_;
  std::string value_;
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
    /// Called after each change, and once after the first complete read.
    std::function<void(const Records&)> onChange_;
    /// Called when reads begin to fail (false) or succeed again (true).
    std::function<void(bool)> onReachable_;
  };

  TopicReader(asio::io_context& aLoop, StoreClient& aStore, Options aOptions);
  ~TopicReader();
  TopicReader(const TopicReader&) = delete;
  TopicReader& operator=(const TopicReader&) = delete;

  /// True once everything has been read for the first time.
  bool Complete() const { return complete_; }

private:
  void ReadPage(const std::string& aAfter);
  void OnPage(const std::string& aAfter, const StorePage& aPage);
  void Tail();
  void OnTail(const StoreRead& aRead);
  void Retry(void (TopicReader::*aStep)());
  void Restart() { ReadPage(""); }
  void NoteReachable(bool aReachable);

  asio::steady_timer timer_;
  StoreClient& store_;
  const Options options_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Records records_;
  Records incoming_;
  uint64_t next_ = 0;
  bool complete_ = false;
  bool reachable_ = true;
};

} // namespace cornelfront::platform
