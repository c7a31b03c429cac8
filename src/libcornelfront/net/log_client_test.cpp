#include "cornelfront/log_client.h"

#include <gtest/gtest.h>

#include <string>

namespace cornelfront {
namespace {

/// Log service that sends a fixed response and records the last request.
class FixedLog
{
public:
  FixedLog(int aStatus, const std::string& aBody)
    : server_({},
              [this, aStatus, aBody](HttpRequest aRequest, HttpReply aReply) {
                last_ = std::move(aRequest);
                aReply.Send({ .status_ = aStatus, .body_ = aBody });
              })
  {
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(server_.Port());
  }

  HttpRequest last_;

private:
  HttpServer server_;
};

TEST(LogClient, AppendsToItsStream)
{
  const FixedLog log(200, R"({"offset": 41})");
  LogClient client({ .url_ = log.Url(), .stream_ = "config" });
  EXPECT_EQ(client.Append("record", Millis(2000)), 41U);
  EXPECT_EQ(log.last_.method_, "POST");
  EXPECT_EQ(log.last_.path_, "/streams/config/records");
  EXPECT_EQ(log.last_.body_, "record");
}

TEST(LogClient, ReadsAPage)
{
  const FixedLog log(200,
                     R"({"first":3,"next":7,
                         "records":[{"offset":5,"body":"a"},
                                    {"offset":6,"body":""}]})");
  LogClient client({ .url_ = log.Url() });
  const LogPage page =
    client.Read({ .from_ = 5, .maxRecords_ = 2, .wait_ = Millis(100) });
  EXPECT_EQ(page.first_, 3U);
  EXPECT_EQ(page.next_, 7U);
  ASSERT_EQ(page.records_.size(), 2U);
  EXPECT_EQ(page.records_[0].offset_, 5U);
  EXPECT_EQ(page.records_[0].body_, "a");
  EXPECT_EQ(log.last_.Query("from"), "5");
  EXPECT_EQ(log.last_.Query("max"), "2");
  EXPECT_EQ(log.last_.Query("wait_ms"), "100");
}

struct BadAnswer
{
  int status_;
  std::string body_;
};

TEST(LogClient, TreatsEveryBadAnswerAsUnavailable)
{
  const BadAnswer cases[] = {
    { 503, R"({"offset": 1})" },
    { 500, "" },
    { 429, "" },
    { 404, "" },
    { 200, "" },
    { 200, "{}" },
    { 200, R"({"offset": "one"})" },
    { 200, R"({"first":0,"next":1})" },
    { 200, "[1,2" },
  };
  for (const BadAnswer& bad : cases) {
    SCOPED_TRACE(std::to_string(bad.status_) + " " + bad.body_);
    const FixedLog log(bad.status_, bad.body_);
    LogClient client({ .url_ = log.Url() });
    EXPECT_THROW(client.Append("x", Millis(2000)), LogUnavailable);
    EXPECT_THROW(client.Read({}), LogUnavailable);
  }
}

TEST(LogClient, TreatsARefusedConnectionAsUnavailable)
{
  std::string url;
  {
    const FixedLog log(200, "");
    url = log.Url();
  }
  LogClient client({ .url_ = url });
  EXPECT_THROW(client.Append("x", Millis(2000)), LogUnavailable);
  EXPECT_THROW(client.Read({}), LogUnavailable);
}

} // namespace
} // namespace cornelfront
