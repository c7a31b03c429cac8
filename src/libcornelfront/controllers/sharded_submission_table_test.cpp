#include "cornelfront/sharded_submission_table.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr int kThreads = 6;

FinalAnswer
Result(Outcome aOutcome)
{
  return JobResult{ .outcome_ = aOutcome };
}

/// Several threads resubmit the same ids. All attempts are refused except the
/// last one of each id, which completes.
TEST(ShardedSubmissionTable, RunsOneAttemptAtATime)
{
  constexpr int kIds = 50;
  constexpr uint64_t kLastAttempt = 20;
  ShardedSubmissionTable submissions({ .start_ = kStart });
  std::array<std::atomic<int>, kIds> active{};
  std::array<std::atomic<int>, kIds> completed{};
  std::atomic<int> overlaps{ 0 };
  const auto submit = [&](int aIndex) {
    const SubmissionId id{ .suffix_ = std::to_string(aIndex) };
    const auto result = submissions.Begin(id, "digest", {}, kStart);
    if (const auto* attempt = std::get_if<NewAttempt>(&result)) {
      overlaps += active[aIndex]++;
      const bool last = attempt->number_ == kLastAttempt;
      completed[aIndex] += last ? 1 : 0;
      --active[aIndex];
      submissions.Finish(id,
                         attempt->number_,
                         Result(last ? Outcome::Completed : Outcome::Refused));
    }
    return std::holds_alternative<Answered>(result);
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < kIds; ++i) {
        while (!submit((i + t) % kIds)) {
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(overlaps, 0);
  for (const auto& count : completed) {
    EXPECT_EQ(count, 1);
  }
}

TEST(ShardedSubmissionTable, AnswersEveryWaiterOnce)
{
  ShardedSubmissionTable submissions(
    { .start_ = kStart, .maxWaiters_ = kThreads });
  const SubmissionId id{ .suffix_ = "a" };
  std::atomic<int> answers{ 0 };
  std::atomic<int> attempts{ 0 };
  const Waiter waiter = [&](const FinalAnswerPtr&) { ++answers; };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      const auto result = submissions.Begin(id, "digest", waiter, kStart);
      if (const auto* attempt = std::get_if<NewAttempt>(&result)) {
        ++attempts;
        submissions.Finish(id, attempt->number_, Result(Outcome::Completed));
      } else if (std::holds_alternative<Answered>(result)) {
        ++answers;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(attempts, 1);
  EXPECT_EQ(answers, kThreads);
}

} // namespace
} // namespace cornelfront
