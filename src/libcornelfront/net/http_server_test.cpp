#include "cornelfront/http_client.h"
#include "cornelfront/http_server.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace cornelfront
