#include "cornelfront/leadership.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MemberId kSelf{ 16 };
constexpr MemberId kOther{ 32 };

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

TEST(LeadershipTest, ClaimsOnlyAfterTheLeaderTimeout)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnLeader(1, kOther, At(100));
  leadership.OnRead(At(2000));
  EXPECT_FALSE(leadership.ShouldClaim(At(2099)));
  EXPECT_TRUE(leadership.ShouldClaim(At(2100)));
  leadership.OnLeaderActive(At(2100));
  EXPECT_FALSE(leadership.ShouldClaim(At(2200)));
}

TEST(LeadershipTest, ClaimsSoonerIfThereWasNoLeader)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnRead(At(10));
  EXPECT_FALSE(leadership.ShouldClaim(At(299)));
  EXPECT_TRUE(leadership.ShouldClaim(At(300)));
}

TEST(LeadershipTest, DoesNotClaimWhileItCannotReadTheStore)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnLeader(1, kOther, At(100));
  leadership.OnRead(At(500));
  EXPECT_FALSE(leadership.ShouldClaim(At(60000)));
}

TEST(LeadershipTest, LosesAuthorityWithoutConfirmation)
{
  Leadership leadership(kSelf, {}, At(0));
  EXPECT_FALSE(leadership.HasAuthority(At(0)));
  leadership.OnLeader(1, kSelf, At(100));
  EXPECT_TRUE(leadership.IsLeader());
  EXPECT_TRUE(leadership.HasAuthority(At(4099)));
  EXPECT_FALSE(leadership.HasAuthority(At(4100)));
  EXPECT_TRUE(leadership.ShouldRenew(At(800)));
  leadership.OnConfirmed(At(3000));
  EXPECT_TRUE(leadership.HasAuthority(At(6999)));
}

TEST(LeadershipTest, AFencedOrReplacedLeaderIsNoLongerLeader)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnLeader(1, kSelf, At(100));
  leadership.OnFenced();
  EXPECT_FALSE(leadership.IsLeader());
  leadership.OnLeader(3, kSelf, At(200));
  EXPECT_TRUE(leadership.IsLeader());
  leadership.OnLeader(4, kOther, At(300));
  EXPECT_FALSE(leadership.IsLeader());
  leadership.OnLeader(3, kSelf, At(400));
  EXPECT_FALSE(leadership.IsLeader()) << "an outdated record";
}

TEST(LeadershipTest, RunsOfThePreviousLeaderEndAfterItsAuthority)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnLeader(1, kOther, At(1000));
  leadership.OnLeader(2, kSelf, At(3500));
  EXPECT_FALSE(leadership.EarlierRunsEnded(At(11499)));
  EXPECT_TRUE(leadership.EarlierRunsEnded(At(11500)));
}

} // namespace
} // namespace cornelfront
