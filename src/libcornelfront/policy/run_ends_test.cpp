/// \file
/// What RunTable takes as a proof that runs have ended: docs/RUN-ENDS.md.

#include "policy/run_table_fixture_test.h"

namespace cornelfront::run_table_test {
namespace {

/// A run goes on while polls of its upstream are sent and have no answer.
class SilentUpstreamTest : public RunTableTest
{
protected:
  /// The last poll that extends the lease of a silent upstream.
  static constexpr int kLastGrantMs = 500;
  /// 1,000 ms from then on, 31 ms on a slow clock, and lapseDelay_.
  static constexpr int kLeaseOverMs = kLastGrantMs + 1000 + 31 + 100;

  SilentUpstreamTest()
  {
    Start(1);
    Poll({ .running_ = { { Key(0) } } }, 2);
  }

  /// Lets time pass in which polls are sent and have no answer.
  void Silence(int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ++ms) {
      table_.OnOwnerHeard(kOwner, At(ms));
      if (const auto end = table_.LeaseEnd(At(ms))) {
        table_.BeginPoll();
        table_.OnLeaseGranted(*end, {});
      }
      table_.Tick(At(ms));
    }
  }
};

TEST_F(SilentUpstreamTest, IsNotTakenAsGoneBeforeItsLeaseIsOver)
{
  const int heardMs = 2;
  Silence(heardMs, heardMs + kLeaseOverMs);
  EXPECT_TRUE(Reports().empty());
  Silence(heardMs + kLeaseOverMs + 1, heardMs + kLeaseOverMs + 1);
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::Lost);
}

// If the whole machine stood still, so did the clock that its lease is for.
TEST_F(RunTableTest, ASuspensionIsNoSilenceOfTheUpstream)
{
  Start(2);
  Poll({ .running_ = { { Key(0) }, { Key(1) } } }, 5);
  table_.OnLeaseGranted(At(1005), UpstreamTime{ Millis(1005) });
  table_.Tick(At(10));
  const int resumedMs = 3010;
  table_.OnOwnerHeard(kOwner, At(resumedMs));
  table_.Tick(At(resumedMs));
  EXPECT_TRUE(Reports().empty());
  EXPECT_EQ(Stops(resumedMs), (std::vector<RunKey>{ Key(0), Key(1) }));
  Poll(
    { .running_ = { { Key(1) } }, .ended_ = { { 1, Key(0), RunEnd::Done } } },
    resumedMs + 5);
  const auto reports = Reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::Done);
}

TEST_F(RunTableTest, ALeaseIsOverLaterByTheTimeOfASuspension)
{
  Start(1);
  Poll({ .running_ = { { Key(0) } } }, 5);
  table_.Tick(At(10));
  const int resumedMs = 3010;
  // Granted as late as before any silence.
  table_.OnLeaseGranted(At(1505), UpstreamTime{ Millis(1505) });
  Wait(resumedMs, resumedMs);
  const int overMs = 1505 + 3000 + 31 + 100;
  Wait(resumedMs + 10, overMs);
  EXPECT_TRUE(Reports().empty());
  Wait(overMs + 1, overMs + 1);
  EXPECT_EQ(Reports().at(0).end_, RunEnd::Lost);
}

// It may start again under its id and carry out an order that has no answer,
// which one with another id would refuse.
TEST_F(SilentUpstreamTest, IsNotReplacedByAHeartbeatWhenItsLeaseIsOver)
{
  UpstreamInfo earlier = Upstream(0);
  earlier.id_ = "u2";
  UpstreamInfo later = Upstream(2);
  later.id_ = "u3";
  Silence(2, 2 + kLeaseOverMs + 1);
  EXPECT_EQ(table_.IdentifySender(earlier), HeartbeatSender::Outdated);
  EXPECT_EQ(table_.IdentifySender(later), HeartbeatSender::Unproven);
  ASSERT_TRUE(table_.OnUpstreamReplaced(
    table_.BeginPoll(), Replacement::OtherId, At(2 + kLeaseOverMs + 2)));
  EXPECT_EQ(table_.IdentifySender(earlier), HeartbeatSender::Successor);
  EXPECT_EQ(table_.IdentifySender(later), HeartbeatSender::Successor);
}

// Nothing was granted beyond the usual time, which is not lengthened.
TEST_F(SilentUpstreamTest, IsTakenAsGoneAtTheUsualTimeIfNothingWasGranted)
{
  const int usualMs = 1600;
  Wait(2, 2 + usualMs);
  EXPECT_TRUE(Reports().empty());
  Wait(2 + usualMs + 1, 2 + usualMs + 1);
  EXPECT_EQ(Reports().size(), 1U);
}

// Its link is cut, and it takes runs of which it is told nothing for not
// started when it is linked again.
TEST_F(RunTableTest,
       AnEndIsToldToAnOwnerThatWasSilentForLongerThanReportsAreKept)
{
  Start(1);
  Poll({ .running_ = { { Key(0) } } }, 2);
  const int end = 2000;
  PollOften({ .running_ = { { Key(0) } } }, 50, end - 50);
  Poll({ .ended_ = { { 1, Key(0), RunEnd::Done } } }, end);
  table_.TakeUpdates();
  // An entry may take 1,000 ms to notice the cut, and then gives runs up after
  // lostRunTimeout_, 2,320 ms.
  PollOften({}, end + 50, end + 3350);
  const auto reports = table_.MakeHeldRuns(kOwner).reports_;
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].end_, RunEnd::Done);
}

} // namespace
} // namespace cornelfront::run_table_test
