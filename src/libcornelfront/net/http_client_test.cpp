#include "cornelfront/http_client.h"

#include "cornelfront/async_http_client.h"
#include "net/dropping_server_test.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <optional>
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

/// What libcurl does by itself. Client and server share an event loop, and the
/// client has one connection at a time.
class HttpLibrary : public testing::Test
{
protected:
  using Raw = DroppingServer::Raw;

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const MonoTime end = MonoClock::now() + Millis(8000);
    while (!aCondition() && MonoClock::now() < end) {
      loop_.run_one_for(Millis(20));
    }
    return aCondition();
  }

  HttpClientRequest Post(Millis aTimeout = Millis(5000))
  {
    return { .method_ = "POST",
             .url_ = server_.Url("/"),
             .body_ = "order",
             .timeout_ = aTimeout };
  }

  HttpResult Perform(HttpClientRequest aRequest)
  {
    std::optional<HttpResult> result;
    client_.Send(std::move(aRequest),
                 [&](HttpResult aResult) { result = std::move(aResult); });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result.value_or(HttpResult{});
  }

  /// Posts once on a new connection and once on one that was used before, and
  /// returns both results.
  std::vector<HttpResult> PostTwice(const DroppingServer::Step& aStep)
  {
    std::vector<HttpResult> results;
    for (const bool used : { false, true }) {
      server_.CloseConnections();
      if (used) {
        EXPECT_TRUE(Perform(Post()).Ok());
      }
      const size_t before = server_.Arrived().size();
      server_.AddSteps({ aStep });
      results.push_back(Perform(Post()));
      EXPECT_EQ(server_.Arrived().size() - before, 1U);
      EXPECT_EQ(results.back().issued_, 1);
    }
    return results;
  }

  asio::io_context loop_;
  DroppingServer server_{ loop_, {} };
  AsyncHttpClient client_{ loop_, { .maxConnectionsPerHost_ = 1 } };
};

TEST_F(HttpLibrary, AnAnswerThatIsCutInItsBodyIsAFailure)
{
  for (const std::string bytes :
       { "HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\n{}",
         "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}",
         "HTTP/1.1 503 Busy\r\nTransfer-Encoding: "
         "chunked\r\n\r\n2\r\n{}\r\n" }) {
    for (const HttpResult& result : PostTwice(Raw{ bytes })) {
      EXPECT_EQ(result.failure_, HttpFailure::MayHaveBeenSent) << bytes;
    }
  }
}

TEST_F(HttpLibrary, NoFinalStatusLineIsAFailure)
{
  for (const std::string bytes :
       { "",
         "HTTP/1.1 50",
         "503 Busy\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\n",
         "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" }) {
    for (const HttpResult& result : PostTwice(Raw{ bytes })) {
      EXPECT_EQ(result.failure_, HttpFailure::MayHaveBeenSent) << bytes;
    }
  }
}

// The status stands although the head is cut behind it.
TEST_F(HttpLibrary, AStatusLineCountsAlsoIfTheHeadIsCutBehindIt)
{
  for (const HttpResult& result :
       PostTwice(Raw{ "HTTP/1.1 503 Busy\r\nContent-Len" })) {
    EXPECT_EQ(result.failure_, HttpFailure::None) << result.error_;
    EXPECT_EQ(result.response_.status_, 503);
    EXPECT_EQ(result.response_.body_, "");
  }
}

