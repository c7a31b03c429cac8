#pragma once

/// \file
/// Published configuration: a set of versioned keys. Every process computes it
/// by applying the same log records in order, under the same rules.
///
/// Keys: "schema/<service>" (YAML text of a service schema), "zone/<name>"
/// ("in" or "out"), "policy" (YAML text of the dispatch policy),
/// "entry_zones" (comma-separated names of the availability zones that run
/// entries).

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// Version of a key or of a whole configuration: the log offset of the last
/// applied record plus one; 0 means that no record has been applied.
struct ConfigVersion
{
  uint64_t value_ = 0;

  auto operator<=>(const ConfigVersion&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(value_);
  }
};

/// Value of a key, and the version of the change that set it.
struct ConfigValue
{
  ConfigVersion version_;
  std::string text_;

  bool operator==(const ConfigValue&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(version_, text_);
  }
};

/// The configuration after all records before \c nextOffset_ were applied.
struct ConfigState
{
  /// Offset of the next record to read.
  uint64_t nextOffset_ = 0;
  /// Highest version of any key.
  ConfigVersion version_;
  std::map<std::string, ConfigValue> keys_;

  bool operator==(const ConfigState&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(nextOffset_, version_, keys_);
  }

  /// Returns the value of \p aKey; version 0 and empty text if unset.
  ConfigValue Get(const std::string& aKey) const;
  /// Returns true unless the key "zone/<name>" takes the zone out of service.
  bool ZoneIsIn(const std::string& aZone) const;
  /// Returns the names of the availability zones that run entries.
  std::vector<std::string> EntryZones() const;
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

/// A proposed change with optimistic concurrency control: it is applied only if
/// \c base_ is the version of its key when the record is applied. Of two
/// concurrent changes, the first in the log wins, and a repeated append has no
/// effect.
struct ConfigChange
{
  /// Chosen by the operator's client, which identifies its own record by it.
  std::string changeId_;
  /// Author of the change, shown in the history.
  std::string author_;
  std::string key_;
  ConfigVersion base_;
  std::string text_;
};

/// The configuration at an offset. Readers can start from it after the log's
/// retention has removed older records. It never replaces a state that is not
/// older.
struct ConfigSnapshot
{
  ConfigState state_;
};

/// Thrown for a record that is neither a valid change nor a valid snapshot.
class ConfigRecordError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Returns the JSON text of a log record.
std::string
EncodeConfigRecord(const ConfigChange& aChange);
std::string
EncodeConfigRecord(const ConfigSnapshot& aSnapshot);

/// What applying a record did.
enum class FoldResult
{
  Applied,
  /// The base version is no longer the version of the key.
  Conflict,
  /// The snapshot is not newer than the present state.
  SnapshotIgnored,
  SnapshotLoaded,
  /// The record cannot be decoded; every reader skips it.
  Invalid,
};

/// Applies the record at \p aOffset, which must be \c aState.nextOffset_ unless
/// the record is a snapshot that covers the gap.
/// \throws std::logic_error if records were skipped.
FoldResult
FoldConfigRecord(ConfigState& aState,
                 uint64_t aOffset,
                 const std::string& aBody);

/// Returns the change in \p aBody, or nullopt if it is not a change.
std::optional<ConfigChange>
DecodeConfigChange(const std::string& aBody);

/// Returns the snapshot in \p aBody, or nullopt if it is not a snapshot.
std::optional<ConfigSnapshot>
DecodeConfigSnapshot(const std::string& aBody);

} // namespace cornelfront
