#include "cornelfront/config.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <variant>

namespace cornelfront {

namespace {

using Json = nlohmann::json;

constexpr const char* kKindChange = "change";
constexpr const char* kKindSnapshot = "snapshot";
constexpr const char* kEntryZonesKey = "entry_zones";
constexpr const char* kZonePrefix = "zone/";
constexpr const char* kZoneOut = "out";

using ConfigRecord = std::variant<ConfigChange, ConfigSnapshot>;

std::string
Dump(const Json& aJson)
{
  try {
    return aJson.dump();
  } catch (const Json::exception& error) {
    throw ConfigRecordError(std::string("not valid UTF-8: ") + error.what());
  }
}

const Json&
Field(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    throw ConfigRecordError(std::string("missing field '") + aName + "'");
  }
  return *found;
}

std::string
StringField(const Json& aObject, const char* aName)
{
  const Json& field = Field(aObject, aName);
  if (!field.is_string()) {
    throw ConfigRecordError(std::string("field '") + aName +
                            "' is not a string");
  }
  return field.get<std::string>();
}

uint64_t
UnsignedField(const Json& aObject, const char* aName)
{
  const Json& field = Field(aObject, aName);
  if (!field.is_number_unsigned()) {
    throw ConfigRecordError(std::string("field '") + aName +
                            "' is not an unsigned integer");
  }
  return field.get<uint64_t>();
}

ConfigChange
ChangeFromJson(const Json& aJson)
{
  ConfigChange change;
  change.changeId_ = StringField(aJson, "id");
  change.author_ = StringField(aJson, "author");
  change.key_ = StringField(aJson, "key");
  change.base_.value_ = UnsignedField(aJson, "base");
  change.text_ = StringField(aJson, "text");
  if (change.key_.empty()) {
    throw ConfigRecordError("field 'key' is empty");
  }
  return change;
}

ConfigSnapshot
SnapshotFromJson(const Json& aJson)
{
  ConfigState state;
  state.nextOffset_ = UnsignedField(aJson, "next");
  const Json& keys = Field(aJson, "keys");
  if (!keys.is_object()) {
    throw ConfigRecordError("field 'keys' is not an object");
  }
  for (const auto& [key, value] : keys.items()) {
    if (!value.is_object()) {
      throw ConfigRecordError("key '" + key + "' is not an object");
    }
    ConfigValue parsed;
    parsed.version_.value_ = UnsignedField(value, "version");
    parsed.text_ = StringField(value, "text");
    state.version_ = std::max(state.version_, parsed.version_);
    state.keys_[key] = std::move(parsed);
  }
  // A version is the offset of a record before the snapshot, plus one.
  if (state.version_.value_ > state.nextOffset_) {
    throw ConfigRecordError(
      "snapshot contains version " + std::to_string(state.version_.value_) +
      ", beyond its next offset " + std::to_string(state.nextOffset_));
  }
  return { .state_ = std::move(state) };
}

/// \throws ConfigRecordError
ConfigRecord
DecodeRecord(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    throw ConfigRecordError("record is not a JSON object");
  }
  const std::string kind = StringField(json, "kind");
  if (kind == kKindChange) {
    return ChangeFromJson(json);
  }
  if (kind == kKindSnapshot) {
    return SnapshotFromJson(json);
  }
  throw ConfigRecordError("unknown record kind '" + kind + "'");
}

template<class Kind>
std::optional<Kind>
DecodeAs(const std::string& aBody)
{
  try {
    ConfigRecord record = DecodeRecord(aBody);
    if (auto* found = std::get_if<Kind>(&record)) {
      return std::move(*found);
    }
  } catch (const ConfigRecordError&) {
    return std::nullopt;
  }
  return std::nullopt;
}

/// Visitor for ConfigRecord that applies one decoded record to the state.
struct FoldVisitor
{
  ConfigState& state_;
  uint64_t offset_;

