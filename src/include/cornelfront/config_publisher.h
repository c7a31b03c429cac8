#pragma once

/// \file
/// Reads the configuration history from the log and publishes a change.
/// Publishing reads the log back, so that its outcome is known even if a
/// response to the append is lost.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/log_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelfront {

/// One retained log record and the result of applying it, which is the same for
/// every reader.
struct HistoryRecord
{
  uint64_t offset_ = 0;
  FoldResult result_ = FoldResult::Invalid;
  /// Set if the record is a change.
  std::optional<ConfigChange> change_;
};

/// The configuration state at the log's head and the records that led to it.
struct ConfigHistory
{
  ConfigState state_;
  std::vector<HistoryRecord> records_;
  /// Every non-empty value of `entry_zones` in the retained log.
  std::vector<std::vector<std::string>> zoneLists_;
};

/// Reads the log up to its head and applies every record.
/// \throws LogUnavailable, also if the retained log has a gap that no snapshot
/// covers
ConfigHistory
ReadConfigHistory(LogClient& aLog, Millis aTimeout);

struct PublishRequest
{
  /// Identifies the change. Publishing again with the same id has no further
  /// effect.
  std::string changeId_;
  std::string author_;
  std::string key_;
  std::string text_;
  /// Version that the change is based on; the current version if absent.
  std::optional<ConfigVersion> base_;
};

struct PublishOptions
{
  /// Timeout for each request to the log.
  Millis timeout_{ 3000 };
  Millis retryPause_{ 200 };
  /// Total time after which PublishChange() stops retrying.
  Millis totalTimeout_{ 15000 };
};

enum class PublishOutcome
{
  /// The change was read back from the log as applied.
  Applied,
  /// The key already had this text; nothing was appended.
  Unchanged,
  /// Another change of the key was applied first.
  Conflict,
};

struct PublishResult
{
  PublishOutcome outcome_ = PublishOutcome::Conflict;
  /// Current version of the key.
  ConfigVersion version_;
  ConfigHistory history_;
};

/// Appends the change and reads it back. Retries while the outcome is unknown.
/// \throws LogUnavailable if the outcome is still unknown after totalTimeout_.
/// The change may have been applied; publishing it again with the same id is
/// safe
/// \throws ConfigRecordError if the text is not valid UTF-8
PublishResult
PublishChange(LogClient& aLog,
              const PublishRequest& aRequest,
              const PublishOptions& aOptions);

} // namespace cornelfront
