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
  leadership.OnClaim(1, At(100));
  EXPECT_FALSE(leadership.HasAuthority(At(101)));
  leadership.OnLeader(1, kSelf, At(150));
  EXPECT_TRUE(leadership.IsLeader());
  EXPECT_TRUE(leadership.HasAuthority(At(4099)));
  EXPECT_FALSE(leadership.HasAuthority(At(4100)));
  EXPECT_TRUE(leadership.ShouldRenew(At(800)));
  leadership.OnConfirmed(At(3000));
  EXPECT_TRUE(leadership.HasAuthority(At(6999)));
}

TEST(LeadershipTest, AClaimThatIsReadLateGivesNoAuthorityBeyondItsStart)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnClaim(1, At(100));
  leadership.OnLeader(1, kSelf, At(5100));
  EXPECT_TRUE(leadership.IsLeader());
  EXPECT_FALSE(leadership.HasAuthority(At(5100)))
    << "others have counted its silence since 100 ms or so";
  EXPECT_TRUE(leadership.ShouldRenew(At(5100)));
  leadership.OnConfirmed(At(5100));
  EXPECT_TRUE(leadership.HasAuthority(At(9099)));
  EXPECT_FALSE(leadership.HasAuthority(At(9100)));
}

TEST(LeadershipTest, ANewerTermDoesNotExtendTheAuthorityOfAnOlderClaim)
{
  Leadership leadership(kSelf, {}, At(0));
  leadership.OnClaim(1, At(100));
  leadership.OnLeader(1, kSelf, At(150));
  leadership.OnLeader(2, kOther, At(5000));
  leadership.OnLeader(3, kSelf, At(9000));
  EXPECT_FALSE(leadership.HasAuthority(At(9000)));
}

/// Leader A has authority for as long as the store may have taken its last
/// append at the start of that append; B counts from its read of that append,
/// which is later.
TEST(LeadershipTest, EarlierRunsEndOnlyAfterTheAuthorityOfTheEarlierLeader)
{
  const LeadershipOptions options;
  for (const int appliedAfter : { 0, 300, 1500, 5000 }) {
    for (const int readByA : { 0, 100, 5000 }) {
      for (const int readByB : { 0, 100, 3000 }) {
        Leadership a(kSelf, options, At(0));
        Leadership b(kOther, options, At(0));
        const int applied = 1000 + appliedAfter;
        a.OnClaim(1, At(1000));
        b.OnLeader(1, kSelf, At(applied + readByB));
        a.OnLeader(1, kSelf, At(applied + readByA));
        const int claim = applied + readByB + 2000;
        b.OnClaim(2, At(claim));
        b.OnLeader(2, kOther, At(claim + 10));
        int end = 1000;
        for (int ms = applied + readByA; a.HasAuthority(At(ms)); ++ms) {
          end = ms + 1;
        }
        const auto expiry = static_cast<int>(options.runsExpiry_.count());
        EXPECT_FALSE(b.EarlierRunsEnded(At(end + expiry - 1)))
          << "applied after " << appliedAfter << " ms, read by A after "
          << readByA << " ms, by B after " << readByB << " ms";
      }
    }
  }
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
