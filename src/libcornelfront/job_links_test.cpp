#include "job_links_pvt.h"

#include <gtest/gtest.h>

#include <future>

namespace cornelfront {
namespace {

constexpr Millis kSuspension{ 5000 };
const MonoTime kStart = MonoTime(std::chrono::hours(1));

std::atomic<bool>&
Suspended()
{
  static std::atomic<bool> sSuspended{ false };
  return sSuspended;
}

/// A clock that stands still but for one suspension.
MonoTime
ClockWithSuspension()
{
  return Suspended() ? kStart + kSuspension : kStart;
}

TEST(JobLinks, StampsCountTheTimeOfASuspension)
{
  const auto handlers = MakeJobLinkHandlers({}, {});
  EXPECT_EQ(handlers->stampClock_, &BootNow);
}

TEST(JobLinks, AnOrderThatWaitedThroughASuspensionIsOld)
{
  std::promise<Millis> age;
  IoPool pool{ 1 };
  LinkPtr sidecar;
  LinkPtr entry;
  LinkHandlers sidecarSide = *MakeJobLinkHandlers(
    [&](const LinkPtr&, Envelope& aEnvelope) {
      if (std::holds_alternative<StartRuns>(aEnvelope.message_)) {
        age.set_value(MaxAgeOf(aEnvelope, ClockWithSuspension()));
      }
    },
    [](const LinkPtr&, const std::string&) {});
  sidecarSide.stampClock_ = &ClockWithSuspension;
  const auto entrySide = MakeJobLinkHandlers(
    [&](const LinkPtr& aLink, Envelope&) {
      Suspended() = true;
      aLink->Send(StartRuns{});
    },
    [](const LinkPtr&, const std::string&) {});
  LinkServer server(pool, { "127.0.0.1", 0 }, [&](auto aSocket) {
    entry =
      std::make_shared<Link>(std::move(aSocket), LinkSettings{}, entrySide);
    entry->Start();
  });
  asio::ip::tcp::socket socket(pool.Context());
  socket.connect({ asio::ip::make_address("127.0.0.1"), server.Port() });
  sidecar =
    std::make_shared<Link>(std::move(socket),
                           LinkSettings{},
                           std::make_shared<const LinkHandlers>(sidecarSide));
  sidecar->Start();
  sidecar->Send(Hello{ .role_ = Role::Sidecar });
  auto result = age.get_future();
  const auto received = result.wait_for(std::chrono::seconds(10));
  pool.Stop();
  ASSERT_EQ(received, std::future_status::ready);
  EXPECT_EQ(result.get(), kSuspension);
}

} // namespace
} // namespace cornelfront
