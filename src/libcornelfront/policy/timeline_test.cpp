#include "cornelfront/timeline.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

using ::testing::ElementsAre;

const WallTime kNow{ std::chrono::hours(480000) };

// A process whose wall clock is wrong by aSkew.
class Process
{
public:
  Process(uint64_t aMember, std::string aName, Millis aSkew, size_t aCapacity)
    : identity_{ { aMember }, std::move(aName), "entry", "zone-a" }
    , skew_(aSkew)
    , log_({ .capacity_ = aCapacity })
  {
  }

  Process(uint64_t aMember, std::string aName, Millis aSkew)
    : Process(aMember, std::move(aName), aSkew, 100)
  {
  }

  void RecordEvent(const std::string& aName)
  {
    log_.Record(EventId::LinkUp, { { "what", aName } }, kNow + skew_);
  }
  uint64_t SendStamp() { return log_.Clock().Tick(kNow + skew_); }
  void Receive(uint64_t aStamp) { log_.Clock().Observe(aStamp, kNow + skew_); }
  EventPage Page(uint64_t aAfter = 0) const
  {
    return DecodeEventPage(EncodeEventPage(identity_, log_.Snapshot(aAfter)));
  }

private:
  ProcessIdentity identity_;
  Millis skew_;
  EventLog log_;
};

std::vector<std::string>
Order(const Timeline& aTimeline)
{
  std::vector<std::string> order;
  for (const TimelineEvent& event : aTimeline.events_) {
    order.push_back(event.event_.fields_.at(0).second);
  }
  return order;
}

TEST(Timeline, PagesRoundTripThroughJson)
{
  EventLog log;
  log.Record(EventId::TaskStarted,
             { { "zone", "b" }, { "attempt", "1" }, { "odd", "\xff\"" } },
             kNow);
  const ProcessIdentity self{ { 7 }, "sidecar-1", "sidecar", "zone-b" };
  const EventPage page =
    DecodeEventPage(EncodeEventPage(self, log.Snapshot(0)));
  EXPECT_EQ(page.process_.member_, self.member_);
  EXPECT_EQ(page.process_.role_, "sidecar");
  EXPECT_EQ(page.oldest_, log.Since(0)[0].stamp_);
  ASSERT_EQ(page.events_.size(), 1U);
  EXPECT_EQ(page.events_[0].stamp_, log.Since(0)[0].stamp_);
  EXPECT_EQ(page.events_[0].number_, 500);
  EXPECT_EQ(page.events_[0].name_, "task_started");
  EXPECT_EQ(page.events_[0].fields_[0].first, "zone");
}

TEST(Timeline, RejectsInvalidPages)
{
  const std::string page = EncodeEventPage({ { 7 }, "a", "entry", "z" }, {});
  EXPECT_NO_THROW(DecodeEventPage(page));
  for (const char* text : { "", "{}", "[]", "{\"member\":\"x\"}", "\xff" }) {
    EXPECT_THROW(DecodeEventPage(text), EventPageError) << text;
  }
}

TEST(Timeline, CrossingMessagesStayInCausalOrder)
{
  Process ahead(1, "ahead", std::chrono::minutes(5));
  Process behind(2, "behind", -std::chrono::minutes(5));
  ahead.RecordEvent("ahead sends");
  const uint64_t fromAhead = ahead.SendStamp();
  behind.RecordEvent("behind sends");
  const uint64_t fromBehind = behind.SendStamp();
  ahead.Receive(fromBehind);
  ahead.RecordEvent("ahead receives");
  behind.Receive(fromAhead);
  behind.RecordEvent("behind receives");
  const Timeline timeline = MergeEventPages({ ahead.Page(), behind.Page() }, 0);
  // By wall clock alone, "behind receives" would come ten minutes before "ahead
  // sends".
  EXPECT_THAT(
    Order(timeline),
    ElementsAre(
      "behind sends", "ahead sends", "ahead receives", "behind receives"));
  EXPECT_TRUE(timeline.gaps_.empty());
}

TEST(Timeline, EqualStampsAreOrderedByMember)
{
  Process second(2, "second", Millis(0));
  Process first(1, "first", Millis(0));
  second.RecordEvent("second");
  first.RecordEvent("first");
  EXPECT_THAT(Order(MergeEventPages({ second.Page(), first.Page() }, 0)),
              ElementsAre("first", "second"));
}

TEST(Timeline, IgnoresASecondPageOfAProcess)
{
  Process process(1, "one", Millis(0));
  process.RecordEvent("a");
  EXPECT_THAT(Order(MergeEventPages({ process.Page(), process.Page() }, 0)),
              ElementsAre("a"));
}

TEST(Timeline, ReportsGapsOnlyInTheRequestedRange)
{
  Process process(1, "small", Millis(0), 2);
  for (const char* what : { "a", "b", "c", "d" }) {
    process.RecordEvent(what);
  }
  const Timeline timeline = MergeEventPages({ process.Page() }, 0);
  ASSERT_EQ(timeline.gaps_.size(), 1U);
  EXPECT_EQ(timeline.gaps_[0].dropped_, 2U);
  EXPECT_EQ(timeline.gaps_[0].before_, timeline.events_[0].event_.stamp_);
  const uint64_t after = timeline.events_[0].event_.stamp_;
  EXPECT_TRUE(MergeEventPages({ process.Page(after) }, after).gaps_.empty());
}

TEST(Timeline, FormatsStampsAsUtc)
{
  const WallTime time{ Millis(1772600767089) };
  EXPECT_EQ(FormatUtc(time), "2026-03-04T05:06:07.089Z");
  EXPECT_EQ(WallTimeOf(FirstStampAt(time) + 5), time);
}

} // namespace
} // namespace cornelfront
