#include "cornelfront/admission.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };

struct PredictCase
{
  ServiceLoad load_;
  Priority priority_;
  uint64_t tasks_;
  Millis expected_;
};

class Predict : public testing::TestWithParam<PredictCase>
{};

TEST_P(Predict, UsesRunTimeAndSlots)
{
  const PredictCase& test = GetParam();
  const WaitEstimate estimate(Millis(800));
  EXPECT_EQ(estimate.Predict(test.load_, test.priority_, test.tasks_, kStart),
            test.expected_);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  Predict,
  testing::Values(
    PredictCase{ { .slots_ = 8 }, Priority::Normal, 8, Millis(0) },
    PredictCase{ { .slots_ = 8 }, Priority::Normal, 9, Millis(100) },
    PredictCase{ { .slots_ = 8, .tasks_ = 8 },
                 Priority::Normal,
                 1,
                 Millis(100) },
    PredictCase{ { .waiting_ = { 2, 3, 50 }, .slots_ = 8, .tasks_ = 9 },
                 Priority::Normal,
                 1,
                 Millis(600) },
    PredictCase{ { .waiting_ = { 2, 3, 50 }, .slots_ = 8, .tasks_ = 9 },
                 Priority::Batch,
                 1,
                 Millis(5600) },
    PredictCase{ {}, Priority::Urgent, 1, Millis::max() }));

TEST(WaitEstimate, UsesMeasuredStartIntervals)
{
  constexpr ServiceLoad kFull{ .waiting_ = { 0, 9, 0 },
                               .slots_ = 8,
                               .tasks_ = 8 };
  WaitEstimate estimate(Millis(800));
  MonoTime now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += Millis(300);
    estimate.OnStart(10, now);
  }
  EXPECT_EQ(estimate.Predict(kFull, Priority::Normal, 1, now), Millis(3000));
  EXPECT_EQ(estimate.Predict(
              kFull, Priority::Normal, 1, now + std::chrono::seconds(10)),
            Millis(1000));
}

TEST(WaitEstimate, FollowsMeasuredRunTimes)
{
  WaitEstimate estimate(Millis(8000));
  for (int i = 0; i < 1000; ++i) {
    estimate.OnRunTime(Millis(800));
  }
  EXPECT_EQ(
    estimate.Predict({ .slots_ = 8, .tasks_ = 8 }, Priority::Normal, 1, kStart),
    Millis(100));
}

TEST(Admission, RefusesBatchTasksFirst)
{
  constexpr Millis kStartWithin{ 2000 };
  const AdmissionOptions options;
  const auto check = [&](Priority aPriority, Millis aWait) {
    return CheckAdmission(options, aPriority, aWait, kStartWithin);
  };
  EXPECT_FALSE(check(Priority::Batch, Millis(1000)));
  EXPECT_EQ(check(Priority::Batch, Millis(1500)), Millis(500));
  EXPECT_FALSE(check(Priority::Normal, Millis(2000)));
  EXPECT_EQ(check(Priority::Normal, Millis(2001)), Millis(50));
  EXPECT_FALSE(check(Priority::Urgent, Millis(2000)));
  EXPECT_EQ(check(Priority::Urgent, Millis::max()), Millis(30000));
}

} // namespace
} // namespace cornelfront
