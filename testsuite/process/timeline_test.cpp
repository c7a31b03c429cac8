/// \file
/// What operators can observe of a running system: its processes, its timeline
/// and its metrics, starting from the URL of one entry.

#include "caller.h"
#include "cluster.h"
#include "fleet.h"

#include <gmock/gmock.h>

#include <set>

namespace cornelfront::harness {
namespace {

using ::testing::HasSubstr;

constexpr unsigned kTasks = 6;
constexpr Millis kRunTime{ 50 };

std::string
FieldOf(const TimelineEvent& aEvent, const std::string& aName)
{
  for (const auto& [name, value] : aEvent.event_.fields_) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

class TimelineTest : public ::testing::Test
{
protected:
  void RunJob()
  {
    Caller caller(cluster_.EntryUrl(0));
    const Submission job =
      MakeSubmission(caller.FetchKeyPrefix() + ".job", kTasks, kRunTime);
    const CallerAnswer answer = caller.Submit(job);
    ASSERT_EQ(answer.outcome_, AnswerOutcome::Completed) << answer;
  }

  FetchOptions FromOneEntry() const
  {
    return { .entries_ = { cluster_.EntryUrl(1) } };
  }

  Cluster cluster_;
};

TEST_F(TimelineTest, OneEntryLeadsToEveryProcess)
{
  const Fleet fleet = FetchFleet(FromOneEntry());
  EXPECT_TRUE(fleet.unreachable_.empty());
  EXPECT_EQ(fleet.entries_.size(), cluster_.Entries());
  for (const SidecarReport& report : SidecarsOf(fleet)) {
    EXPECT_EQ(report.knownBy_, cluster_.Entries());
    EXPECT_TRUE(report.sidecar_.ready_);
  }
  EXPECT_EQ(SidecarsOf(fleet).size(), 3U);
}

TEST_F(TimelineTest, EachTaskStartsOnceAndThenFinishes)
{
  RunJob();
  const FetchedPages fetched = FetchAllPages(FromOneEntry(), 0);
  EXPECT_TRUE(fetched.unreachable_.empty());
  EXPECT_EQ(fetched.pages_.size(), cluster_.Entries() + 3);
  std::set<std::string> running;
  std::set<std::string> finished;
  for (const TimelineEvent& event :
       MergeEventPages(fetched.pages_, 0).events_) {
    const std::string task = FieldOf(event, "task");
    if (event.event_.name_ == "task_started") {
      EXPECT_TRUE(running.insert(task).second) << task;
      EXPECT_EQ(FieldOf(event, "zone"), event.process_.zone_);
      EXPECT_GT(std::stoul(FieldOf(event, "version")), 0U);
    } else if (event.event_.name_ == "task_finished") {
      EXPECT_EQ(running.count(task), 1U) << task;
      finished.insert(task);
    }
  }
  EXPECT_EQ(running.size(), kTasks);
  EXPECT_EQ(finished.size(), kTasks);
}

TEST_F(TimelineTest, MetricsCountTheJob)
{
  RunJob();
  HttpClient http;
  const HttpResult result =
    http.Perform({ .url_ = cluster_.EntryUrl(0) + "/metrics" });
  ASSERT_TRUE(result.Ok()) << result.error_;
  const std::string& text = result.response_.body_;
  EXPECT_THAT(text,
              HasSubstr("cornelfront_requests_total{outcome=\"completed\"} 1"));
  EXPECT_THAT(text,
              HasSubstr("cornelfront_tasks_total{outcome=\"completed\","
                        "reason=\"none\"} 6"));
  EXPECT_THAT(text, HasSubstr("cornelfront_messages_per_finished_request"));
}

} // namespace
} // namespace cornelfront::harness
