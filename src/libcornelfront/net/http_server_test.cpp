#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <asio.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>

namespace cornelfront {
namespace {

std::string
Url(const HttpServer& aServer, const std::string& aPath)
{
  return "http://127.0.0.1:" + std::to_string(aServer.Port()) + aPath;
}

TEST(HttpServer, EchoesMethodPathQueryAndBody)
{
  HttpServer server({}, [](HttpRequest aRequest, HttpReply aReply) {
    aReply.Send({ .body_ = aRequest.method_ + aRequest.path_ +
                           aRequest.Query("q") + aRequest.Header("x-test") +
                           aRequest.body_ });
  });
  HttpClient client;
  const HttpResult result =
    client.Perform({ .method_ = "PUT",
                     .url_ = Url(server, "/a/b?q=1%202"),
                     .headers_ = { { "X-Test", "h" } },
                     .body_ = "body" });
  EXPECT_TRUE(result.Ok());
  EXPECT_EQ(result.response_.body_, "PUT/a/b1 2hbody");
}

TEST(HttpServer, AnswersLaterFromAnotherThread)
{
  std::thread answerer;
  HttpServer server({}, [&](HttpRequest, HttpReply aReply) {
    answerer = std::thread([aReply] {
      std::this_thread::sleep_for(Millis(30));
      aReply.Send({ .status_ = 202, .body_ = "late" });
    });
  });
  HttpClient client;
  const HttpResult result = client.Perform({ .url_ = Url(server, "/") });
  answerer.join();
  EXPECT_EQ(result.response_.status_, 202);
  EXPECT_EQ(result.response_.body_, "late");
}

TEST(HttpServer, StopsWithPendingRequests)
{
  std::vector<HttpReply> kept;
  auto server = std::make_unique<HttpServer>(
    HttpServerOptions{},
    [&](HttpRequest, HttpReply aReply) { kept.push_back(aReply); });
  const std::string url = Url(*server, "/");
  std::thread caller([&] {
    HttpClient client;
    const HttpResult result = client.Perform({ .url_ = url });
    EXPECT_FALSE(result.Ok());
  });
  std::this_thread::sleep_for(Millis(50));
  server.reset();
  caller.join();
}

TEST(HttpServer, RespondsWhenTheHandlerDropsTheReply)
{
  HttpServer server({}, [](HttpRequest, HttpReply) {});
  HttpClient client;
  const HttpResult result = client.Perform({ .url_ = Url(server, "/") });
  EXPECT_EQ(result.response_.status_, 500);
}

TEST(HttpServer, RejectsOversizedBody)
{
  HttpServer server(
    { .maxBodyBytes_ = 100 },
    [](HttpRequest, HttpReply aReply) { aReply.Send({ .status_ = 200 }); });
  HttpClient client;
  const HttpResult result = client.Perform({ .method_ = "POST",
                                             .url_ = Url(server, "/"),
                                             .body_ = std::string(101, 'x') });
  EXPECT_EQ(result.response_.status_, 413);
}

/// Sends a request on a connection of its own and returns all that comes back
/// until the server closes it.
std::string
ReceiveUntilClosed(asio::io_context& aLoop, uint16_t aPort)
{
  asio::ip::tcp::socket socket(aLoop);
  socket.connect({ asio::ip::address_v4::loopback(), aPort });
  asio::write(socket,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                                       "Content-Length: 4\r\n\r\n"
                                       "body")));
  std::string received;
  asio::error_code error;
  asio::read(socket, asio::dynamic_buffer(received), error);
  EXPECT_EQ(error, asio::error::eof);
  return received;
}

TEST(HttpServer, ClosesTheConnectionWithoutAResponse)
{
  std::atomic<int> requests = 0;
  std::thread closer;
  HttpServer server({}, [&](const HttpRequest&, const HttpReply& aReply) {
    if (++requests == 1) {
      aReply.Close();
      aReply.Send({});
      return;
    }
    closer = std::thread([aReply] {
      std::this_thread::sleep_for(Millis(30));
      aReply.Close();
    });
  });
  asio::io_context loop;
  EXPECT_EQ(ReceiveUntilClosed(loop, server.Port()), "") << "at once";
  EXPECT_EQ(ReceiveUntilClosed(loop, server.Port()), "")
    << "later, from another thread";
  closer.join();
  EXPECT_EQ(requests, 2);
}

TEST(HttpServer, SendsTheResponseThatCameBeforeAClose)
{
  HttpServer server({}, [](const HttpRequest&, const HttpReply& aReply) {
    aReply.Send({ .body_ = "first" });
    aReply.Close();
  });
  HttpClient client;
  EXPECT_EQ(client.Perform({ .url_ = Url(server, "/") }).response_.body_,
            "first");
}

