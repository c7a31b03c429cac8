#include "cornelfront/http_client.h"

#include "net/dropping_server_test.h"

#include <gtest/gtest.h>

#include <thread>

namespace cornelfront {
namespace {

using Fate = DroppingServer::Fate;

/// A blocking client and a server on a thread of its own.
class LostAnswerOfABlockingCall : public testing::Test
{
protected:
  LostAnswerOfABlockingCall()
    : thread_([this] { loop_.run(); })
  {
  }

  ~LostAnswerOfABlockingCall() override
  {
    loop_.stop();
    thread_.join();
  }

  HttpResult Perform(const std::string& aMethod)
  {
    return client_.Perform({ .method_ = aMethod, .url_ = server_.Url("/") });
  }

  asio::io_context loop_;
  DroppingServer server_{
    loop_,
    { .steps_ = { Fate::Answered, Fate::AnswerLost, 503 } }
  };
  HttpClient client_;
  std::thread thread_;
};

// The error that answers a repeat would say of the request that it did nothing.
TEST_F(LostAnswerOfABlockingCall, APostIsNotSentAgain)
{
  EXPECT_TRUE(Perform("POST").Ok());
  const HttpResult lost = Perform("POST");
  EXPECT_EQ(lost.failure_, HttpFailure::MayHaveBeenSent);
  EXPECT_EQ(lost.issued_, 1);
  EXPECT_NE(lost.error_, "");
}

TEST_F(LostAnswerOfABlockingCall, AGetIsSentAgain)
{
  EXPECT_TRUE(Perform("GET").Ok());
  const HttpResult repeated = Perform("GET");
  EXPECT_EQ(repeated.failure_, HttpFailure::None);
  EXPECT_EQ(repeated.response_.status_, 503);
  EXPECT_EQ(repeated.issued_, 2);
}

} // namespace
} // namespace cornelfront
