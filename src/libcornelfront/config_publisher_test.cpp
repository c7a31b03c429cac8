#include "cornelfront/config_publisher.h"

#include "memory_log_test.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr PublishOptions kOptions{ .timeout_ = Millis(2000),
                                   .retryPause_ = Millis(5),
                                   .totalTimeout_ = Millis(10000) };

PublishRequest
ZoneOutRequest(const std::string& aChangeId)
{
  return {
    .changeId_ = aChangeId, .author_ = "test", .key_ = "zone/a", .text_ = "out"
  };
}

class ConfigPublisherTest : public testing::Test
{
protected:
  PublishResult Publish(const PublishRequest& aRequest,
                        const PublishOptions& aOptions = kOptions)
  {
    LogClient client({ .url_ = log_.Url() });
    return PublishChange(client, aRequest, aOptions);
  }

  InMemoryLogServer log_;
};

TEST_F(ConfigPublisherTest, AppendsAndReadsBack)
{
  const PublishResult result = Publish(ZoneOutRequest("x"));
  EXPECT_EQ(result.outcome_, PublishOutcome::Applied);
  EXPECT_EQ(result.version_, ConfigVersion{ 1 });
  EXPECT_FALSE(result.history_.state_.ZoneIsIn("a"));
}

TEST_F(ConfigPublisherTest, RepeatedIdHasNoFurtherEffect)
{
  Publish(ZoneOutRequest("x"));
  log_.AppendZone(1, "in");
  const PublishResult again = Publish(ZoneOutRequest("x"));
  EXPECT_EQ(again.outcome_, PublishOutcome::Applied);
  EXPECT_EQ(again.version_, ConfigVersion{ 1 });
  EXPECT_TRUE(again.history_.state_.ZoneIsIn("a"));
  EXPECT_EQ(log_.Size(), 2U);
}

TEST_F(ConfigPublisherTest, SameTextIsUnchanged)
{
  Publish(ZoneOutRequest("x"));
  const PublishResult again = Publish(ZoneOutRequest("y"));
  EXPECT_EQ(again.outcome_, PublishOutcome::Unchanged);
  EXPECT_EQ(again.version_, ConfigVersion{ 1 });
  EXPECT_EQ(log_.Size(), 1U);
}

TEST_F(ConfigPublisherTest, FindsItsRecordAfterALostResponse)
{
  log_.responsesToLose_ = 1;
  const PublishResult result = Publish(ZoneOutRequest("x"));
  EXPECT_EQ(result.outcome_, PublishOutcome::Applied);
  EXPECT_EQ(log_.Size(), 1U);
}

TEST_F(ConfigPublisherTest, RetriesAfterARefusedAppend)
{
  log_.appendsToRefuse_ = 2;
  EXPECT_EQ(Publish(ZoneOutRequest("x")).outcome_, PublishOutcome::Applied);
  EXPECT_EQ(log_.Size(), 1U);
}

TEST_F(ConfigPublisherTest, ReportsAConflictWithAConcurrentChange)
{
  log_.beforeAppend_ = [](std::vector<std::string>& aRecords) {
    aRecords.push_back(EncodeConfigRecord(
      ConfigChange{ .changeId_ = "y", .key_ = "zone/a", .text_ = "in" }));
  };
  const PublishResult result = Publish(ZoneOutRequest("x"));
  EXPECT_EQ(result.outcome_, PublishOutcome::Conflict);
  EXPECT_EQ(result.version_, ConfigVersion{ 1 });
  EXPECT_TRUE(result.history_.state_.ZoneIsIn("a"));
}

TEST_F(ConfigPublisherTest, KeepsItsBaseAcrossRetries)
{
  // The outcome of the first attempt is unknown and another change is appended
  // before the retry. The retry must not overwrite it.
  log_.appendsToRefuse_ = 1;
  bool first = true;
  log_.beforeAppend_ = [&first](std::vector<std::string>& aRecords) {
    if (first) {
      aRecords.push_back(EncodeConfigRecord(
        ConfigChange{ .changeId_ = "y", .key_ = "zone/a", .text_ = "in" }));
    }
    first = false;
  };
  EXPECT_EQ(Publish(ZoneOutRequest("x")).outcome_, PublishOutcome::Conflict);
}

TEST_F(ConfigPublisherTest, RefusesAnOutdatedBase)
{
  log_.AppendZone(0, "in");
  PublishRequest request = ZoneOutRequest("x");
  request.base_ = ConfigVersion{ 0 };
  EXPECT_EQ(Publish(request).outcome_, PublishOutcome::Conflict);
}

TEST_F(ConfigPublisherTest, TimesOutDuringAnOutage)
{
  log_.unavailable_ = true;
  PublishOptions options = kOptions;
  options.totalTimeout_ = Millis(50);
  EXPECT_THROW(Publish(ZoneOutRequest("x"), options), LogUnavailable);
}

TEST_F(ConfigPublisherTest, ReportsAGapWithoutASnapshot)
{
  log_.AppendZone(0, "out");
  log_.AppendZone(1, "in");
  log_.TruncateBefore(1);
  LogClient client({ .url_ = log_.Url() });
  EXPECT_THROW(ReadConfigHistory(client, Millis(2000)), LogUnavailable);
}

TEST_F(ConfigPublisherTest, CollectsEveryListOfEntryZones)
{
  log_.AppendEntryZones("a,b");
  log_.Append(EncodeConfigRecord(
    ConfigChange{ .key_ = "entry_zones", .base_ = { 1 }, .text_ = "c" }));
  log_.Append(EncodeConfigRecord(ConfigChange{
    .key_ = "entry_zones", .base_ = { 1 }, .text_ = "conflict" }));
  LogClient client({ .url_ = log_.Url() });
  const ConfigHistory history = ReadConfigHistory(client, Millis(2000));
  const std::vector<std::vector<std::string>> expected{ { "a", "b" }, { "c" } };
  EXPECT_EQ(history.zoneLists_, expected);
  EXPECT_EQ(history.records_.size(), 3U);
}

} // namespace
} // namespace cornelfront