// The request and the end of the connection wait while the loop stands still.
TEST(HttpServer, TellsThatTheClientOfAWaitingRequestHasLeft)
{
  asio::io_context loop;
  std::vector<bool> left;
  HttpServer server({ .loop_ = &loop },
                    [&](const HttpRequest&, const HttpReply& aReply) {
                      left.push_back(aReply.HasClientLeft());
                      aReply.Send({});
                    });
  const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(),
                                        server.Port());
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto serveUntil = [&](size_t aRequests) {
    while (left.size() < aRequests) {
      loop.run_one();
    }
  };
  asio::ip::tcp::socket stays(loop);
  stays.connect(address);
  asio::write(stays, asio::buffer(request));
  serveUntil(1);
  {
    asio::ip::tcp::socket leaves(loop);
    leaves.connect(address);
    asio::write(leaves, asio::buffer(request));
  }
  serveUntil(2);
  EXPECT_EQ(left, (std::vector<bool>{ false, true }));
}

// Both a new connection and one that is kept open wait while the loop stands
// still.
TEST(HttpServer, TellsThatRequestsHaveWaitedWhileTheLoopStoodStill)
{
  constexpr Millis kStandstill{ 200 };
  asio::io_context loop;
  std::vector<MonoTime> arrivedAfter;
  HttpServer server({ .loop_ = &loop, .lookInterval_ = Millis(10) },
                    [&](const HttpRequest& aRequest, const HttpReply& aReply) {
                      arrivedAfter.push_back(aRequest.arrivedAfter_);
                      aReply.Send({});
                    });
  const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(),
                                        server.Port());
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto serveUntil = [&](size_t aRequests) {
    while (arrivedAfter.size() < aRequests) {
      loop.run_one();
    }
  };
  asio::ip::tcp::socket kept(loop);
  kept.connect(address);
  loop.run_for(Millis(50));
  const MonoTime begin = BootNow();
  asio::write(kept, asio::buffer(request));
  serveUntil(1);
  EXPECT_GT(arrivedAfter[0], begin - kStandstill);
  loop.run_for(Millis(50));

  const MonoTime sent = BootNow();
  asio::write(kept, asio::buffer(request));
  asio::ip::tcp::socket fresh(loop);
  fresh.connect(address);
  asio::write(fresh, asio::buffer(request));
  std::this_thread::sleep_for(kStandstill);
  serveUntil(3);
  EXPECT_LE(arrivedAfter[1], sent);
  EXPECT_LE(arrivedAfter[2], sent);
}

TEST(HttpClient, ReportsARequestThatWasNotSent)
{
  uint16_t closedPort = 0;
  {
    HttpServer server({}, [](HttpRequest, HttpReply) {});
    closedPort = server.Port();
  }
  HttpClient client;
  const HttpResult result = client.Perform(
    { .url_ = "http://127.0.0.1:" + std::to_string(closedPort) + "/" });
  EXPECT_EQ(result.failure_, HttpFailure::NotSent);
}

TEST(HttpClient, AbortsAnOversizedResponse)
{
  HttpServer server({}, [](HttpRequest, HttpReply aReply) {
    aReply.Send({ .body_ = std::string(101, 'x') });
  });
  HttpClient client;
  const HttpResult result =
    client.Perform({ .url_ = Url(server, "/"), .maxResponseBytes_ = 100 });
  EXPECT_EQ(result.failure_, HttpFailure::MayHaveBeenSent);
}

TEST(HttpClient, ReportsARequestThatMayHaveArrived)
{
  std::vector<HttpReply> kept;
  HttpServer server(
    {}, [&](HttpRequest, HttpReply aReply) { kept.push_back(aReply); });
  HttpClient client;
  const HttpResult result =
    client.Perform({ .url_ = Url(server, "/"), .timeout_ = Millis(50) });
  EXPECT_EQ(result.failure_, HttpFailure::MayHaveBeenSent);
}

/// What libmicrohttpd does by itself: a server on an event loop, and clients
/// that are plain sockets.
class HttpServerLibrary : public testing::Test
{
protected:
  using Socket = asio::ip::tcp::socket;

  std::unique_ptr<HttpServer> Serve(HttpServerOptions aOptions)
  {
    aOptions.loop_ = &loop_;
    return std::make_unique<HttpServer>(
      aOptions, [this](const HttpRequest& aRequest, const HttpReply& aReply) {
        handled_.push_back(aRequest.path_);
        replies_.push_back(aReply);
      });
  }

  Socket Connect(const HttpServer& aServer)
  {
    Socket socket(loop_);
    socket.connect({ asio::ip::address_v4::loopback(), aServer.Port() });
    return socket;
  }

  static std::string Get(const std::string& aPath)
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: a\r\n\r\n";
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

  /// Runs the loop until bytes have come, and returns them.
  std::string Receive(Socket& aSocket)
  {
    EXPECT_TRUE(RunUntil([&] { return aSocket.available() > 0; }));
    std::string bytes(aSocket.available(), '\0');
    asio::read(aSocket, asio::buffer(bytes));
    return bytes;
  }

  asio::io_context loop_;
  std::vector<std::string> handled_;
  std::vector<HttpReply> replies_;
};

