#include "platform/heartbeat_api.h"

#include "cornelfront/http_client.h"

#include <gtest/gtest.h>

namespace cornelfront::platform {
namespace {

class HeartbeatApiTest : public testing::Test
{
protected:
  /// Returns the status of the answer.
  int Post(const std::string& aPath, const std::string& aBody)
  {
    HttpClient client;
    const HttpResult result = client.Perform(
      { .method_ = "POST",
        .url_ = "http://127.0.0.1:" + std::to_string(server_.Port()) + aPath,
        .body_ = aBody });
    return result.response_.status_;
  }

  std::vector<Heartbeat> heartbeats_;
  std::vector<UpstreamDeparture> departures_;
  HttpServer server_{ { .threads_ = 1 },
                      HeartbeatHandler(
                        { .onHeartbeat_ =
                            [this](const Heartbeat& aHeartbeat) {
                              heartbeats_.push_back(aHeartbeat);
                            },
                          .onLeave_ =
                            [this](const UpstreamDeparture& aDeparture,
                                   const auto& aAcknowledge) {
                              departures_.push_back(aDeparture);
                              aAcknowledge();
                            } }) };
};

TEST_F(HeartbeatApiTest, ADeregistrationNamesTheIncarnationThatEnds)
{
  EXPECT_EQ(Post("/instances/i-1/deregister", R"({"born":1786752008114})"),
            200);
  ASSERT_EQ(departures_.size(), 1U);
  EXPECT_EQ(departures_[0].id_, "i-1");
  EXPECT_EQ(departures_[0].startedMs_, 1786752008114);
}

TEST_F(HeartbeatApiTest, ADeregistrationNeedNotHaveAStartTime)
{
  for (const char* body : { "", "{}", R"({"born":null})" }) {
    EXPECT_EQ(Post("/instances/i-1/deregister", body), 200) << body;
  }
  ASSERT_EQ(departures_.size(), 3U);
  for (const UpstreamDeparture& departure : departures_) {
    EXPECT_FALSE(departure.startedMs_);
  }
}

// Such a call may be from any writer and must not end runs.
TEST_F(HeartbeatApiTest, AMalformedDeregistrationIsIgnored)
{
  for (const char* body :
       { "x", "[]", R"({"born":"1"})", R"({"born":1.5})", R"({"born":-1})" }) {
    EXPECT_EQ(Post("/instances/i-1/deregister", body), 400) << body;
  }
  EXPECT_TRUE(departures_.empty());
}

// It names no executor to use, and the present one stays.
TEST_F(HeartbeatApiTest, AHeartbeatWithAMalformedStartTimeIsIgnored)
{
  for (const char* born :
       { "\"1\"", "1.5", "-1", "[1]", "true", "99999999999999999999" }) {
    EXPECT_EQ(Post("/instances/i-1/heartbeat",
                   R"({"service":"desk","state":"ready","seq":1,
"capacity":{"cpu":1},"born":)" +
                     std::string(born) + "}"),
              400)
      << born;
  }
  EXPECT_TRUE(heartbeats_.empty());
}

TEST_F(HeartbeatApiTest, DistinguishesHeartbeatsFromDeregistrations)
{
  EXPECT_EQ(Post("/instances/i-1/heartbeat",
                 R"({"service":"desk","state":"ready","born":7,"seq":1,
"capacity":{"cpu":1}})"),
            200);
  EXPECT_EQ(Post("/instances/i-1/heartbeat", "{}"), 400);
  EXPECT_EQ(Post("/instances/i-1/other", "{}"), 404);
  ASSERT_EQ(heartbeats_.size(), 1U);
  EXPECT_EQ(heartbeats_[0].info_.startedMs_, 7);
  EXPECT_TRUE(departures_.empty());
}

} // namespace
} // namespace cornelfront::platform
