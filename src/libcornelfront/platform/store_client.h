#pragma once

/// \file
/// Client of the platform's store, an append-only log with partitioned topics.
/// Keyed topics are compacted: they keep the newest record of each key.

#include "cornelfront/async_http_client.h"
#include "cornelfront/clock.h"
#include "cornelfront/keyed_record.h"
#include "cornelfront/settings.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
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
  /// End of the partition when it was read; beyond next_ if more records follow
  /// than one answer holds.
  uint64_t end_ = 0;
  /// With Gone, the oldest offset that is retained.
  uint64_t first_ = 0;
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

/// How one attempt to read is made.
struct ReadAttempt
{
  /// The store answers without records only after this time.
  Millis wait_{ 0 };
  /// The first byte of the answer counts from the start of the attempt, \p
  /// wait_ included.
  ProgressLimits limits_;
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
  /// Reads records from offset \p aFrom on, or waits for the first one.
  void Read(const std::string& aTopic,
            uint64_t aFrom,
            ReadAttempt aAttempt,
            std::function<void(StoreRead)> aDone);
  /// Reads a page of the newest records of all keys greater than \p aAfter.
  void Newest(const std::string& aTopic,
              const std::string& aAfter,
              ReadAttempt aAttempt,
              std::function<void(StorePage)> aDone);

private:
  using Pool = std::shared_ptr<AsyncHttpClient>;

  std::string Url(std::string_view aCall, const std::string& aTopic) const;
  void Send(HttpClientRequest aRequest,
            ProgressLimits aLimits,
            AsyncHttpClient::Callback aDone);
  void ReplacePool();
  void CloseRetiredPools();

  asio::io_context& loop_;
  const std::string base_;
  /// Connections for new calls. A call without an answer replaces the pool,
  /// since whatever made its connection silent may have done so to the idle
  /// ones.
  Pool pool_;
  /// Earlier pools, until their last call has ended.
  std::vector<Pool> retiredPools_;
};

} // namespace cornelfront::platform
