#include "net/admin_routes.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

using ::testing::HasSubstr;

class AdminRoutesTest : public ::testing::Test
{
protected:
  HttpResponse Get(const std::string& aPath,
                   std::map<std::string, std::string> aQuery = {})
  {
    return *routes_.Handle(
      { .method_ = "GET", .path_ = aPath, .query_ = std::move(aQuery) });
  }

  EventLog events_;
  Metrics metrics_;
  bool ready_ = true;
  AdminRoutes routes_{ { .process_ = { { 7 }, "entry-1", "entry", "a" },
                         .isReady_ = [this] { return ready_; },
                         .statusJson_ = [] { return R"({"role":"entry"})"; },
                         .events_ = &events_,
                         .metrics_ = &metrics_ } };
};

TEST_F(AdminRoutesTest, IgnoresOtherPaths)
{
  for (const char* path : { "/", "/v1/jobs", "/healthz/", "/metricsx" }) {
    EXPECT_FALSE(routes_.Handle({ .method_ = "GET", .path_ = path })) << path;
  }
}

TEST_F(AdminRoutesTest, ReadinessReflectsTheProcessButHealthDoesNot)
{
  EXPECT_EQ(Get("/readyz").status_, 200);
  ready_ = false;
  EXPECT_EQ(Get("/readyz").status_, 503);
  EXPECT_EQ(Get("/healthz").status_, 200);
}

TEST_F(AdminRoutesTest, ServesMetricsAndStatus)
{
  ready_ = false;
  EXPECT_THAT(Get("/metrics").body_, HasSubstr("cornelfront_ready 0\n"));
  EXPECT_EQ(Get("/v1/admin/status").body_, R"({"role":"entry"})");
}

TEST_F(AdminRoutesTest, ServesEventsAfterAStamp)
{
  events_.Record(EventId::LinkUp, {}, WallTime(Millis(1)));
  events_.Record(EventId::LinkDown, {}, WallTime(Millis(2)));
  EXPECT_EQ(DecodeEventPage(Get("/v1/admin/events").body_).events_.size(), 2U);
  const std::string after = std::to_string(events_.Since(0)[0].stamp_);
  const EventPage page =
    DecodeEventPage(Get("/v1/admin/events", { { "after", after } }).body_);
  ASSERT_EQ(page.events_.size(), 1U);
  EXPECT_EQ(page.events_[0].name_, "link_down");
  EXPECT_EQ(page.process_.name_, "entry-1");
}

TEST_F(AdminRoutesTest, RefusesBadStampsAndMethods)
{
  for (const char* after : { "", "x", "-1", "1.5", "99999999999999999999" }) {
    const HttpResponse response =
      Get("/v1/admin/events", { { "after", after } });
    EXPECT_EQ(response.status_, 400) << after;
    EXPECT_THAT(response.body_, HasSubstr("after: "));
  }
  const auto post = routes_.Handle({ .method_ = "POST", .path_ = "/metrics" });
  EXPECT_EQ(post->status_, 405);
  EXPECT_EQ(post->headers_.at(0).second, "GET, HEAD");
}

} // namespace
} // namespace cornelfront
