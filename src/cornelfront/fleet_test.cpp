#include "fleet.h"

#include "cornelfront/http_server.h"
#include "net/admin_routes.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

// Serves the admin routes over HTTP with a status set by the test.
class FakeProcess
{
public:
  explicit FakeProcess(const ProcessIdentity& aIdentity)
    : status_{ .process_ = aIdentity }
    , routes_({ .process_ = aIdentity,
                .isReady_ = [] { return true; },
                .statusJson_ = [this] { return EncodeAdminStatus(status_); },
                .events_ = &events_,
                .metrics_ = &metrics_ })
    , server_({}, [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      aReply.Send(*routes_.Handle(aRequest));
    })
  {
    status_.http_ = "127.0.0.1:" + std::to_string(server_.Port());
    events_.Record(
      EventId::ProcessStarted, {}, WallTime(std::chrono::hours(480000)));
  }

  AdminStatus& Status() { return status_; }
  std::string Url() const { return "http://" + status_.http_; }
  KnownEntry AsEntry() const
  {
    const ProcessIdentity& self = status_.process_;
    return { { self.member_, self.zone_, "127.0.0.1", 1 }, status_.http_ };
  }
  KnownSidecar AsSidecar(uint64_t aVersion) const
  {
    return { .process_ = status_.process_,
             .http_ = status_.http_,
             .service_ = "event_desk",
             .ready_ = true,
             .configVersion_ = { aVersion } };
  }

private:
  AdminStatus status_;
  EventLog events_;
  Metrics metrics_;
  AdminRoutes routes_;
  HttpServer server_;
};

class FleetTest : public ::testing::Test
{
protected:
  FakeProcess first_{ { { 1 }, "entry-1", "entry", "a" } };
  FakeProcess second_{ { { 2 }, "entry-2", "entry", "b" } };
  FakeProcess sidecar_{ { { 3 }, "sidecar-1", "sidecar", "a" } };
};

TEST_F(FleetTest, FindsEntriesListedByOtherEntries)
{
  first_.Status().entries_ = { second_.AsEntry() };
  second_.Status().entries_ = { first_.AsEntry() };
  const Fleet fleet = FetchFleet({ .entries_ = { first_.Url() + "/" } });
  ASSERT_EQ(fleet.entries_.size(), 2U);
  EXPECT_EQ(fleet.entries_[1].process_.name_, "entry-2");
  EXPECT_TRUE(fleet.unreachable_.empty());
}

TEST_F(FleetTest, QueriesADuplicateEntryOnce)
{
  const Fleet fleet =
    FetchFleet({ .entries_ = { first_.Url(), first_.Url() } });
  EXPECT_EQ(fleet.entries_.size(), 1U);
}

TEST_F(FleetTest, ReportsUnreachableProcesses)
{
  KnownEntry unknown = second_.AsEntry();
  unknown.http_ = "";
  first_.Status().entries_ = { unknown };
  const Fleet fleet =
    FetchFleet({ .entries_ = { first_.Url(), "http://127.0.0.1:1" } });
  ASSERT_EQ(fleet.unreachable_.size(), 2U);
  EXPECT_EQ(fleet.unreachable_[0].process_, "http://127.0.0.1:1");
  EXPECT_THAT(fleet.unreachable_[1].process_, HasSubstr("0000000000000002"));
}

TEST_F(FleetTest, MergesReportsAboutASidecar)
{
  first_.Status().sidecars_ = { sidecar_.AsSidecar(7) };
  second_.Status().sidecars_ = { sidecar_.AsSidecar(9) };
  const auto reports =
    SidecarsOf(FetchFleet({ .entries_ = { first_.Url(), second_.Url() } }));
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].knownBy_, 2U);
  EXPECT_EQ(reports[0].sidecar_.configVersion_, ConfigVersion{ 9 });
}

TEST_F(FleetTest, FetchesEventsOfAllProcesses)
{
  first_.Status().entries_ = { second_.AsEntry() };
  first_.Status().sidecars_ = { sidecar_.AsSidecar(7) };
  const FetchedPages fetched =
    FetchAllPages({ .entries_ = { first_.Url() } }, 0);
  std::vector<std::string> names;
  for (const EventPage& page : fetched.pages_) {
    names.push_back(page.process_.name_);
  }
  EXPECT_THAT(names, ElementsAre("entry-1", "entry-2", "sidecar-1"));
  EXPECT_TRUE(fetched.unreachable_.empty());
}

TEST_F(FleetTest, FetchesEventsOfOnlyTheGivenProcesses)
{
  first_.Status().sidecars_ = { sidecar_.AsSidecar(7) };
  EXPECT_EQ(FetchPages({ first_.Url() }, 0, Millis(3000)).pages_.size(), 1U);
}

} // namespace
} // namespace cornelfront
