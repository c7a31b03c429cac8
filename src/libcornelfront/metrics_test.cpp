#include "cornelfront/metrics.h"

#include <gmock/gmock.h>

#include <thread>

namespace cornelfront {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

TEST(Metrics, ServesWhatWasCounted)
{
  Metrics metrics;
  metrics.CountMessage(Pulse{}, Direction::Sent, 40);
  metrics.CountMessage(Pulse{}, Direction::Sent, 60);
  metrics.CountMessage(Leaving{}, Direction::Received, 9);
  metrics.CountRequest(Outcome::Completed, Millis(160));
  metrics.CountTask(TaskOutcome::NotRun, TaskReason::ZoneOut);
  metrics.CountTaskRun(Millis(90));
  metrics.CountRetry(TaskReason::QueueFull);
  metrics.CountStrayAnswer();
  metrics.CountLogOperation(LogOperation::Read, false);
  metrics.CountLinkEnd("silent");
  metrics.SetQueueLength("event_desk", 7);
  metrics.SetLoad("event_desk", { .slots_ = 88, .running_ = 5 });
  metrics.SetLinks(Role::Sidecar, 11);
  metrics.SetConfigVersion({ 42 });
  metrics.SetReady(true);
  metrics.SetEventsDropped(3);
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
        metrics.CountMessage(Pulse{}, Direction::Sent, 1);
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

TEST(Metrics, ReportsTheProcess)
{
  Metrics metrics;
  const std::string text = metrics.Serialize();
  EXPECT_THAT(text, HasSubstr("process_cpu_seconds_total "));
  EXPECT_THAT(text, Not(HasSubstr("process_resident_memory_bytes 0\n")));
}

} // namespace
} // namespace cornelfront
