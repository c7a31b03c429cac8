#pragma once

/// \file
/// Reading the configuration's history from the log, and appending one change
/// with a known outcome although answers may be lost.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/log_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelfront {

/// One retained log record and what every reader makes of it.
struct HistoryRecord
{
  uint64_t offset_ = 0;
  FoldResult result_ = FoldResult::Invalid;
  /// Set if the record is a change.
  std::optional<ConfigChange> change_;
};

/// The log folded to its head.
struct ConfigHistory
{
  ConfigState state_;
  std::vector<HistoryRecord> records_;
  /// Every value that `entry_zones` has had in the retained log; none empty.
  std::vector<std::vector<std::string>> zoneLists_;
};

/// Folds the log to its head.
/// \throws LogUnavailable, also if the retained log has a gap that no snapshot
/// covers
ConfigHistory
ReadConfigHistory(LogClient& aLog, Millis aTimeout);

struct PublishRequest
{
  /// Names the change; a repeated publication with the same id has no further
  /// effect.
  std::string changeId_;
  std::string author_;
  std::string key_;
  std::string text_;
  /// Version on which the change rests; the present one if absent.
  std::optional<ConfigVersion> base_;
};

struct PublishOptions
{
  /// Bound on each exchange with the log.
  Millis timeout_{ 3000 };
  Millis retryPause_{ 200 };
  /// Time after which no further attempt is made.
  Millis giveUpAfter_{ 15000 };
};

enum class PublishOutcome
{
  /// Read back from the log as applied.
  Applied,
  /// The key already has this text.
  Unchanged,
  /// Another change of the key came first.
  Conflict,
};

struct PublishResult
{
  PublishOutcome outcome_ = PublishOutcome::Conflict;
  /// Version of the key now.
  ConfigVersion version_;
  ConfigHistory history_;
};

/// Appends the change and reads it back, again as long as its fate is unknown.
/// \throws LogUnavailable if its fate stays unknown until giveUpAfter_; the
/// change may be applied, and publishing it again under the same id is safe
/// \throws ConfigRecordError if the text is not valid UTF-8
PublishResult
PublishChange(LogClient& aLog,
              const PublishRequest& aRequest,
              const PublishOptions& aOptions);

} // namespace cornelfront
