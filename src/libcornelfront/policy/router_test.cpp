#include "cornelfront/router.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

constexpr MonoTime kNow{ std::chrono::hours(1) };
constexpr auto kRules = { "least_loaded", "zone_first",  "stale_least_loaded",
                          "random",       "round_robin", "power_of_two" };

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

TEST(Router, ZoneFirstFillsItsOwnZoneThenOthersThenQueues)
{
  Router router({ .rule_ = ZoneFirst{}, .zone_ = "b", .queuePerSidecar_ = 1 });
  router.Upsert(Sidecar(1, "a", { .slots_ = 2 }));
  router.Upsert(Sidecar(2, "b", { .slots_ = 2 }));
  for (uint64_t expected : { 2, 2, 1, 1, 2, 1 }) {
    EXPECT_EQ(router.Choose({}, kNow), Id(expected));
  }
  EXPECT_FALSE(router.Choose({}, kNow));
}

TEST(Router, LimitsItsOutstandingTasks)
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

TEST(Router, NeverChoosesADisabledZoneOrExcludedSidecar)
{
  for (const char* rule : kRules) {
    Router router({ .rule_ = *ParseRouteRule(rule) });
    router.SetZoneEnabled("a", false);
    router.Upsert(Sidecar(1, "a", { .slots_ = 4 }));
    EXPECT_EQ(router.Choose({}, kNow), std::nullopt);
    router.Upsert(Sidecar(2, "b", { .slots_ = 4 }));
    EXPECT_EQ(router.Choose({}, kNow), Id(2));
    EXPECT_EQ(router.Choose({ .exclude_ = { { 2 } } }, kNow), std::nullopt);
    router.Erase({ 2 });
    router.SetZoneEnabled("a", true);
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

TEST(Router, RampsUpAReturnedZone)
{
  constexpr uint32_t kSlots = 8;
  constexpr Millis kRamp{ 1000 };
  Router router({ .queuePerSidecar_ = 0, .rampTime_ = kRamp });
  router.Upsert(Sidecar(1, "a", { .slots_ = kSlots }));
  router.Upsert(Sidecar(2, "b", { .slots_ = kSlots }));
  EXPECT_EQ(router.Capacity(kNow).slots_, 2 * kSlots)
    << "no ramp while the router is new";
  router.SetZoneEnabled("b", false);
  EXPECT_EQ(router.Capacity(kNow).slots_, kSlots);
  router.SetZoneEnabled("b", true);

  const RouteRequest onlySecond{ .exclude_ = { { 1 } } };
  uint32_t sent = 0;
  for (Millis after : { Millis(0), Millis(500), Millis(1000) }) {
    while (router.Choose(onlySecond, kNow + kRamp + after)) {
      ++sent;
    }
    const auto expected = kSlots * after / kRamp;
    EXPECT_GE(sent, expected);
    EXPECT_LE(sent, expected + 1);
  }
}

TEST(Router, DiscountsOldReportsOfOtherEntries)
{
  Router router({ .queuePerSidecar_ = 0, .reportLifetime_ = Millis(100) });
  router.Upsert(Sidecar(1, "a", { .slots_ = 4, .running_ = 4 }));
  EXPECT_FALSE(router.Choose({}, kNow));
  EXPECT_FALSE(router.Choose({}, kNow + Millis(99)));
  EXPECT_TRUE(router.Choose({}, kNow + Millis(100)));
  EXPECT_TRUE(router.Choose({}, kNow + Millis(100)));
  EXPECT_FALSE(router.Choose({}, kNow + Millis(100)));
}

TEST(Router, UsesSlowSidecarsLast)
{
  Router router({ .queuePerSidecar_ = 2 });
  router.Upsert(Sidecar(1, "a", { .slots_ = 2 }));
  router.Upsert(Sidecar(2, "a", { .slots_ = 2 }));
  router.SetSlow({ 1 }, true);
  EXPECT_EQ(router.Choose({}, kNow), Id(2));
  EXPECT_EQ(router.Choose({}, kNow), Id(2));
  router.SetSlow({ 1 }, false);
  EXPECT_EQ(router.Choose({}, kNow), Id(1));
}

TEST(Router, EjectsAndProbesAFailingSidecar)
{
  Router router({});
  for (uint64_t id = 1; id <= 4; ++id) {
    router.Upsert(Sidecar(id, "a", { .slots_ = 4 }));
  }
  MonoTime now = kNow;
  for (int i = 0; i < 100; ++i) {
    const MemberId id = *router.Choose({}, now);
    router.OnAnswer(id, { .slots_ = 4 }, id.value_ == 3, now);
  }
  EXPECT_EQ(router.EjectedCount(), 1U);
  EXPECT_EQ(router.Capacity(now).slots_, 12U);
  now += EjectionOptions{}.baseEjectionTime_;
  EXPECT_NE(router.Choose({}, now), Id(3));
  EXPECT_EQ(router.Choose({ .repeatable_ = true }, now), Id(3));
  EXPECT_NE(router.Choose({ .repeatable_ = true }, now), Id(3));
  router.OnAnswer({ 3 }, { .slots_ = 4 }, false, now);
  EXPECT_EQ(router.EjectedCount(), 0U);
}

TEST(ParseRouteRule, RejectsUnknownNames)
{
  EXPECT_FALSE(ParseRouteRule("fastest"));
}

} // namespace
} // namespace cornelfront