TEST_F(HttpServerLibrary, RequestsBackToBackAreHandledOneAfterTheOther)
{
  const auto server = Serve({});
  Socket client = Connect(*server);
  asio::write(client, asio::buffer(Get("/a") + Get("/b")));
  ASSERT_TRUE(RunUntil([&] { return !handled_.empty(); }));
  EXPECT_EQ(handled_, std::vector<std::string>{ "/a" });
  replies_.at(0).Send({ .body_ = "first" });
  EXPECT_NE(Receive(client).find("first"), std::string::npos);
  ASSERT_TRUE(RunUntil([&] { return handled_.size() == 2; }));
  replies_.at(1).Send({ .body_ = "second" });
  EXPECT_NE(Receive(client).find("second"), std::string::npos);
}

TEST_F(HttpServerLibrary, AReplyToAClientThatHasLeftReachesNoOther)
{
  const auto server = Serve({});
  {
    Socket leaves = Connect(*server);
    asio::write(leaves, asio::buffer(Get("/left")));
    ASSERT_TRUE(RunUntil([&] { return handled_.size() == 1; }));
  }
  Socket stays = Connect(*server);
  asio::write(stays, asio::buffer(Get("/stays")));
  ASSERT_TRUE(RunUntil([&] { return handled_.size() == 2; }));
  replies_.at(0).Send({ .status_ = 503, .body_ = "left" });
  ASSERT_TRUE(RunUntil([&] { return server->OpenRequests() == 1; }));
  replies_.at(1).Send({ .body_ = "stays" });
  const std::string answer = Receive(stays);
  EXPECT_NE(answer.find("stays"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("503"), std::string::npos) << answer;
}

TEST_F(HttpServerLibrary, ItsOwnRefusalsReachNoHandler)
{
  const auto server = Serve({});
  for (const std::string& request :
       { "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(100000, 'x') +
           "\r\n\r\n",
         std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                     "99999999999999999999999\r\n\r\n") }) {
    Socket client = Connect(*server);
    asio::error_code ignored;
    asio::write(client, asio::buffer(request), ignored);
    const std::string status = Receive(client).substr(0, 12);
    EXPECT_EQ(status.substr(0, 10), "HTTP/1.1 4") << status;
  }
  EXPECT_TRUE(handled_.empty());
}

TEST_F(HttpServerLibrary, ARequestWithoutAHostIsHandled)
{
  const auto server = Serve({});
  Socket client = Connect(*server);
  asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return handled_.size() == 1; }));
  replies_.at(0).Send({ .body_ = "answer" });
  EXPECT_NE(Receive(client).find("answer"), std::string::npos);
}

// "Refused" with 408 says that the request has not run.
TEST_F(HttpServerLibrary, ARequestThatWasToldAsTooSlowIsNotHandled)
{
  const auto server = Serve({ .requestReceiveLimit_ = Millis(50) });
  Socket client = Connect(*server);
  asio::write(
    client,
    asio::buffer(std::string(
      "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return server->OpenRequests() == 1; }));
  // The rest comes in while the loop stands still.
  asio::write(client, asio::buffer(std::string("body")));
  std::string answer(12, '\0');
  asio::read(client, asio::buffer(answer));
  EXPECT_EQ(answer, "HTTP/1.1 408");
  ASSERT_TRUE(
    RunUntil([&] { return server->OpenRequests() == 0 || !handled_.empty(); }));
  EXPECT_TRUE(handled_.empty()) << "handled although 408 was sent";
}

TEST_F(HttpServerLibrary, AConnectionBeyondTheLimitWaits)
{
  const auto server = Serve({ .maxConnections_ = 1 });
  auto first = std::make_unique<Socket>(Connect(*server));
  asio::write(*first, asio::buffer(Get("/a")));
  ASSERT_TRUE(RunUntil([&] { return handled_.size() == 1; }));
  Socket second = Connect(*server);
  asio::write(second, asio::buffer(Get("/b")));
  replies_.at(0).Send({ .body_ = "first" });
  EXPECT_NE(Receive(*first).find("first"), std::string::npos);
  EXPECT_EQ(handled_.size(), 1U);
  first.reset();
  ASSERT_TRUE(RunUntil([&] { return handled_.size() == 2; }));
  replies_.at(1).Send({ .body_ = "second" });
  EXPECT_NE(Receive(second).find("second"), std::string::npos);
}

TEST_F(HttpServerLibrary, AnEarlyAnswerToALargeBodyIsRead)
{
  HttpServer server({ .maxBodyBytes_ = 100 },
                    [this](const HttpRequest& aRequest, const HttpReply&) {
                      handled_.push_back(aRequest.path_);
                    });
  HttpClient client;
  const HttpResult result =
    client.Perform({ .method_ = "POST",
                     .url_ = Url(server, "/"),
                     .body_ = std::string(8U << 20U, 'x') });
  EXPECT_EQ(result.failure_, HttpFailure::None) << result.error_;
  EXPECT_EQ(result.response_.status_, 413);
  EXPECT_EQ(result.issued_, 1);
  EXPECT_TRUE(handled_.empty());
}

} // namespace
} // namespace cornelfront
