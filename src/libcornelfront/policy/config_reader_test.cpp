#include "cornelfront/config_reader.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

std::string
Change(const std::string& aKey, uint64_t aBase, const std::string& aText)
{
  return EncodeConfigRecord(
    ConfigChange{ .key_ = aKey, .base_ = { aBase }, .text_ = aText });
}

/// Returns the page that a log with these records would return.
LogPage
Page(const std::vector<std::string>& aRecords,
     uint64_t aFirst,
     uint64_t aFrom,
     size_t aMax = 1000)
{
  LogPage page{ .first_ = aFirst, .next_ = aRecords.size() };
  for (uint64_t offset = std::max(aFirst, aFrom);
       offset < aRecords.size() && page.records_.size() < aMax;
       ++offset) {
    page.records_.push_back({ .offset_ = offset, .body_ = aRecords[offset] });
  }
  return page;
}

ConfigState
Fold(const std::vector<std::string>& aRecords)
{
  ConfigReader reader;
  reader.OnPage(Page(aRecords, 0, 0));
  return reader.State();
}

TEST(ConfigReader, FoldsPageByPage)
{
  const std::vector<std::string> log{ Change("a", 0, "1"),
                                      Change("a", 0, "2"),
                                      Change("b", 0, "3") };
  ConfigReader reader;
  const auto first = reader.OnPage(Page(log, 0, reader.NextRead(), 2));
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0].result_, FoldResult::Applied);
  EXPECT_EQ(first[1].result_, FoldResult::Conflict);
  EXPECT_FALSE(reader.AtHead());
  reader.OnPage(Page(log, 0, reader.NextRead(), 2));
  EXPECT_TRUE(reader.AtHead());
  EXPECT_EQ(reader.State(), Fold(log));
}

TEST(ConfigReader, SnapshotClosesAGap)
{
  std::vector<std::string> log{ Change("a", 0, "1"), Change("a", 1, "2") };
  log.push_back(EncodeConfigRecord(ConfigSnapshot{ Fold(log) }));
  log.push_back(Change("b", 0, "3"));
  for (uint64_t first = 1; first <= 2; ++first) {
    ConfigReader reader;
    while (!reader.AtHead()) {
      reader.OnPage(Page(log, first, reader.NextRead(), 1));
    }
    EXPECT_EQ(reader.State(), Fold(log));
    EXPECT_FALSE(reader.HasGap());
  }
}

TEST(ConfigReader, IgnoresASnapshotWithoutItsSuccessors)
{
  std::vector<std::string> log{ Change("a", 0, "1") };
  const std::string snapshot = EncodeConfigRecord(ConfigSnapshot{ Fold(log) });
  log.push_back(Change("a", 1, "2"));
  log.push_back(snapshot);
  ConfigReader reader;
  reader.OnPage(Page(log, 2, reader.NextRead()));
  EXPECT_TRUE(reader.HasGap());
  EXPECT_FALSE(reader.AtHead());
  EXPECT_EQ(reader.State(), ConfigState{});
  log.push_back(EncodeConfigRecord(ConfigSnapshot{ Fold(log) }));
  while (!reader.AtHead()) {
    reader.OnPage(Page(log, 2, reader.NextRead()));
  }
  EXPECT_EQ(reader.State(), Fold(log));
}

TEST(ConfigReader, EmptyRetainedLogIsAGap)
{
  ConfigReader reader;
  reader.OnPage({ .first_ = 5, .next_ = 5 });
  EXPECT_TRUE(reader.HasGap());
  EXPECT_FALSE(reader.AtHead());
}

TEST(ConfigReader, OfferedStateClosesAGap)
{
  const ConfigState peer = Fold({ Change("a", 0, "1"), Change("a", 1, "2") });
  ConfigReader reader;
  reader.OnPage({ .first_ = 2, .next_ = 2 });
  EXPECT_TRUE(reader.Offer(peer));
  EXPECT_FALSE(reader.AtHead());
  reader.OnPage({ .first_ = 2, .next_ = 2 });
  EXPECT_TRUE(reader.AtHead());
  EXPECT_FALSE(reader.Offer(peer));
  EXPECT_FALSE(reader.Offer(Fold({ Change("a", 0, "1") })));
  EXPECT_EQ(reader.State(), peer);
}

TEST(ConfigReader, PageOlderThanAnOfferIsNotAtHead)
{
  const std::vector<std::string> log{ Change("a", 0, "1"),
                                      Change("a", 1, "2") };
  const LogPage early = Page({ log[0] }, 0, 0);
  ConfigReader reader;
  reader.Offer(Fold(log));
  EXPECT_TRUE(reader.OnPage(early).empty());
  EXPECT_FALSE(reader.AtHead());
  EXPECT_EQ(reader.State(), Fold(log));
}

/// Reads a log of \p aChanges changes with one snapshot at \p aSnapshot.
ConfigReader
ReaderOf(uint64_t aChanges, std::optional<uint64_t> aSnapshot, uint64_t aFirst)
{
  std::vector<std::string> log;
  for (uint64_t i = 0; i < aChanges; ++i) {
    log.push_back(aSnapshot == i
                    ? EncodeConfigRecord(ConfigSnapshot{ Fold(log) })
                    : Change("key" + std::to_string(i), 0, "x"));
  }
  ConfigReader reader;
  reader.OnPage(Page(log, 0, 0));
  reader.OnPage(Page(log, aFirst, reader.NextRead()));
  return reader;
}

TEST(ConfigReader, SnapshotIsDueByCountAgeAndRetention)
{
  const SnapshotOptions options{ .maxRecords_ = 10, .maxAge_ = Millis(1000) };
  const struct
  {
    const char* name_;
    ConfigReader reader_;
    Millis since_;
    bool due_;
  } cases[] = {
    { "empty log", ReaderOf(0, {}, 0), Millis(5000), false },
    { "few records", ReaderOf(9, {}, 0), Millis(0), false },
    { "many records", ReaderOf(11, {}, 0), Millis(0), true },
    { "many records, recent snapshot", ReaderOf(11, 5, 0), Millis(0), false },
    { "old snapshot by time", ReaderOf(5, 4, 0), Millis(1000), true },
    { "snapshot in the newer half", ReaderOf(9, 6, 3), Millis(0), false },
    { "snapshot in the older half", ReaderOf(9, 5, 3), Millis(0), true },
    { "no snapshot retained", ReaderOf(9, {}, 3), Millis(0), true },
  };
  for (const auto& test : cases) {
    EXPECT_EQ(IsSnapshotDue(test.reader_, test.since_, options), test.due_)
      << test.name_;
  }
}

} // namespace
} // namespace cornelfront
