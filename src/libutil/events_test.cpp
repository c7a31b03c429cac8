#include "cornelfront/events.h"

#include <gtest/gtest.h>

#include <set>

namespace cornelfront {
namespace {

const WallTime kNow{ std::chrono::hours(480000) };

TEST(Events, NamesAreDistinctAndIdsAscend)
{
  std::set<std::string_view> names;
  EventId last{};
  for (const EventId id : AllEventIds()) {
    EXPECT_LT(last, id);
    EXPECT_TRUE(names.insert(EventName(id)).second) << EventName(id);
    last = id;
  }
  EXPECT_EQ(EventName(EventId::TaskUnresolved), "task_unresolved");
}

TEST(Events, FormatsTheLogLine)
{
  EXPECT_EQ(FormatEvent(EventId::TaskUnresolved,
                        { { "task", "7f:1" },
                          { "why", "link lost" },
                          { "empty", "" },
                          { "odd", "a\n\"b\\" } }),
            "[503 task_unresolved] task=7f:1 why=\"link lost\" empty=\"\" "
            "odd=\"a\\x0a\\\"b\\\\\"");
}

TEST(HybridClock, IncreasesWhenTheWallClockStopsOrGoesBack)
{
  HybridClock clock;
  const uint64_t first = clock.Tick(kNow);
  const uint64_t second = clock.Tick(kNow);
  const uint64_t third = clock.Tick(kNow - std::chrono::minutes(5));
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_LT(third, clock.Tick(kNow + Millis(1)));
}

TEST(HybridClock, StampsFollowObservedStamps)
{
  HybridClock ahead;
  HybridClock behind;
  const uint64_t sent = ahead.Tick(kNow + std::chrono::minutes(5));
  behind.Observe(sent, kNow);
  EXPECT_GT(behind.Tick(kNow), sent);
}

TEST(HybridClock, IgnoresStampsFarInTheFuture)
{
  HybridClock clock;
  clock.Observe(UINT64_MAX, kNow);
  HybridClock fresh;
  EXPECT_EQ(clock.Tick(kNow), fresh.Tick(kNow));
}

TEST(EventLog, ReturnsNewerEvents)
{
  EventLog log;
  log.Record(EventId::LinkUp, { { "peer", "a" } }, kNow);
  log.Record(EventId::LinkDown, { { "peer", "a" } }, kNow);
  const std::vector<Event> all = log.Since(0);
  ASSERT_EQ(all.size(), 2U);
  const std::vector<Event> rest = log.Since(all[0].stamp_);
  ASSERT_EQ(rest.size(), 1U);
  EXPECT_EQ(rest[0].id_, EventId::LinkDown);
  EXPECT_TRUE(log.Since(all[1].stamp_).empty());
}

TEST(EventLog, DropsTheOldestBeyondItsCapacity)
{
  EventLog log({ .capacity_ = 2 });
  for (const char* peer : { "a", "b", "c" }) {
    log.Record(EventId::LinkUp, { { "peer", peer } }, kNow);
  }
  EXPECT_EQ(log.Dropped(), 1U);
  ASSERT_EQ(log.Since(0).size(), 2U);
  EXPECT_EQ(log.Since(0)[0].fields_[0].second, "b");
}

} // namespace
} // namespace cornelfront
