#pragma once

/// \file
/// Folding of log pages into a configuration, also across a gap that the log's
/// retention has left, and the decision when a snapshot is due. Pure: no I/O,
/// no clock, no lock.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/log_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelfront {

/// What became of one record.
struct FoldedRecord
{
  uint64_t offset_ = 0;
  FoldResult result_ = FoldResult::Applied;
  std::string body_;
};

/// Folds the pages of one stream, whatever offset it starts from. Not
/// thread-safe.
class ConfigReader
{
public:
  ConfigReader() = default;
  explicit ConfigReader(ConfigState aState);

  /// Offset from which to read the next page.
  uint64_t NextRead() const;

  /// Folds a page that was read from NextRead(), and returns what became of
  /// each record that was used. Records that are known already are left out.
  std::vector<FoldedRecord> OnPage(const LogPage& aPage);

  /// Takes a state from another process; false if it is not newer.
  bool Offer(const ConfigState& aState);

  const ConfigState& State() const { return state_; }

  /// True if the last page ended at the log's head and everything before it
  /// is folded.
  bool AtHead() const { return atHead_; }

  /// True if records were removed from the log before they were read, and no
  /// snapshot has been found that stands for them.
  bool HasGap() const { return state_.nextOffset_ < first_; }

  /// Oldest retained offset and next offset as of the last page.
  uint64_t First() const { return first_; }
  uint64_t Next() const { return next_; }

  /// Offset of the newest snapshot record seen.
  std::optional<uint64_t> SnapshotRecord() const { return snapshotRecord_; }

private:
  void FoldInOrder(const LogPage& aPage, std::vector<FoldedRecord>& aFolded);
  void SearchSnapshot(const LogPage& aPage, std::vector<FoldedRecord>& aFolded);

  ConfigState state_;
  uint64_t first_ = 0;
  uint64_t next_ = 0;
  /// Where the search for a snapshot goes on while there is a gap.
  uint64_t searchFrom_ = 0;
  bool atHead_ = false;
  std::optional<uint64_t> snapshotRecord_;
};

struct SnapshotOptions
{
  /// Records after the newest snapshot that make a new one due.
  uint64_t everyRecords_ = 200;
  /// Age of the newest snapshot that makes a new one due; must be well below
  /// the time for which the log keeps records.
  Millis every_ = std::chrono::minutes(1);
  /// Pause between two snapshots of one process.
  Millis minPause_{ 2000 };
  /// Random delay after a snapshot is due, so that most processes see another
  /// one's snapshot and append none.
  Millis jitter_{ 1500 };
};

/// True if a reader should append a snapshot: too many records or too long a
/// time since the newest one, or that one is in the older half of what the log
/// retains. \p aSinceSnapshot is the time since a snapshot was seen.
bool
IsSnapshotDue(const ConfigReader& aReader,
              Millis aSinceSnapshot,
              const SnapshotOptions& aOptions);

} // namespace cornelfront
