#include "cornelfront/admission_control.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr AdmissionOptions kOptions{ .urgentWaitShare_ = 0.6,
                                     .waitShare_ = 0.05 };

TEST(AdmissionControlTest, TheMostUrgentJobsMayWaitLongest)
{
  EXPECT_DOUBLE_EQ(LongestAdmittedWaitMs(kOptions, 100.0, 0), 60.0);
  EXPECT_DOUBLE_EQ(LongestAdmittedWaitMs(kOptions, 100.0, 1), 5.0);
  EXPECT_DOUBLE_EQ(LongestAdmittedWaitMs(kOptions, 100.0, 255), 5.0);
}

TEST(AdmissionControlTest, AJobWithoutSlackMayNotWait)
{
  EXPECT_DOUBLE_EQ(LongestAdmittedWaitMs(kOptions, 0.0, 0), 0.0);
}

} // namespace
} // namespace cornelfront
