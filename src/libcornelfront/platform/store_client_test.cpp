#include "platform/batch_writer.h"
#include "platform/store_client.h"

#include "cornelfront/http_server.h"

#include <gtest/gtest.h>

#include <deque>

namespace cornelfront::platform {
namespace {

/// Store that answers appends with the statuses set by the test; once they are
/// used up, it leaves requests unanswered.
class ScriptedStore : public testing::Test
{
protected:
  ScriptedStore()
    : server_({ .loop_ = &loop_ },
              [this](const HttpRequest& aRequest, const HttpReply& aReply) {
                appends_.push_back(aRequest);
                if (statuses_.empty()) {
                  held_.push_back(aReply);
                  return;
                }
                aReply.Send({ .status_ = statuses_.front() });
                statuses_.pop_front();
              })
    , store_(loop_, { "127.0.0.1", server_.Port() })
  {
  }

  ~ScriptedStore() override { held_.clear(); }

  /// Runs the loop until the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const MonoTime end = MonoClock::now() + Millis(8000);
    while (!aCondition() && MonoClock::now() < end) {
      loop_.run_one_for(Millis(20));
    }
    return aCondition();
  }

  StoreOutcome Write(BatchWriter& aWriter)
  {
    std::optional<StoreOutcome> outcome;
    aWriter.Write({ { "k", "v" } },
                  [&](StoreOutcome aOutcome, MonoTime) { outcome = aOutcome; });
    EXPECT_TRUE(RunUntil([&] { return outcome.has_value(); }));
    return outcome.value_or(StoreOutcome::Gone);
  }