TEST_F(HttpLibrary, CompleteAnswersOfOtherKindsAreRead)
{
  for (const std::string bytes :
       { "HTTP/1.1 200 OK\r\n\r\n{}",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" }) {
    for (const HttpResult& result : PostTwice(Raw{ bytes })) {
      EXPECT_TRUE(result.Ok()) << bytes << result.error_;
      EXPECT_EQ(result.response_.body_, "{}") << bytes;
    }
  }
}

TEST_F(HttpLibrary, NoStatusMakesItSendARequestAgain)
{
  for (const int status :
       { 301, 302, 307, 308, 401, 407, 408, 417, 421, 425, 426, 429, 503 }) {
    const std::string bytes =
      "HTTP/1.1 " + std::to_string(status) +
      " Status\r\nLocation: " + server_.Url("/other") +
      "\r\nRetry-After: 0\r\nWWW-Authenticate: Basic realm=\"a\"\r\n"
      "Proxy-Authenticate: Basic realm=\"a\"\r\nContent-Length: 0\r\n\r\n";
    for (const bool close : { false, true }) {
      for (const HttpResult& result : PostTwice(Raw{ bytes, close })) {
        EXPECT_EQ(result.failure_, HttpFailure::None) << status;
        EXPECT_EQ(result.response_.status_, status);
      }
    }
  }
}

TEST_F(HttpLibrary, BytesBehindAnAnswerAreNotReadAsTheNextOne)
{
  server_.AddSteps({ Raw{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                          "HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n",
                          false } });
  EXPECT_TRUE(Perform(Post()).Ok());
  EXPECT_EQ(Perform(Post()).response_.status_, 200);
}

// Some servers send 408 on a connection that was idle for long.
TEST_F(HttpLibrary, AnAnswerOnAnIdleConnectionIsNotReadAsThatToTheNextRequest)
{
  EXPECT_TRUE(Perform(Post()).Ok());
  server_.SendUnasked("HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n");
  const HttpResult result = Perform(Post());
  EXPECT_EQ(result.failure_, HttpFailure::NotSent)
    << "status " << result.response_.status_;
  // A round trip gives the request the time to arrive.
  EXPECT_TRUE(Perform(Post()).Ok());
  EXPECT_EQ(server_.Arrived().size(), 2U);
}

TEST_F(HttpLibrary, AnAnswerBehindATimeOutIsNotReadAsThatToTheNextRequest)
{
  EXPECT_TRUE(Perform(Post()).Ok());
  server_.AddSteps({ Fate::Silent });
  EXPECT_EQ(Perform(Post(Millis(50))).failure_, HttpFailure::MayHaveBeenSent);
  server_.SendUnasked("HTTP/1.1 503 Late\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(Perform(Post()).Ok());
  EXPECT_EQ(server_.Connections(), 2);
}

TEST_F(HttpLibrary, AConnectionThatIsHalfClosedWhileIdleIsNotUsed)
{
  EXPECT_TRUE(Perform(Post()).Ok());
  server_.HalfCloseConnections();
  const HttpResult result = Perform(Post());
  EXPECT_TRUE(result.Ok()) << result.error_;
  EXPECT_TRUE(result.openedConnection_);
  EXPECT_EQ(server_.Arrived().size(), 2U);
}

TEST_F(HttpLibrary, ARequestThatWaitsForAConnectionTimesOutUnsent)
{
  server_.AddSteps({ Fate::Silent });
  bool firstEnded = false;
  client_.Send(Post(), [&](const HttpResult&) { firstEnded = true; });
  ASSERT_TRUE(RunUntil([&] { return server_.Arrived().size() == 1; }));
  const HttpResult waited = Perform(Post(Millis(50)));
  EXPECT_EQ(waited.failure_, HttpFailure::NotSent);
  EXPECT_EQ(waited.issued_, 0);
  EXPECT_FALSE(firstEnded) << "the time-out began with the connection";
}

// Whenever the library tells it, nothing goes out behind the time-out.
TEST_F(HttpLibrary, ARequestWhoseTimeOutEndedWhileItWaitedIsNotSentLater)
{
  server_.AddSteps({ Fate::Silent });
  std::vector<HttpResult> results;
  const auto keep = [&](const HttpResult& aResult) {
    results.push_back(aResult);
  };
  client_.Send(Post(Millis(400)), keep);
  ASSERT_TRUE(RunUntil([&] { return server_.Arrived().size() == 1; }));
  client_.Send(Post(Millis(50)), keep);
  ASSERT_TRUE(RunUntil([&] { return results.size() == 2; }));
  EXPECT_TRUE(Perform(Post()).Ok());
  EXPECT_EQ(server_.Arrived().size(), 2U);
}

TEST_F(HttpLibrary, RequestsThatWaitGoOutInTheirOrderOneAtATime)
{
  std::vector<std::string> ended;
  const auto send = [&](const std::string& aBody, auto aThen) {
    HttpClientRequest request = Post();
    request.body_ = aBody;
    client_.Send(std::move(request), [&ended, aBody, aThen](const auto&) {
      ended.push_back(aBody);
      aThen();
    });
  };
  send("a", [&] { send("d", [] {}); });
  send("b", [] {});
  send("c", [] {});
  ASSERT_TRUE(RunUntil([&] { return ended.size() == 4; }));
  EXPECT_EQ(ended, (std::vector<std::string>{ "a", "b", "c", "d" }));
  EXPECT_EQ(server_.Connections(), 1);
}

TEST_F(HttpLibrary, ConnectionsAreKeptUpToTheLimit)
{
  constexpr size_t kConnections = 8;
  AsyncHttpClient client(loop_, {});
  for (size_t round = 0; round < 3; ++round) {
    size_t ended = 0;
    for (size_t i = 0; i < 2 * kConnections; ++i) {
      client.Send(Post(), [&](const HttpResult& aResult) {
        EXPECT_TRUE(aResult.Ok());
        ++ended;
      });
    }
    ASSERT_TRUE(RunUntil([&] { return ended == 2 * kConnections; }));
  }
  EXPECT_EQ(server_.Connections(), static_cast<int>(kConnections));
}

TEST_F(HttpLibrary, AProxyOfTheEnvironmentIsNotUsed)
{
  DroppingServer proxy(loop_, {});
  setenv("http_proxy", proxy.Url("").c_str(), 1);
  EXPECT_TRUE(Perform(Post()).Ok());
  unsetenv("http_proxy");
  EXPECT_EQ(proxy.Connections(), 0);
}

} // namespace
} // namespace cornelfront
