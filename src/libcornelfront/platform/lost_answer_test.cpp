/// \file
/// Calls to an executor and to the store that are carried out while their
/// answer is lost with the connection.

#include "net/dropping_server_test.h"
#include "platform/batch_writer.h"
#include "platform/executor_client.h"
#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace cornelfront::platform {
namespace {

using Fate = DroppingServer::Fate;

class LostAnswer : public testing::Test
{
protected:
  /// Runs the loop until the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const MonoTime end = MonoClock::now() + Millis(8000);
    while (!aCondition() && MonoClock::now() < end) {
      loop_.run_one_for(Millis(20));
    }
    return aCondition();
  }

  static bool Contains(const std::vector<std::string>& aRequests,
                       const std::string& aText)
  {
    return std::any_of(aRequests.begin(), aRequests.end(), [&](const auto& aR) {
      return aR.find(aText) != std::string::npos;
    });
  }

  asio::io_context loop_;
};

class LostExecutorAnswer : public LostAnswer
{
protected:
  void SetUp() override
  {
    client_.SetIncarnation({ .id_ = "i-1", .startedMs_ = 4000 }, {});
  }

  /// Sends orders together, each on a connection of its own.
  std::vector<StartAnswer> Start(size_t aOrders)
  {
    std::vector<StartAnswer> answers;
    for (size_t i = 0; i < aOrders; ++i) {
      client_.Start({ .key_ = { {}, 1 }, .upstreamRunNumber_ = 1 },
                    {},
                    Millis(5000),
                    [&](StartAnswer aAnswer, std::optional<UpstreamTime>) {
                      answers.push_back(aAnswer);
                    });
    }
    EXPECT_TRUE(RunUntil([&] { return answers.size() == aOrders; }));
    return answers;
  }

  PollOutcome Poll()
  {
    std::optional<PollOutcome> outcome;
    client_.Poll(0,
                 {},
                 Millis(0),
                 Millis(5000),
                 [&](PollOutcome aOutcome, const UpstreamPollResult&) {
                   outcome = aOutcome;
                 });
    EXPECT_TRUE(RunUntil([&] { return outcome.has_value(); }));
    return outcome.value_or(PollOutcome::Ok);
  }

  DroppingServer executor_{ loop_,
                            { .body_ = R"({"clockMs":5,"born":4000})" } };
  ExecutorClient client_{ loop_, { "127.0.0.1", executor_.Port() } };
};

// Issue 53: the library sent the order again, and the error that answered the
// last call was told as "not run".
TEST_F(LostExecutorAnswer, AnOrderThatWasCarriedOutIsNotToldAsNotRun)
{
  for (const int status : { 503, 429, 409, 400 }) {
    for (const size_t lost : { 1U, 2U }) {
      Start(2);
      const size_t before = executor_.CarriedOut().size();
      executor_.AddSteps(std::vector<DroppingServer::Step>(
        lost, DroppingServer::Step(Fate::AnswerLost)));
      executor_.AddSteps({ status });
      EXPECT_EQ(Start(1).at(0), StartAnswer::Unknown)
        << "status " << status << " after " << lost;
      EXPECT_EQ(executor_.CarriedOut().size() - before, 1U);
      // Takes up what the client didn't ask for.
      while (Start(1).at(0) != StartAnswer::Started) {
      }
    }
  }
}

TEST_F(LostExecutorAnswer, AnOrderIsNotToldAsNotSentWhenTheExecutorIsGone)
{
  Start(2);
  executor_.AddSteps({ Fate::Gone });
  EXPECT_EQ(Start(1).at(0), StartAnswer::Unknown);
}

TEST_F(LostExecutorAnswer, AnOrderThatNothingWasSentOfIsToldAsNotRun)
{
  executor_.AddSteps({ Fate::Gone });
  EXPECT_EQ(Start(1).at(0), StartAnswer::Unknown);
  EXPECT_EQ(Start(1).at(0), StartAnswer::NotSent);
}

TEST_F(LostExecutorAnswer, ALostAnswerOpensNoConnection)
{
  Start(1);
  executor_.AddSteps({ Fate::AnswerLost });
  EXPECT_EQ(Start(1).at(0), StartAnswer::Unknown);
  Poll();
  constexpr int kOneForOrdersOneForPolls = 2;
  EXPECT_EQ(executor_.Connections(), kOneForOrdersOneForPolls);
}

TEST_F(LostExecutorAnswer, APollIsSilentAndIsSentOnce)
{
  EXPECT_EQ(Poll(), PollOutcome::Ok);
  executor_.AddSteps({ Fate::AnswerLost, 409 });
  EXPECT_EQ(Poll(), PollOutcome::Silent);
  EXPECT_EQ(executor_.Arrived().size(), 2U);
}

