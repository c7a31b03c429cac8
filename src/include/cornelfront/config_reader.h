#pragma once

/// \file
/// Applies pages of the log to a configuration, recovers from a gap left by the
/// retention of the log, and decides when a snapshot is due. Performs no I/O,
/// reads no clock and takes no lock.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/log_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelfront {

/// A record and the result of applying it.
struct FoldedRecord
{
  uint64_t offset_ = 0;
  FoldResult result_ = FoldResult::Applied;
  std::string body_;
};

/// Builds the configuration from the pages of one stream, starting at any
/// offset. Not thread-safe.
class ConfigReader
{
public:
  ConfigReader() = default;
  explicit ConfigReader(ConfigState aState);

  /// Offset from which to read the next page.
  uint64_t NextRead() const;

  /// Applies a page that was read from NextRead() and returns each record that
  /// was used, with its result. Records that were applied before are left out.
  std::vector<FoldedRecord> OnPage(const LogPage& aPage);

  /// Adopts a state received from another process; returns false if it is not
  /// newer.
  bool Offer(const ConfigState& aState);

  const ConfigState& State() const { return state_; }

  /// True if the last page ended at the head of the log and every record before
  /// it has been applied.
  bool AtHead() const { return atHead_; }

  /// True if records were removed from the log before they were read, and no
  /// snapshot that covers them has been found.
  bool HasGap() const { return state_.nextOffset_ < first_; }

  /// Oldest retained offset and offset of the next record to be appended, both
  /// as of the last page.
  uint64_t First() const { return first_; }
  uint64_t Next() const { return next_; }

  /// Offset of the newest snapshot record seen.
  std::optional<uint64_t> SnapshotOffset() const { return snapshotOffset_; }

private:
  void FoldInOrder(const LogPage& aPage, std::vector<FoldedRecord>& aFolded);
  void FindSnapshot(const LogPage& aPage, std::vector<FoldedRecord>& aFolded);

  ConfigState state_;
  uint64_t first_ = 0;
  uint64_t next_ = 0;
  /// Offset at which the search for a snapshot continues while there is a gap.
  uint64_t searchOffset_ = 0;
  bool atHead_ = false;
  std::optional<uint64_t> snapshotOffset_;
};

struct SnapshotOptions
{
  /// Number of records after the newest snapshot that makes a new one due.
  uint64_t maxRecords_ = 200;
  /// Age of the newest snapshot that makes a new one due. Must be well below
  /// the retention time of the log.
  Millis maxAge_ = std::chrono::minutes(1);
  /// Minimum time between two snapshots by the same process.
  Millis minInterval_{ 2000 };
  /// Upper bound of the random delay once a snapshot is due, so that most
  /// processes see the snapshot of another process and append none.
  Millis maxJitter_{ 1500 };
};

/// Returns true if a reader should append a snapshot: because too many records
/// or too much time have passed since the newest one, or because that one lies
/// in the older half of the retained log. \p aSinceSnapshot is the time since a
/// snapshot was last seen.
bool
IsSnapshotDue(const ConfigReader& aReader,
              Millis aSinceSnapshot,
              const SnapshotOptions& aOptions);

} // namespace cornelfront
