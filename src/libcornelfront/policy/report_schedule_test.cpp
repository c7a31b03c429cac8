#include "cornelfront/report_schedule.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr ReportScheduleOptions kOptions{
  .minInterval_ = Millis(50),
  .activeIntervalPerEntry_ = Millis(10),
  .idleIntervalPerEntry_ = Millis(50),
  .activePeriod_ = Millis(1000),
};
constexpr size_t kEntries = 10;
const MonoTime kStart{ std::chrono::seconds(100) };

UpstreamReport
Report(int64_t aCommittedCpu, bool aReady = true)
{
  return { .ready_ = aReady, .committed_ = { .cpu_ = aCommittedCpu } };
}

TEST(ReportSchedule, AChangeOfReadinessIsDueAtOnce)
{
  ReportSchedule schedule(kOptions);
  schedule.OnSent(Report(0), kStart);
  EXPECT_FALSE(schedule.IsDue(Report(0), kEntries, kStart));
  EXPECT_TRUE(schedule.IsDue(Report(0, false), kEntries, kStart));
}

TEST(ReportSchedule, WithoutAChangeNothingIsDue)
{
  ReportSchedule schedule(kOptions);
  schedule.OnSent(Report(1000), kStart);
  EXPECT_FALSE(schedule.IsDue(Report(1000), kEntries, kStart + Millis(60000)));
}

TEST(ReportSchedule, AnEntryThatSendsOrdersIsToldMoreOften)
{
  ReportSchedule schedule(kOptions);
  schedule.OnOrders(kStart);
  schedule.OnSent(Report(0), kStart);
  EXPECT_FALSE(schedule.IsDue(Report(1000), kEntries, kStart + Millis(99)));
  EXPECT_TRUE(schedule.IsDue(Report(1000), kEntries, kStart + Millis(100)));
}

TEST(ReportSchedule, AnEntryWithoutRecentOrdersIsToldLessOften)
{
  ReportSchedule schedule(kOptions);
  schedule.OnOrders(kStart);
  const MonoTime sent = kStart + Millis(1000);
  schedule.OnSent(Report(0), sent);
  EXPECT_FALSE(schedule.IsDue(Report(1000), kEntries, sent + Millis(499)));
  EXPECT_TRUE(schedule.IsDue(Report(1000), kEntries, sent + Millis(500)));
}

TEST(ReportSchedule, FewEntriesAreToldOften)
{
  ReportSchedule schedule(kOptions);
  schedule.OnSent(Report(0), kStart);
  EXPECT_FALSE(schedule.IsDue(Report(1000), 1, kStart + Millis(49)));
  EXPECT_TRUE(schedule.IsDue(Report(1000), 1, kStart + Millis(50)));
}

} // namespace
} // namespace cornelfront
