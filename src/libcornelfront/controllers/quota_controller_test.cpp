#include "controllers/quota_controller.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };

ServiceSchema
SchemaWithTeams(int aTeams)
{
  ServiceSchema schema{ .service_ = "desk" };
  for (int i = 0; i < aTeams; ++i) {
    schema.teams_["team-" + std::to_string(i)] = { .startsPerSecond_ = 10,
                                                   .burst_ = 10 };
  }
  return schema;
}

TEST(QuotaController, LimitsEachTeamToTheShareOfThisEntry)
{
  QuotaController quotas([] { return 2U; });
  const ServiceSchema schema = SchemaWithTeams(2);
  EXPECT_FALSE(quotas.Take(schema, "team-0", 5, kStart));
  EXPECT_EQ(quotas.Take(schema, "team-0", 1, kStart), Millis(200));
  EXPECT_FALSE(quotas.Take(schema, "team-1", 5, kStart));
  EXPECT_FALSE(quotas.Take(schema, "without-quota", 1000, kStart));
}

TEST(QuotaController, ForgetsIdleTeams)
{
  constexpr int kTeams = 770;
  QuotaController quotas([] { return 1U; });
  const ServiceSchema schema = SchemaWithTeams(kTeams);
  for (int i = 0; i < kTeams; ++i) {
    quotas.Take(schema, "team-" + std::to_string(i), 1, kStart);
  }
  EXPECT_EQ(quotas.size(), static_cast<size_t>(kTeams));
  const MonoTime later = kStart + std::chrono::minutes(1);
  for (int i = 0; i < 100 * kTeams; ++i) {
    quotas.Take(schema, "team-" + std::to_string(i % 3), 1, later);
  }
  EXPECT_LT(quotas.size(), static_cast<size_t>(kTeams));
}

} // namespace
} // namespace cornelfront