  asio::io_context loop_;
  std::deque<int> statuses_;
  std::vector<HttpRequest> appends_;
  std::vector<HttpReply> held_;
  HttpServer server_;
  StoreClient store_;
};

TEST(EncodeRecordTest, HasLengthsKeyAndValue)
{
  EXPECT_EQ(EncodeRecord({ "ab", "xyz" }),
            std::string("\0\0\0\x06\x02"
                        "abxyz",
                        10));
  EXPECT_THROW(EncodeRecord({ std::string(256, 'k'), "" }),
               std::invalid_argument);
}

TEST_F(ScriptedStore, BatchesRecordsWrittenDuringAnAppend)
{
  BatchWriter writer(loop_, store_, { .topic_ = "t", .producer_ = "p" });
  statuses_ = { 200, 200 };
  int done = 0;
  for (int i = 0; i < 5; ++i) {
    writer.Write({ { "k", "v" } }, [&](StoreOutcome aOutcome, MonoTime) {
      EXPECT_EQ(aOutcome, StoreOutcome::Ok);
      ++done;
    });
  }
  EXPECT_TRUE(RunUntil([&] { return done == 5; }));
  ASSERT_EQ(appends_.size(), 2U);
  EXPECT_EQ(appends_[0].Query("seq"), "0");
  EXPECT_EQ(appends_[1].Query("seq"), "1");
  EXPECT_EQ(appends_[1].body_.size(), 4 * EncodeRecord({ "k", "v" }).size());
}

TEST_F(ScriptedStore, RetriesOnlyStatusesWithUnknownEffect)
{
  for (const int status : { 400, 429, 503, 507 }) {
    BatchWriter writer(loop_, store_, { .topic_ = "t", .producer_ = "p" });
    statuses_ = { status };
    EXPECT_EQ(Write(writer), StoreOutcome::NotApplied) << status;
  }
  for (const int status : { 500, 502, 504 }) {
    BatchWriter writer(loop_, store_, { .topic_ = "t", .producer_ = "p" });
    appends_.clear();
    statuses_ = { status, 503, 200 };
    EXPECT_EQ(Write(writer), StoreOutcome::Ok) << status;
    ASSERT_EQ(appends_.size(), 3U) << status;
    EXPECT_EQ(appends_[2].Query("seq"), appends_[0].Query("seq"));
  }
}

TEST_F(ScriptedStore, ChangesTheProducerIdAfterFencing)
{
  BatchWriter writer(loop_, store_, { .topic_ = "t", .producer_ = "p" });
  statuses_ = { 409, 200, 502, 409, 200 };
  EXPECT_EQ(Write(writer), StoreOutcome::NotApplied);
  EXPECT_EQ(Write(writer), StoreOutcome::Ok);
  EXPECT_NE(appends_[1].Query("producer"), appends_[0].Query("producer"));
  EXPECT_EQ(Write(writer), StoreOutcome::Unknown)
    << "the first attempt may have been applied";
  EXPECT_EQ(Write(writer), StoreOutcome::Ok);
}

TEST_F(ScriptedStore, DoesNotRetryARefusedAppend)
{
  BatchWriter writer(loop_, store_, { .topic_ = "t", .producer_ = "p" });
  statuses_ = { 503 };
  EXPECT_EQ(Write(writer), StoreOutcome::NotApplied);
  EXPECT_EQ(appends_.size(), 1U);
}

TEST_F(ScriptedStore, RetriesALostResponseWithTheSameSequenceNumber)
{
  BatchWriter writer(
    loop_,
    store_,
    { .topic_ = "t", .producer_ = "p", .unknownRetryLimit_ = Millis(5000) });
  std::optional<StoreOutcome> outcome;
  writer.Write({ { "k", "v" } },
               [&](StoreOutcome aOutcome, MonoTime) { outcome = aOutcome; });
  ASSERT_TRUE(RunUntil([&] { return appends_.size() == 1; }));
  // The retry is refused, but the first append may still be applied.
  statuses_ = { 503, 200 };
  ASSERT_TRUE(RunUntil([&] { return outcome.has_value(); }));
  EXPECT_EQ(outcome, StoreOutcome::Ok);
  ASSERT_EQ(appends_.size(), 3U);
  EXPECT_EQ(appends_[2].Query("seq"), appends_[0].Query("seq"));
  EXPECT_EQ(appends_[2].Query("producer"), appends_[0].Query("producer"));
}

TEST_F(ScriptedStore, TellsTheStartOfTheFirstAttemptThatMayHaveBeenApplied)
{
  BatchWriter writer(
    loop_,
    store_,
    { .topic_ = "t", .producer_ = "p", .retryUntilApplied_ = true });
  const auto startOf = [&](std::deque<int> aStatuses) {
    statuses_ = std::move(aStatuses);
    appends_.clear();
    std::optional<MonoTime> start;
    writer.Write({ { "k", "v" } }, [&](StoreOutcome aOutcome, MonoTime aStart) {
      EXPECT_EQ(aOutcome, StoreOutcome::Ok);
      start = aStart;
    });
    EXPECT_TRUE(RunUntil([&] { return !appends_.empty(); }));
    const MonoTime answered = BootNow();
    EXPECT_TRUE(RunUntil([&] { return start.has_value(); }));
    return start.value_or(MonoTime()) < answered;
  };
  EXPECT_TRUE(startOf({ 502, 503, 200 }))
    << "the store may have applied the first attempt";
  EXPECT_FALSE(startOf({ 503, 200 })) << "the first attempt did nothing";
}

TEST_F(ScriptedStore, ChangesTheProducerIdAfterAnUnknownOutcome)
{
  BatchWriter writer(
    loop_,
    store_,
    { .topic_ = "t", .producer_ = "p", .unknownRetryLimit_ = Millis(0) });
  EXPECT_EQ(Write(writer), StoreOutcome::Unknown);
  statuses_ = { 200 };
  EXPECT_EQ(Write(writer), StoreOutcome::Ok);
  EXPECT_NE(appends_.back().Query("producer"),
            appends_.front().Query("producer"));
}

TEST_F(ScriptedStore, RetriesLeaderWritesUntilAppliedOrFenced)
{
  BatchWriter writer(loop_,
                     store_,
                     { .topic_ = "t",
                       .producer_ = "leader",
                       .epoch_ = 3,
                       .firstSequence_ = 8,
                       .retryUntilApplied_ = true });
  statuses_ = { 503, 429, 200 };
  EXPECT_EQ(Write(writer), StoreOutcome::Ok);
  EXPECT_EQ(appends_.back().Query("epoch"), "3");
  EXPECT_EQ(appends_.back().Query("seq"), "8");
  statuses_ = { 409 };
  EXPECT_EQ(Write(writer), StoreOutcome::Fenced);
}

} // namespace
} // namespace cornelfront::platform