  FoldResult operator()(ConfigChange& aChange) const
  {
    RequireNext();
    ++state_.nextOffset_;
    if (state_.Get(aChange.key_).version_ != aChange.base_) {
      return FoldResult::Conflict;
    }
    state_.version_.value_ = offset_ + 1;
    state_.keys_[aChange.key_] = { .version_ = state_.version_,
                                   .text_ = std::move(aChange.text_) };
    return FoldResult::Applied;
  }

  FoldResult operator()(ConfigSnapshot& aSnapshot) const
  {
    // A snapshot cannot cover records that come after it.
    const bool coversLaterRecords = aSnapshot.state_.nextOffset_ > offset_;
    if (offset_ == state_.nextOffset_) {
      ++state_.nextOffset_;
      return coversLaterRecords ? FoldResult::Invalid
                                : FoldResult::SnapshotIgnored;
    }
    if (coversLaterRecords) {
      return FoldResult::Invalid;
    }
    if (aSnapshot.state_.nextOffset_ <= state_.nextOffset_) {
      return FoldResult::SnapshotIgnored;
    }
    state_ = std::move(aSnapshot.state_);
    return FoldResult::SnapshotLoaded;
  }

  void RequireNext() const
  {
    if (offset_ != state_.nextOffset_) {
      throw std::logic_error("record " + std::to_string(offset_) +
                             " applied, but record " +
                             std::to_string(state_.nextOffset_) + " is next");
    }
  }
};

} // namespace

ConfigValue
ConfigState::Get(const std::string& aKey) const
{
  const auto found = keys_.find(aKey);
  return found == keys_.end() ? ConfigValue{} : found->second;
}

bool
ConfigState::ZoneIsIn(const std::string& aZone) const
{
  return Get(kZonePrefix + aZone).text_ != kZoneOut;
}

std::vector<std::string>
ConfigState::EntryZones() const
{
  std::vector<std::string> zones;
  std::string zone;
  for (const char c : Get(kEntryZonesKey).text_ + ",") {
    if (c == ' ' || c == '\n') {
      continue;
    }
    if (c != ',') {
      zone += c;
      continue;
    }
    if (!zone.empty() &&
        std::find(zones.begin(), zones.end(), zone) == zones.end()) {
      zones.push_back(zone);
    }
    zone.clear();
  }
  return zones;
}

std::string
EncodeConfigRecord(const ConfigChange& aChange)
{
  return Dump({ { "kind", kKindChange },
                { "id", aChange.changeId_ },
                { "author", aChange.author_ },
                { "key", aChange.key_ },
                { "base", aChange.base_.value_ },
                { "text", aChange.text_ } });
}

std::string
EncodeConfigRecord(const ConfigSnapshot& aSnapshot)
{
  Json keys = Json::object();
  for (const auto& [key, value] : aSnapshot.state_.keys_) {
    keys[key] = { { "version", value.version_.value_ },
                  { "text", value.text_ } };
  }
  return Dump({ { "kind", kKindSnapshot },
                { "next", aSnapshot.state_.nextOffset_ },
                { "keys", std::move(keys) } });
}

FoldResult
FoldConfigRecord(ConfigState& aState,
                 uint64_t aOffset,
                 const std::string& aBody)
{
  const FoldVisitor visitor{ .state_ = aState, .offset_ = aOffset };
  if (aOffset < aState.nextOffset_) {
    visitor.RequireNext();
  }
  std::optional<ConfigRecord> record;
  try {
    record = DecodeRecord(aBody);
  } catch (const ConfigRecordError&) {
    visitor.RequireNext();
    ++aState.nextOffset_;
    return FoldResult::Invalid;
  }
  return std::visit(visitor, *record);
}

std::optional<ConfigChange>
DecodeConfigChange(const std::string& aBody)
{
  return DecodeAs<ConfigChange>(aBody);
}

std::optional<ConfigSnapshot>
DecodeConfigSnapshot(const std::string& aBody)
{
  return DecodeAs<ConfigSnapshot>(aBody);
}

} // namespace cornelfront
