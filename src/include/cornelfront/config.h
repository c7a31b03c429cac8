#pragma once

/// \file
/// Published configuration: a set of versioned keys that every process folds
/// from the same log records by the same rule.
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
/// applied record plus one; 0 means that nothing was ever applied.
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

/// The result of folding a prefix of the log.
struct ConfigState
{
  /// Number of log records folded, that is, the offset to read next.
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
  /// True unless the zone was taken out.
  bool ZoneIsIn(const std::string& aZone) const;
  /// Names of the availability zones that run entries.
  std::vector<std::string> EntryZones() const;
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

/// One proposed change: applied only if \p base_ is still the version of its
/// key when the record is folded, so of two racing changes the first in the
/// log wins and a repeated append has no effect.
struct ConfigChange
{
  /// Chosen by the operator's client, to recognise its own record.
  std::string changeId_;
  /// Who made the change, for the history.
  std::string author_;
  std::string key_;
  ConfigVersion base_;
  std::string text_;
};

/// The state as of an offset; lets readers start after the log's retention
/// has removed older records. Never applied over a state that is not older.
struct ConfigSnapshot
{
  ConfigState state_;
};

/// A record that is neither a change nor a snapshot is not valid.
class ConfigRecordError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// JSON text of a log record.
std::string
EncodeConfigRecord(const ConfigChange& aChange);
std::string
EncodeConfigRecord(const ConfigSnapshot& aSnapshot);

enum class FoldResult
{
  Applied,
  /// The base version was not the key's version any more.
  Conflict,
  /// A snapshot that is not newer than what is known.
  SnapshotIgnored,
  SnapshotLoaded,
  /// The record could not be decoded; every reader skips it.
  Invalid,
};

/// Folds the record at \p aOffset, which must be aState.nextOffset_ unless it
/// is a snapshot that covers the gap.
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
