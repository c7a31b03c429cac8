#include "cornelfront/router.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

constexpr MonoTime kNow{ std::chrono::hours(1) };

Candidate
Sidecar(uint64_t aId, const std::string& aZone, LoadReport aLoad)
{
  return { .id_ = { aId }, .zone_ = aZone, .load_ = aLoad };
}

std::optional<MemberId>
Id(uint64_t aValue)
{
  return MemberId{ aValue };
}

TEST(Router, ChoosesTheLeastLoadedPerSlot)
{
  Router router({});
  router.Upsert(Sidecar(1, "a", { .slots_ = 4, .running_ = 2 }));
  router.Upsert(Sidecar(2, "a", { .slots_ = 8, .running_ = 3 }));
  EXPECT_EQ(router.Choose({}, kNow), Id(2));
}

TEST(Router, PrefersItsOwnZoneAmongEquals)
{
  Router router({ .zone_ = "b" });
  router.Upsert(Sidecar(1, "a", { .slots_ = 4 }));
  router.Upsert(Sidecar(2, "b", { .slots_ = 4 }));
  router.Upsert(Sidecar(3, "c", { .slots_ = 4 }));
  EXPECT_EQ(router.Choose({}, kNow), Id(2));
  EXPECT_NE(router.Choose({}, kNow), Id(2));
}

TEST(Router, CountsItsOwnOutstandingTasksUpToTheBound)
{
  Router router({ .queuePerSidecar_ = 1 });
  router.Upsert(Sidecar(1, "a", { .slots_ = 2 }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(router.Choose({}, kNow), Id(1));
  }
  EXPECT_EQ(router.Choose({}, kNow), std::nullopt);
  router.OnAnswer({ 1 }, { .slots_ = 2, .running_ = 2 }, false, kNow);
  EXPECT_EQ(router.Choose({}, kNow), Id(1));
  EXPECT_EQ(router.Choose({}, kNow), std::nullopt);
}

TEST(Router, CountsTasksOfOtherEntries)
{
  Router router({ .queuePerSidecar_ = 0 });
  router.Upsert(Sidecar(1, "a", { .slots_ = 2, .running_ = 1 }));
  EXPECT_EQ(router.Choose({}, kNow), Id(1));
  EXPECT_EQ(router.Choose({}, kNow), std::nullopt);
}

TEST(Router, NeverChoosesAZoneThatIsOutNorAnExcludedSidecar)
{
  for (RouteRule rule : { RouteRule::LeastLoaded,
                          RouteRule::Random,
                          RouteRule::RoundRobin,
                          RouteRule::PowerOfTwo }) {
    Router router({ .rule_ = rule });
    router.SetZoneIn("a", false);
    router.Upsert(Sidecar(1, "a", { .slots_ = 4 }));
    EXPECT_EQ(router.Choose({}, kNow), std::nullopt);
    router.Upsert(Sidecar(2, "b", { .slots_ = 4 }));
    EXPECT_EQ(router.Choose({}, kNow), Id(2));
    EXPECT_EQ(router.Choose({ .exclude_ = { { 2 } } }, kNow), std::nullopt);
    router.Erase({ 2 });
    router.SetZoneIn("a", true);
    EXPECT_EQ(router.Choose({}, kNow), Id(1));
  }
}

TEST(Router, IgnoresUnknownSidecarsAndThoseWithoutSlots)
{
  Router router({});
  router.OnAnswer({ 9 }, { .slots_ = 4 }, false, kNow);
  router.Upsert(Sidecar(1, "a", {}));
  EXPECT_EQ(router.Choose({}, kNow), std::nullopt);
  EXPECT_EQ(router.size(), 1U);
}

} // namespace
} // namespace cornelfront
