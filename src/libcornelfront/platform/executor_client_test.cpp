#include "platform/executor_client.h"

#include "cornelfront/http_server.h"
#include "platform/json_fields_pvt.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cornelfront::platform {
namespace {

/// Executor that does nothing for a call with a lower fence than it has seen.
class FencedExecutor : public testing::Test
{
protected:
  FencedExecutor()
    : server_({ .loop_ = &loop_ },
              [this](const HttpRequest& aRequest, const HttpReply& aReply) {
                const auto body = ParseObject(aRequest.body_);
                const int64_t fence = IntegerField(body, "fence", 0);
                if (mute_) {
                  withheld_.push_back(aReply);
                  unansweredFence_ = fence;
                  return;
                }
                const bool taken = fence >= fence_;
                fence_ = std::max(fence, fence_);
                aReply.Send(
                  { .status_ = taken ? 200 : 409,
                    .body_ = taken ? R"({"clockMs":5,"born":)" +
                                       std::to_string(born_) + "}"
                                   : R"({"clockMs":5,"reason":"fence"})" });
              })
  {
  }

  /// Runs the loop until the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const MonoTime end = MonoClock::now() + Millis(8000);
    while (!aCondition() && MonoClock::now() < end) {
      loop_.run_one_for(Millis(20));
    }
    return aCondition();
  }

  PollOutcome Poll(ExecutorClient& aClient)
  {
    std::optional<PollOutcome> outcome;
    aClient.Poll(0,
                 {},
                 Millis(0),
                 Millis(5000),
                 [&](PollOutcome aOutcome, const UpstreamPollResult&) {
                   outcome = aOutcome;
                 });
    EXPECT_TRUE(RunUntil([&] { return outcome.has_value(); }));
    return outcome.value_or(PollOutcome::Silent);
  }

  StartAnswer Start(ExecutorClient& aClient, Millis aLimit = Millis(5000))
  {
    std::optional<StartAnswer> answer;
    aClient.Start(
      {}, {}, aLimit, [&](StartAnswer aAnswer, std::optional<UpstreamTime>) {
        answer = aAnswer;
      });
    EXPECT_TRUE(RunUntil([&] { return answer.has_value(); }));
    return answer.value_or(StartAnswer::Unknown);
  }

  static UpstreamInfo Born(int64_t aMs)
  {
    return { .id_ = "i-1", .startedMs_ = aMs };
  }

  asio::io_context loop_;
  int64_t born_ = 0;
  int64_t fence_ = 0;
  /// Calls get no answer.
  bool mute_ = false;
  int64_t unansweredFence_ = 0;
  std::vector<HttpReply> withheld_;
  HttpServer server_;
};

TEST_F(FencedExecutor, ACallThatIsAnsweredEndsOrdersWithoutAnAnswer)
{
  ExecutorClient client(loop_, { "127.0.0.1", server_.Port() });
  client.SetIncarnation(Born(4000), {});
  born_ = 9000;
  mute_ = true;
  EXPECT_EQ(Start(client, Millis(30)), StartAnswer::Unknown);
  mute_ = false;
  EXPECT_EQ(Poll(client), PollOutcome::Restarted);
  EXPECT_GT(fence_, unansweredFence_);
}

TEST_F(FencedExecutor, AfterARestartACallWithAHigherFenceFollowsThePoll)
{
  ExecutorClient client(loop_, { "127.0.0.1", server_.Port() });
  client.SetIncarnation(Born(4000), {});
  born_ = 9000;
  EXPECT_EQ(Poll(client), PollOutcome::Restarted);
  const int64_t polled = fence_;
  std::optional<bool> answered;
  client.SendFence(Millis(5000), [&](bool aAnswered) { answered = aAnswered; });
  ASSERT_TRUE(RunUntil([&] { return answered.has_value(); }));
  EXPECT_TRUE(*answered);
  EXPECT_GT(fence_, polled);
}

// The time of day was set back between the starts. The poll that tells of the
// restart leaves the higher fence of the earlier incarnation.
TEST_F(FencedExecutor, ARestartWithAnEarlierStartTimeDoesNotFenceTheSidecarOut)
{
  ExecutorClient client(loop_, { "127.0.0.1", server_.Port() });
  client.SetIncarnation(Born(9000), {});
  born_ = 4000;
  EXPECT_EQ(Poll(client), PollOutcome::Restarted);
  client.SetIncarnation(Born(4000), {});
  EXPECT_EQ(Poll(client), PollOutcome::Ok);
  EXPECT_EQ(Start(client), StartAnswer::Started);
  EXPECT_GT(fence_, 9000) << "late orders for the earlier one stay out";
}

TEST_F(FencedExecutor, ARestartedSidecarReachesAnExecutorWithAHigherFence)
{
  ExecutorClient client(loop_, { "127.0.0.1", server_.Port() });
  born_ = 4000;
  fence_ = 9001;
  client.SetIncarnation(Born(4000), {});
  int polls = 1;
  while (Poll(client) != PollOutcome::Ok && polls < 10) {
    ++polls;
  }
  EXPECT_LE(polls, 5);
  EXPECT_EQ(Start(client), StartAnswer::Started);
}

TEST_F(FencedExecutor, TheStartTimeIsTheFenceOfAFirstIncarnation)
{
  ExecutorClient client(loop_, { "127.0.0.1", server_.Port() });
  born_ = 4000;
  client.SetIncarnation(Born(4000), {});
  EXPECT_EQ(Poll(client), PollOutcome::Ok);
  EXPECT_EQ(fence_, 4000);
  born_ = 9000;
  fence_ = 0;
  client.SetIncarnation(Born(9000), {});
  EXPECT_EQ(Poll(client), PollOutcome::Ok);
  EXPECT_EQ(fence_, 9000);
}

} // namespace
} // namespace cornelfront::platform
