#include "cornelfront/stdout_log.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

TEST(StdoutLogTest, LimitsTheLineRateExceptForWarnings)
{
  StdoutLog log({ .maxLinesPerSecond_ = 2 });
  EXPECT_TRUE(log.Admit(google::GLOG_INFO, 10, At(0)));
  EXPECT_TRUE(log.Admit(google::GLOG_INFO, 10, At(1)));
  EXPECT_FALSE(log.Admit(google::GLOG_INFO, 10, At(2)));
  EXPECT_TRUE(log.Admit(google::GLOG_WARNING, 10, At(3)));
  EXPECT_TRUE(log.Admit(google::GLOG_INFO, 10, At(1000)));
}

TEST(StdoutLogTest, DropsLinesBeyondTheBufferLimit)
{
  StdoutLog log({ .maxBufferBytes_ = 100 });
  EXPECT_FALSE(log.Admit(google::GLOG_ERROR, 101, At(0)));
}

TEST(StdoutLogTest, WritesLinesWithLevelAndPlace)
{
  testing::internal::CaptureStdout();
  {
    StdoutLog log;
    LOG(WARNING) << "job=1 outcome=refused";
    log.Flush();
  }
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_EQ(text.substr(0, 2), "W ");
  EXPECT_NE(text.find("stdout_log_test.cpp:"), std::string::npos);
  EXPECT_NE(text.find(" job=1 outcome=refused\n"), std::string::npos);
}

} // namespace
} // namespace cornelfront
