#pragma once

/// \file
/// One complete reading of what a topic of the store retains.

#include "cornelfront/backoff.h"
#include "cornelfront/clock.h"
#include "cornelfront/keyed_record.h"
#include "platform/store_client.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront::platform {

/// Reads all records that the topic had when the reading began, the newest
/// ones if they are very many, and then rests. Failed reads are repeated. All
/// calls and callbacks are on the thread of the event loop.
class HistoryReader
{
public:
  struct Options
  {
    std::string topic_;
    /// Called with some records at a time, in order, never from within the
    /// constructor.
    std::function<void(const std::vector<KeyedRecord>&)> onRecords_;
    /// Called once, after all records.
    std::function<void()> onComplete_;
  };

  HistoryReader(asio::io_context& aLoop, StoreClient& aStore, Options aOptions);
  ~HistoryReader();
  HistoryReader(const HistoryReader&) = delete;
  HistoryReader& operator=(const HistoryReader&) = delete;

  bool Complete() const { return complete_; }

private:
  void Read();
  void OnRead(const StoreRead& aRead);
  void ReadLater();

  asio::steady_timer timer_;
  StoreClient& store_;
  const Options options_;
  Backoff backoff_{ { .initial_ = Millis(20), .max_ = Millis(400) } };
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  MonoTime readStart_;
  uint64_t next_ = 0;
  /// End of the topic in the first answer; 0 before it.
  uint64_t end_ = 0;
  bool complete_ = false;
};

} // namespace cornelfront::platform