// An executor that refuses the call has not seen its fence.
TEST_F(LostExecutorAnswer, ARefusedCallRaisesNoFence)
{
  for (const int status : { 503, 429, 409, 421 }) {
    executor_.AddSteps({ status });
    std::optional<bool> settled;
    client_.SendFence(Millis(5000), [&](bool aSettled) { settled = aSettled; });
    ASSERT_TRUE(RunUntil([&] { return settled.has_value(); }));
    EXPECT_EQ(*settled, status == 409 || status == 421) << status;
  }
}

TEST_F(LostExecutorAnswer, AStopIsSentOnce)
{
  Start(1);
  executor_.AddSteps({ Fate::RequestLost });
  client_.Stop({ {}, 1 });
  EXPECT_TRUE(RunUntil([&] { return executor_.Arrived().size() == 2; }));
  // Round trips give a repeat the time to arrive.
  constexpr size_t kPolls = 10;
  for (size_t i = 0; i < kPolls; ++i) {
    EXPECT_EQ(Poll(), PollOutcome::Ok);
  }
  EXPECT_EQ(executor_.Arrived().size(), 2 + kPolls);
}

TEST_F(LostExecutorAnswer,
       AConnectionThatTheExecutorClosedWhileIdleLosesNothing)
{
  Start(2);
  executor_.CloseConnections();
  EXPECT_EQ(Start(1).at(0), StartAnswer::Started);
}

// What comes in while a connection is idle is no answer to the next order.
TEST_F(LostExecutorAnswer, AnOrderIsNotToldAsNotRunByAnAnswerThatCameBeforeIt)
{
  Start(1);
  executor_.SendUnasked("HTTP/1.1 503 Late\r\nContent-Length: 0\r\n\r\n");
  const size_t before = executor_.CarriedOut().size();
  const StartAnswer answer = Start(1).at(0);
  // Round trips give the order the time to arrive.
  Poll();
  Poll();
  EXPECT_TRUE(answer != StartAnswer::Refused ||
              executor_.CarriedOut().size() == before)
    << "told as refused, and carried out";
}

class LostStoreAnswer : public LostAnswer
{
protected:
  StoreOutcome Write(const std::string& aKey)
  {
    std::optional<StoreOutcome> outcome;
    writer_.Write({ { aKey, "v" } },
                  [&](StoreOutcome aOutcome, MonoTime) { outcome = aOutcome; });
    EXPECT_TRUE(RunUntil([&] { return outcome.has_value(); }));
    return outcome.value_or(StoreOutcome::Gone);
  }

  /// Returns the producer, epoch and sequence number of an append.
  static std::string Stamp(const std::string& aRequest)
  {
    const size_t from = aRequest.find("producer=");
    return aRequest.substr(from, aRequest.find(' ', from) - from);
  }

  DroppingServer server_{ loop_, {} };
  StoreClient store_{ loop_, { "127.0.0.1", server_.Port() } };
  BatchWriter writer_{ loop_, store_, { .topic_ = "jobs", .producer_ = "p" } };
};

// Issue 53: the library sent the append again, and its refusal was told as "not
// stored".
TEST_F(LostStoreAnswer, AnAppendThatWasAppliedIsNotToldAsRefused)
{
  for (const int status : { 503, 429, 507 }) {
    EXPECT_EQ(Write("a"), StoreOutcome::Ok);
    const size_t before = server_.Arrived().size();
    server_.AddSteps({ Fate::AnswerLost, status });
    EXPECT_EQ(Write("b"), StoreOutcome::Ok) << status;
    const auto& arrived = server_.Arrived();
    for (size_t i = before; i < arrived.size(); ++i) {
      EXPECT_EQ(Stamp(arrived[i]), Stamp(arrived[before]));
    }
  }
}

// Issue 53: a batch under the number of an applied append is taken for its
// repeat, told as stored, and is not.
TEST_F(LostStoreAnswer, TheNumberOfAnAppliedAppendIsNotUsedForOtherRecords)
{
  EXPECT_EQ(Write("first"), StoreOutcome::Ok);
  server_.AddSteps({ Fate::AnswerLost, 503 });
  Write("second");
  ASSERT_TRUE(Contains(server_.CarriedOut(), "second"));
  EXPECT_EQ(Write("third"), StoreOutcome::Ok);
  EXPECT_NE(Stamp(server_.Arrived().back()), Stamp(server_.Arrived().at(1)));
}

TEST_F(LostStoreAnswer, AReadIsSentAgainByTheLibrary)
{
  EXPECT_EQ(Write("a"), StoreOutcome::Ok);
  server_.AddSteps({ Fate::AnswerLost });
  std::optional<StoreOutcome> outcome;
  store_.Newest(
    "jobs", "", {}, [&](const StorePage& aPage) { outcome = aPage.outcome_; });
  ASSERT_TRUE(RunUntil([&] { return outcome.has_value(); }));
  EXPECT_EQ(*outcome, StoreOutcome::Ok);
}

} // namespace
} // namespace cornelfront::platform
