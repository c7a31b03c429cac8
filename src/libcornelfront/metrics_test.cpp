#include "cornelfront/metrics.h"

#include <gmock/gmock.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace cornelfront {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

// Calls every Count and Set function.
void
UpdateAllMetrics(Metrics& aMetrics)
{
  aMetrics.CountMessage(KeepAlive{}, Direction::Sent, 40);
  aMetrics.CountMessage(KeepAlive{}, Direction::Sent, 60);
  aMetrics.CountMessage(Leaving{}, Direction::Received, 9);
  aMetrics.CountRequest(Outcome::Completed, Millis(160));
  aMetrics.CountTask(TaskOutcome::NotRun, TaskReason::ZoneOut);
  aMetrics.CountTaskRun(Millis(90));
  aMetrics.CountRetry(TaskReason::QueueFull);
  aMetrics.CountUnexpectedAnswer();
  aMetrics.CountLogOperation(LogOperation::Read, false);
  aMetrics.CountLinkEnd("silent");
  aMetrics.SetQueueLength("event_desk", 7);
  aMetrics.SetLoad("event_desk", { .slots_ = 88, .running_ = 5 });
  aMetrics.SetLinks(Role::Sidecar, 11);
  aMetrics.SetConfigVersion({ 42 });
  aMetrics.SetReady(true);
  aMetrics.SetEventsDropped(3);
}

TEST(Metrics, ServesAllMetrics)
{
  Metrics metrics;
  UpdateAllMetrics(metrics);
  const std::string text = metrics.Serialize();
  for (
    const char* line : {
      R"(cornelfront_messages_total{direction="sent",kind="pulse"} 2)",
      R"(cornelfront_message_bytes_total{direction="sent",kind="pulse"} 100)",
      R"(cornelfront_messages_total{direction="received",kind="leaving"} 1)",
      R"(cornelfront_requests_total{outcome="completed"} 1)",
      R"(cornelfront_response_seconds_bucket{outcome="completed",le="0.2"} 1)",
      R"(cornelfront_tasks_total{outcome="not_run",reason="zone_out"} 1)",
      "cornelfront_task_run_seconds_sum 0.09",
      R"(cornelfront_retries_total{reason="queue_full"} 1)",
      "cornelfront_stray_answers_total 1",
      R"(cornelfront_log_operations_total{operation="read",result="failed"} 1)",
      R"(cornelfront_link_ends_total{reason="silent"} 1)",
      R"(cornelfront_queue_length{service="event_desk"} 7)",
      R"(cornelfront_slots{service="event_desk"} 88)",
      R"(cornelfront_running_tasks{service="event_desk"} 5)",
      R"(cornelfront_links{peer="sidecar"} 11)",
      "cornelfront_config_version 42",
      "cornelfront_ready 1",
      "cornelfront_events_dropped 3",
      "cornelfront_messages_per_finished_request 3",
    }) {
    EXPECT_THAT(text, HasSubstr(std::string(line) + "\n"));
  }
}

TEST(Metrics, ServesOnlyCombinationsThatOccurred)
{
  Metrics metrics;
  metrics.CountTask(TaskOutcome::Completed, TaskReason::None);
  EXPECT_THAT(metrics.Serialize(), Not(HasSubstr("zone_out")));
}

TEST(Metrics, CountsFromManyThreads)
{
  constexpr int kThreads = 4;
  constexpr int kCounts = 1000;
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kCounts; ++j) {
        metrics.CountMessage(KeepAlive{}, Direction::Sent, 1);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_THAT(
    metrics.Serialize(),
    HasSubstr("cornelfront_messages_total{direction=\"sent\",kind=\"pulse\"} "
              "4000\n"));
}

// Names of the metric families in aText.
std::vector<std::string>
FamilyNames(const std::string& aText)
{
  std::vector<std::string> names;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string mark;
    std::string kind;
    std::string name;
    words >> mark >> kind >> name;
    if (kind == "HELP") {
      names.push_back(name);
    }
  }
  return names;
}

TEST(Metrics, AreDocumentedForOperators)
{
  std::ifstream file(CORNELFRONT_SOURCE_DIR "/docs/OPERATING.md");
  std::ostringstream page;
  page << file.rdbuf();
  Metrics metrics;
  UpdateAllMetrics(metrics);
  const std::vector<std::string> names = FamilyNames(metrics.Serialize());
  EXPECT_GE(names.size(), 19U);
  for (const std::string& name : names) {
    EXPECT_THAT(page.str(), HasSubstr("`" + name + "`"));
  }
}

TEST(Metrics, ReportsTheProcess)
{
  Metrics metrics;
  const std::string text = metrics.Serialize();
  EXPECT_THAT(text, HasSubstr("process_cpu_seconds_total "));
  EXPECT_THAT(text, Not(HasSubstr("process_resident_memory_bytes 0\n")));
}

} // namespace
} // namespace cornelfront
