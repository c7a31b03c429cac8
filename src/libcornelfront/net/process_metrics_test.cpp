#include "net/process_metrics.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

TEST(ProcessMetrics, CountsMessagesAndTheTasksThatTheyAnswer)
{
  Metrics metrics;
  const auto count = CountTraffic(metrics);
  const TaskAnswers answers{
    .answers_ = { { .outcome_ = TaskOutcome::Completed,
                    .runTime_ = Millis(60) },
                  { .outcome_ = TaskOutcome::NotRun,
                    .reason_ = TaskReason::StaleConfig },
                  { .outcome_ = TaskOutcome::Running } },
    .load_ = {}
  };
  count(answers, 100, false);
  const std::string text = metrics.Serialize();
  EXPECT_THAT(
    text,
    HasSubstr(R"(cornelfront_message_bytes_total{direction="received",)"
              R"(kind="task_answers"} 100)"));
  EXPECT_THAT(text,
              HasSubstr(R"({outcome="not_run",reason="stale_config"} 1)"));
  EXPECT_THAT(text, HasSubstr("cornelfront_task_run_seconds_sum 0.06"));
  EXPECT_THAT(text, Not(HasSubstr("running\",")));
}

TEST(ProcessMetrics, CountsResponsesThatNameAnOutcome)
{
  Metrics metrics;
  const MonoTime received{ std::chrono::seconds(5) };
  int sent = 0;
  const ResponseCallback respond = CountResponse(
    metrics,
    [&](const HttpResponse&) { ++sent; },
    received,
    [&] { return received + Millis(160); });
  respond({ .headers_ = { { "Cornelfront-Outcome", "completed" } } });
  respond({ .headers_ = { { "Other", "completed" } } });
  EXPECT_EQ(sent, 2);
  const std::string text = metrics.Serialize();
  EXPECT_THAT(text,
              HasSubstr("cornelfront_requests_total{outcome=\"completed\"} 1"));
  EXPECT_THAT(
    text,
    HasSubstr("cornelfront_response_seconds_sum{outcome=\"completed\"} 0.16"));
}

} // namespace
} // namespace cornelfront
