#pragma once

/// \file
/// In-memory copy of one keyed topic of the platform's store.

#include "cornelfront/backoff.h"
#include "cornelfront/clock.h"
#include "cornelfront/keyed_record.h"
#include "platform/store_client.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront::platform {

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

  /// Returns the start time of the newest successful read up to the end of the
  /// topic, by BootNow.
  MonoTime LastReadStart() const { return lastReadStart_; }

  /// Returns the time since then: what the store accepted earlier is known
  /// here.
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
  /// The newest attempt ended without an answer.
  bool unanswered_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Records records_;
  Records pagedRecords_;
  uint64_t next_ = 0;
  MonoTime readStart_;
  MonoTime firstPageStart_;
  MonoTime lastReadStart_;
  bool complete_ = false;
  bool reachable_ = true;
};

} // namespace cornelfront::platform
