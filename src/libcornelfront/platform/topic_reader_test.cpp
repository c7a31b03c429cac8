#include "platform/batch_writer.h"
#include "platform/store_stub_test.h"
#include "platform/topic_reader.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

namespace cornelfront::platform {
namespace {

/// Shortest time of all deployments in which a configuration has to be in force
/// (configApplyMs).
constexpr Millis kConfigBound{ 2000 };
/// Shortest time of all deployments after which a machine whose connections
/// went silent has to keep all bounds again (contactMs).
constexpr Millis kContactBound{ 3000 };
/// Time for which a leader acts without a confirmed append; see
/// LeadershipOptions.
constexpr Millis kAuthority{ 4000 };

/// A reader and a writer beside a store whose connections may go silent.
class TopicReaderTest : public testing::Test
{
protected:
  TopicReaderTest()
    : store_(loop_)
    , client_(loop_, store_.Address())
  {
  }

  void StartReader()
  {
    reader_.emplace(
      loop_,
      client_,
      TopicReader::Options{
        .topic_ = "keyed.op",
        .onChange_ = [this](const TopicReader::Records& aRecords) {
          records_ = aRecords;
        } });
  }

  void RunFor(Millis aTime) { loop_.run_for(aTime); }

  /// Runs the loop until the condition holds; returns false after \p aLimit.
  bool RunUntil(Millis aLimit, const std::function<bool()>& aCondition)
  {
    const MonoTime end = MonoClock::now() + aLimit;
    while (!aCondition() && MonoClock::now() < end) {
      loop_.run_one_for(Millis(10));
    }
    return aCondition();
  }

  bool ReadsInTime(const std::string& aValue)
  {
    return RunUntil(kConfigBound, [&] { return records_["config"] == aValue; });
  }

  /// Leaves several idle connections in the client's pool.
  void OpenConnections()
  {
    constexpr size_t kConnections = 6;
    size_t answers = 0;
    for (size_t i = 0; i < kConnections; ++i) {
      client_.Newest("keyed.op", "", {}, [&](const StorePage&) { ++answers; });
    }
    ASSERT_TRUE(
      RunUntil(kConfigBound, [&] { return answers == kConnections; }));
    ASSERT_GE(store_.OpenConnections(), kConnections);
  }

  asio::io_context loop_;
  StoreStub store_;
  StoreClient client_;
  TopicReader::Records records_;
  std::optional<TopicReader> reader_;
};

// The time-out of a read had grown while the store was silent.
TEST_F(TopicReaderTest, AChangeIsReadInTimeAfterTheStoreWasSilent)
{
  store_.Append("config", "1");
  StartReader();
  ASSERT_TRUE(ReadsInTime("1"));
  for (const Millis silence : { Millis(4000), Millis(8000) }) {
    store_.SetSilent(true);
    RunFor(silence);
    store_.SetSilent(false);
    const std::string value = std::to_string(silence.count());
    store_.Append("config", value);
    EXPECT_TRUE(ReadsInTime(value)) << "after " << value << " ms of silence";
    RunUntil(Millis(10000), [&] { return records_["config"] == value; });
  }
}

// The first read of an entry had 4 s, whatever the store did meanwhile.
TEST_F(TopicReaderTest, AReaderThatStartsWhileTheStoreIsSilentReadsInTime)
{
  store_.Append("config", "1");
  store_.SetSilent(true);
  StartReader();
  RunFor(Millis(500));
  store_.SetSilent(false);
  EXPECT_TRUE(ReadsInTime("1"));
}

TEST_F(TopicReaderTest, ALargeRecordArrivesOverASlowLink)
{
  constexpr size_t kRecordBytes = 200000;
  constexpr Millis kTransferTime{ 4000 };
  constexpr Millis kInterval{ 100 };
  store_.Append("config", "1");
  StartReader();
  ASSERT_TRUE(ReadsInTime("1"));
  store_.SetPace({ .bytes_ = kRecordBytes * kInterval / kTransferTime,
                   .interval_ = kInterval });
  const std::string large(kRecordBytes, 'x');
  store_.Append("config", large);
  EXPECT_TRUE(
    RunUntil(2 * kTransferTime, [&] { return records_["config"] == large; }));
}

// An answer with a part of the records counted as a read of all of them.
TEST_F(TopicReaderTest, OnlyAReadUpToTheEndCountsAsCurrent)
{
  constexpr Millis kAnswerInterval{ 300 };
  store_.Append("config", "1");
  StartReader();
  ASSERT_TRUE(ReadsInTime("1"));
  store_.SetSilent(true);
  for (const char* value : { "2", "3", "4" }) {
    store_.Append("config", value);
  }
  RunFor(Millis(1000));
  store_.SetMaxRecords(1);
  store_.SetPace({ .bytes_ = 60, .interval_ = kAnswerInterval });
  store_.SetSilent(false);
  ASSERT_TRUE(ReadsInTime("2"));
  EXPECT_GT(reader_->Age(BootNow()), Millis(1000));
  ASSERT_TRUE(
    RunUntil(kContactBound, [&] { return records_["config"] == "4"; }));
  EXPECT_LT(reader_->Age(BootNow()), Millis(1000));
}

// Each idle connection of the client that had gone silent took a whole
// time-out.
TEST_F(TopicReaderTest, AChangeIsReadInTimeAfterAllConnectionsWentSilent)
{
  store_.Append("config", "1");
  StartReader();
  ASSERT_TRUE(ReadsInTime("1"));
  OpenConnections();
  store_.SilenceOpenConnections();
  store_.Append("config", "2");
  EXPECT_TRUE(
    RunUntil(kContactBound, [&] { return records_["config"] == "2"; }));
}

// The same for appends: a leader lost its authority although the store
// answered.
TEST_F(TopicReaderTest, AnAppendIsAppliedInTimeAfterAllConnectionsWentSilent)
{
  OpenConnections();
  store_.SilenceOpenConnections();
  BatchWriter writer(
    loop_,
    client_,
    { .topic_ = "t", .producer_ = "leader", .retryUntilApplied_ = true });
  bool applied = false;
  writer.Write({ { "k", "v" } },
               [&](StoreOutcome, MonoTime) { applied = true; });
  EXPECT_TRUE(RunUntil(kAuthority, [&] { return applied; }));
}

} // namespace
} // namespace cornelfront::platform
