#include "policy/reference_router_pvt.h"

#include <gtest/gtest.h>

#include <random>

namespace cornelfront {
namespace {

constexpr MonoTime kNow{ std::chrono::hours(1) };
constexpr Millis kNever{ std::chrono::hours(1) };
constexpr uint64_t kIds = 20;
constexpr uint32_t kMaxSlots = 9;
constexpr int kOperations = 5000;

/// Applies the same random operations to the router and to the reference, and
/// expects choices of equal rank.
class RouterProperty : public testing::TestWithParam<uint64_t>
{
protected:
  uint64_t Draw(uint64_t aBound) { return random_() % aBound; }

  std::string DrawZone() { return std::string(1, "abc"[Draw(3)]); }

  LoadReport DrawLoad()
  {
    const auto slots = static_cast<uint32_t>(Draw(kMaxSlots));
    return { .slots_ = slots,
             .running_ = static_cast<uint32_t>(Draw(slots + 1)),
             .queued_ = static_cast<uint32_t>(Draw(2)) };
  }

  void Upsert()
  {
    const Candidate candidate{ .id_ = { 1 + Draw(kIds) },
                               .zone_ = DrawZone(),
                               .load_ = DrawLoad() };
    router_.Upsert(candidate);
    reference_.Upsert(candidate);
  }

  void Erase()
  {
    const MemberId id{ 1 + Draw(kIds) };
    router_.Erase(id);
    reference_.Erase(id);
  }

  void ToggleZone()
  {
    const std::string zone = DrawZone();
    const bool in = Draw(3) != 0;
    router_.SetZoneEnabled(zone, in);
    reference_.SetZoneEnabled(zone, in);
  }

  void Answer()
  {
    const MemberId id{ 1 + Draw(kIds) };
    const LoadReport load = DrawLoad();
    router_.OnAnswer(id, load, false, kNow);
    reference_.OnAnswer(id, load);
  }

  void Choose()
  {
    RouteRequest request;
    for (uint64_t count = Draw(3); count > 0; --count) {
      request.exclude_.push_back({ 1 + Draw(kIds) });
    }
    const auto chosen = router_.Choose(request, kNow);
    const auto best = reference_.ChooseBest(request);
    ASSERT_EQ(chosen.has_value(), best.has_value());
    if (chosen) {
      EXPECT_EQ(reference_.RankOf(*chosen, request),
                reference_.RankOf(*best, request));
      reference_.Assign(*chosen);
    }
  }

private:
  const RouterOptions options_{ .zone_ = "a",
                                .rampTime_ = Millis(0),
                                .reportLifetime_ = kNever };
  Router router_{ options_ };
  ReferenceRouter reference_{ options_ };
  std::mt19937_64 random_{ GetParam() };
};

TEST_P(RouterProperty, MatchesTheReference)
{
  for (int i = 0; i < kOperations && !HasFailure(); ++i) {
    switch (Draw(10)) {
      case 0:
        Upsert();
        break;
      case 1:
        Draw(4) == 0 ? Erase() : ToggleZone();
        break;
      case 2:
      case 3:
      case 4:
        Answer();
        break;
      default:
        Choose();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RouterProperty,
                         testing::Range(uint64_t{ 1 }, uint64_t{ 21 }));

} // namespace
} // namespace cornelfront
