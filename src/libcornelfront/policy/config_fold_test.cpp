#include "cornelfront/config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace cornelfront {
namespace {

std::string
Change(const std::string& aKey, uint64_t aBase, const std::string& aText)
{
  return EncodeConfigRecord(ConfigChange{ .changeId_ = "id-" + aText,
                                          .author_ = "test",
                                          .key_ = aKey,
                                          .base_ = { aBase },
                                          .text_ = aText });
}

std::string
Snapshot(const ConfigState& aState)
{
  return EncodeConfigRecord(ConfigSnapshot{ .state_ = aState });
}

/// Applies all records from the next offset of the state on.
ConfigState
Fold(const std::vector<std::string>& aRecords, ConfigState aState = {})
{
  while (aState.nextOffset_ < aRecords.size()) {
    const uint64_t offset = aState.nextOffset_;
    FoldConfigRecord(aState, offset, aRecords[offset]);
  }
  return aState;
}

TEST(ConfigFold, AppliesAChangeOnItsBase)
{
  ConfigState state;
  EXPECT_EQ(FoldConfigRecord(state, 0, Change("zone/a", 0, "out")),
            FoldResult::Applied);
  EXPECT_EQ(state.nextOffset_, 1U);
  EXPECT_EQ(state.version_, ConfigVersion{ 1 });
  EXPECT_EQ(state.Get("zone/a"),
            (ConfigValue{ .version_ = { 1 }, .text_ = "out" }));
  EXPECT_FALSE(state.ZoneIsIn("a"));
  EXPECT_TRUE(state.ZoneIsIn("b"));
}

TEST(ConfigFold, FirstOfTwoConcurrentChangesWins)
{
  ConfigState state;
  EXPECT_EQ(FoldConfigRecord(state, 0, Change("zone/a", 0, "out")),
            FoldResult::Applied);
  EXPECT_EQ(FoldConfigRecord(state, 1, Change("zone/a", 0, "in")),
            FoldResult::Conflict);
  EXPECT_EQ(state.Get("zone/a").text_, "out");
  EXPECT_EQ(state.version_, ConfigVersion{ 1 });
  EXPECT_EQ(state.nextOffset_, 2U);
}

TEST(ConfigFold, ChangesOfDifferentKeysDoNotConflict)
{
  const ConfigState state =
    Fold({ Change("zone/a", 0, "out"), Change("zone/b", 0, "out") });
  EXPECT_FALSE(state.ZoneIsIn("a"));
  EXPECT_FALSE(state.ZoneIsIn("b"));
}

TEST(ConfigFold, RepeatedAppendHasNoEffect)
{
  const std::string out = Change("zone/a", 0, "out");
  const ConfigState state = Fold({ out, Change("zone/a", 1, "in"), out, out });
  EXPECT_EQ(state.Get("zone/a").text_, "in");
  EXPECT_EQ(state.version_, ConfigVersion{ 2 });
}

TEST(ConfigFold, RepeatedConflictHasNoEffect)
{
  const std::string late = Change("zone/a", 0, "in");
  const ConfigState state =
    Fold({ Change("zone/a", 0, "out"), late, Change("zone/b", 0, "x"), late });
  EXPECT_EQ(state.Get("zone/a").text_, "out");
}

TEST(ConfigFold, LateSnapshotIsIgnored)
{
  const ConfigState old = Fold({ Change("zone/a", 0, "in") });
  ConfigState state =
    Fold({ Change("zone/a", 0, "in"), Change("zone/a", 1, "out") });
  EXPECT_EQ(FoldConfigRecord(state, 2, Snapshot(old)),
            FoldResult::SnapshotIgnored);
  EXPECT_FALSE(state.ZoneIsIn("a"));
  EXPECT_EQ(state.nextOffset_, 3U);
}

TEST(ConfigFold, SnapshotCoversAGap)
{
  const ConfigState full =
    Fold({ Change("zone/a", 0, "out"), Change("policy", 0, "p") });
  ConfigState state;
  EXPECT_EQ(FoldConfigRecord(state, 5, Snapshot(full)),
            FoldResult::SnapshotLoaded);
  EXPECT_EQ(state, full);
}

TEST(ConfigFold, OutdatedSnapshotAfterAGapIsIgnored)
{
  const ConfigState old = Fold({ Change("zone/a", 0, "in") });
  ConfigState state =
    Fold({ Change("zone/a", 0, "in"), Change("zone/a", 1, "out") });
  const ConfigState before = state;
  EXPECT_EQ(FoldConfigRecord(state, 9, Snapshot(old)),
            FoldResult::SnapshotIgnored);
  EXPECT_EQ(state, before);
}

TEST(ConfigFold, SkippingRecordsIsALogicError)
{
  ConfigState state = Fold({ Change("zone/a", 0, "in") });
  const ConfigState before = state;
  EXPECT_THROW(FoldConfigRecord(state, 2, Change("zone/a", 1, "out")),
               std::logic_error);
  EXPECT_THROW(FoldConfigRecord(state, 0, Change("zone/a", 1, "out")),
               std::logic_error);
  EXPECT_THROW(FoldConfigRecord(state, 2, "junk"), std::logic_error);
  EXPECT_EQ(state, before);
}

const std::string kInvalidRecords[] = {
  "",
  "junk",
  "[]",
  "{}",
  R"({"kind":1})",
  R"({"kind":"other"})",
  R"({"kind":"change"})",
  R"({"kind":"change","id":"i","author":"a","key":"k","base":-1,"text":"t"})",
  R"({"kind":"change","id":"i","author":"a","key":"k","base":1.5,"text":"t"})",
  R"({"kind":"change","id":"i","author":"a","key":"","base":0,"text":"t"})",
  R"({"kind":"change","id":"i","author":"a","key":"k","base":0,"text":7})",
  R"({"kind":"snapshot","next":0})",
  R"({"kind":"snapshot","next":0,"keys":[]})",
  R"({"kind":"snapshot","next":0,"keys":{"k":1}})",
  R"({"kind":"snapshot","next":0,"keys":{"k":{"version":1,"text":"t"}}})",
  R"({"kind":"snapshot","next":99,"keys":{}})",
  "{\"kind\":\"\xff\"}",
};

TEST(ConfigFold, SkipsInvalidRecords)
{
  for (const std::string& record : kInvalidRecords) {
    SCOPED_TRACE(record);
    ConfigState state = Fold({ Change("zone/a", 0, "out") });
    EXPECT_EQ(FoldConfigRecord(state, 1, record), FoldResult::Invalid);
    EXPECT_EQ(state.nextOffset_, 2U);
    EXPECT_EQ(state.version_, ConfigVersion{ 1 });
    EXPECT_EQ(state.keys_.size(), 1U);
    EXPECT_FALSE(DecodeConfigChange(record));
  }
}

TEST(ConfigFold, ChangeRoundTrips)
{
  const auto change = DecodeConfigChange(Change("schema/x", 7, "a: \"b\"\n"));
  ASSERT_TRUE(change);
  EXPECT_EQ(change->key_, "schema/x");
  EXPECT_EQ(change->base_, ConfigVersion{ 7 });
  EXPECT_EQ(change->text_, "a: \"b\"\n");
  EXPECT_EQ(change->author_, "test");
  EXPECT_FALSE(DecodeConfigChange(Snapshot({})));
}

TEST(ConfigFold, RejectsTextThatIsNotUtf8)
{
  EXPECT_THROW(Change("k", 0, "\xff"), ConfigRecordError);
}

TEST(ConfigState, ListsEntryZones)
{
  const struct
  {
    const char* text_;
    std::vector<std::string> zones_;
  } cases[] = {
    { "", {} },
    { "a", { "a" } },
    { "a,b,c", { "a", "b", "c" } },
    { " a , b,,a\n", { "a", "b" } },
  };
  for (const auto& test : cases) {
    const ConfigState state = Fold({ Change("entry_zones", 0, test.text_) });
    EXPECT_EQ(state.EntryZones(), test.zones_);
  }
}

/// Returns a random log: changes with current and outdated bases, repeated
/// records, invalid records, and snapshots as any process may append them,
/// early or late.
std::vector<std::string>
RandomLog(std::mt19937_64& aRandom, size_t aCount)
{
  std::vector<std::string> records;
  std::vector<ConfigState> prefixes{ {} };
  while (records.size() < aCount) {
    const std::string key = "zone/" + std::to_string(aRandom() % 3);
    const ConfigState& head = prefixes.back();
    std::string record;
    switch (aRandom() % 6) {
      case 0:
        record = "junk";
        break;
      case 1:
        record = Snapshot(prefixes[aRandom() % prefixes.size()]);
        break;
      case 2:
        record = records.empty() ? "" : records[aRandom() % records.size()];
        break;
      case 3:
        record = Change(key, aRandom() % (records.size() + 1), "stale");
        break;
      default:
        record = Change(
          key, head.Get(key).version_.value_, std::to_string(records.size()));
    }
    records.push_back(record);
    prefixes.push_back(Fold(records, head));
  }
  return records;
}

/// Reads the log like a process that starts with \p aState while only the
/// records from \p aFirst on are retained; nullopt if no retained snapshot
/// covers the gap.
std::optional<ConfigState>
ReadRetained(const std::vector<std::string>& aRecords,
             size_t aFirst,
             ConfigState aState)
{
  for (size_t offset = aFirst;
       offset < aRecords.size() && aState.nextOffset_ < aFirst;
       ++offset) {
    try {
      FoldConfigRecord(aState, offset, aRecords[offset]);
    } catch (const std::logic_error&) {
      continue; // not a snapshot
    }
  }
  if (aState.nextOffset_ < aFirst) {
    return std::nullopt;
  }
  return Fold(aRecords, aState);
}

TEST(ConfigFold, AllReadersFoldToTheSameState)
{
  constexpr size_t kRecords = 24;
  size_t closedGaps = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const auto records = RandomLog(random, kRecords);
    const ConfigState expected = Fold(records);
    for (size_t known = 0; known <= kRecords; ++known) {
      const ConfigState start =
        Fold({ records.begin(), records.begin() + static_cast<long>(known) });
      for (size_t first = 0; first < kRecords; ++first) {
        const auto read = ReadRetained(records, first, start);
        if (read) {
          closedGaps += first > known ? 1 : 0;
          ASSERT_EQ(*read, expected) << known << " " << first;
        }
      }
    }
  }
  EXPECT_GT(closedGaps, 100U);
}

} // namespace
} // namespace cornelfront
