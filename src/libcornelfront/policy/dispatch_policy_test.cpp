#include "cornelfront/dispatch_policy.h"

#include "cornelfront/schema.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(DispatchPolicy, ReadsAllKeys)
{
  const DispatchPolicy policy =
    ParseDispatchPolicy("route_rule: power_of_two\nejection: false\n"
                        "queue_per_sidecar: 4\nramp_time: 5s\n");
  EXPECT_TRUE(std::holds_alternative<PowerOfTwo>(policy.rule_));
  EXPECT_FALSE(policy.ejection_);
  EXPECT_EQ(policy.queuePerSidecar_, 4U);
  EXPECT_EQ(policy.rampTime_, Millis(5000));
}

TEST(DispatchPolicy, AnEmptyTextYieldsTheDefaults)
{
  EXPECT_TRUE(
    std::holds_alternative<LeastLoaded>(ParseDispatchPolicy("").rule_));
}

class InvalidPolicy : public testing::TestWithParam<const char*>
{};

TEST_P(InvalidPolicy, IsRejected)
{
  EXPECT_THROW(ParseDispatchPolicy(GetParam()), FileErrors);
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         InvalidPolicy,
                         testing::Values("route_rule: fastest",
                                         "ejection: maybe",
                                         "queue_per_sidecar: -1",
                                         "ramp_time: 3",
                                         "retries: 3"));

} // namespace
} // namespace cornelfront
