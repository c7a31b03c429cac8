#include "cornelfront/ejection.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace cornelfront {
namespace {

using Change = EjectionPolicy::Change;

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr MemberId kFirst{ 1 };

EjectionPolicy
PolicyOf(uint64_t aMembers, EjectionOptions aOptions = {})
{
  EjectionPolicy policy(aOptions);
  for (uint64_t id = 1; id <= aMembers; ++id) {
    policy.Add({ id });
  }
  return policy;
}

void
FailUntilEjected(EjectionPolicy& aPolicy, MemberId aId, MonoTime aNow)
{
  for (int i = 0; i < 10 && !aPolicy.IsEjected(aId); ++i) {
    aPolicy.OnAnswer(aId, true, aNow);
  }
}

TEST(Ejection, EjectsAfterConsecutiveFailures)
{
  EjectionPolicy policy = PolicyOf(11);
  EXPECT_EQ(policy.OnAnswer(kFirst, true, kStart), Change::None);
  EXPECT_EQ(policy.OnAnswer(kFirst, true, kStart), Change::None);
  EXPECT_EQ(policy.OnAnswer(kFirst, true, kStart), Change::Ejected);
  EXPECT_TRUE(policy.IsEjected(kFirst));
  EXPECT_EQ(policy.OnAnswer({ 99 }, true, kStart), Change::None);
}

TEST(Ejection, ProbesWithBackOffAndReturnsAfterASuccess)
{
  EjectionPolicy policy = PolicyOf(11);
  FailUntilEjected(policy, kFirst, kStart);
  MonoTime now = kStart;
  for (Millis wait : { Millis(1000), Millis(2000), Millis(4000) }) {
    EXPECT_FALSE(policy.NextProbe(true, now + wait - Millis(1)));
    now += wait;
    EXPECT_FALSE(policy.NextProbe(false, now))
      << "non-repeatable tasks are not used yet";
    EXPECT_EQ(policy.NextProbe(true, now), kFirst);
    policy.OnAnswer(kFirst, true, now);
    EXPECT_TRUE(policy.IsEjected(kFirst));
  }
  EXPECT_EQ(policy.NextProbe(false, now + Millis(16000)), kFirst);
  EXPECT_EQ(policy.OnAnswer(kFirst, false, now), Change::Returned);
  EXPECT_FALSE(policy.IsEjected(kFirst));
}

TEST(Ejection, SuspendsWhenTooManySidecarsFail)
{
  EjectionPolicy policy = PolicyOf(10);
  FailUntilEjected(policy, { 1 }, kStart);
  FailUntilEjected(policy, { 2 }, kStart);
  FailUntilEjected(policy, { 3 }, kStart);
  EXPECT_EQ(policy.EjectedCount(), 3U);
  FailUntilEjected(policy, { 4 }, kStart);
  EXPECT_TRUE(policy.IsSuspended());
  EXPECT_EQ(policy.EjectedCount(), 0U);
  EXPECT_FALSE(policy.IsEjected({ 1 }));
  EXPECT_FALSE(policy.NextProbe(true, kStart + std::chrono::hours(1)));
  EXPECT_EQ(policy.OnAnswer({ 2 }, false, kStart), Change::Resumed);
  EXPECT_TRUE(policy.IsEjected({ 1 }));
  policy.Erase({ 1 });
  EXPECT_FALSE(policy.IsEjected({ 1 }));
}

struct RateCase
{
  const char* name_;
  /// Failure probabilities of the first sidecar and of each of the others.
  double first_;
  double others_;
  bool ejectsFirst_;
};

class EjectionRates : public testing::TestWithParam<RateCase>
{};

TEST_P(EjectionRates, EjectsOnlyOutliers)
{
  constexpr uint64_t kMembers = 11;
  constexpr int kRounds = 200;
  const RateCase& test = GetParam();
  EjectionPolicy policy = PolicyOf(kMembers);
  std::mt19937_64 random(1);
  bool firstEjected = false;
  int othersEjected = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (uint64_t id = 1; id <= kMembers; ++id) {
      const double rate = id == 1 ? test.first_ : test.others_;
      const bool failed = std::bernoulli_distribution(rate)(random);
      const Change change = policy.OnAnswer({ id }, failed, kStart);
      firstEjected |= policy.IsEjected(kFirst);
      othersEjected += id != 1 && change == Change::Ejected ? 1 : 0;
    }
  }
  EXPECT_EQ(firstEjected, test.ejectsFirst_);
  EXPECT_LE(othersEjected, kRounds / 50)
    << "more false positives than expected";
}

INSTANTIATE_TEST_SUITE_P(
  Rates,
  EjectionRates,
  testing::Values(RateCase{ "all_fail", 1.0, 1.0, false },
                  RateCase{ "half_fail_everywhere", 0.5, 0.5, false },
                  RateCase{ "calm", 0.0, 0.0, false },
                  RateCase{ "one_fails_everything", 1.0, 0.01, true },
                  RateCase{ "one_fails_most", 0.7, 0.01, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

} // namespace
} // namespace cornelfront
