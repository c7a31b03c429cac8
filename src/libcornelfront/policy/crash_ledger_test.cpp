#include "cornelfront/crash_ledger.h"
#include "cornelfront/run_table.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MemberId kFirst{ 1 };
constexpr MemberId kSecond{ 2 };
constexpr MemberId kThird{ 3 };
constexpr MemberId kEntry{ 16 };
const JobTaskId kTask{ "00000000000000aa", 0, 0, 1 };
const JobTaskId kOther{ "00000000000000bb", 0, 0, 0 };

class CrashLedgerTest : public testing::Test
{
protected:
  void Record(MemberId aSidecar,
              uint64_t aNumber,
              CrashState aState,
              std::vector<JobTaskId> aTasks)
  {
    ledger_.Record(aSidecar, { aNumber, aState, std::move(aTasks) }, now_);
  }

  MonoTime now_{ std::chrono::hours(1) };
  CrashLedger ledger_{ {} };
};

TEST_F(CrashLedgerTest, ATaskIsConfirmedAfterThreeCrashes)
{
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::None);
  Record(kFirst, 1, CrashState::Proven, { kTask, kOther });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Suspect);
  Record(kFirst, 2, CrashState::Proven, { kTask, kOther });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Suspect);
  Record(kSecond, 1, CrashState::Proven, { kTask });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Confirmed);
  EXPECT_EQ(ledger_.SuspicionOf(kOther), CrashSuspicion::Suspect);
  EXPECT_EQ(ledger_.FindConfirmed(kTask.job_, 0), kTask);
  EXPECT_EQ(ledger_.FindConfirmed(kTask.job_, 1), std::nullopt);
  EXPECT_EQ(ledger_.FindConfirmed(kOther.job_, 0), std::nullopt);
}

TEST_F(CrashLedgerTest, TwoCrashesSufficeIfItWasAlone)
{
  Record(kFirst, 1, CrashState::Proven, { kTask, kOther });
  Record(kSecond, 1, CrashState::Proven, { kTask });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Confirmed);
}

TEST_F(CrashLedgerTest, AStartWithoutAnAnswerCountsOnlyAmongThree)
{
  const UpstreamCrash unanswered{ .number_ = 1,
                                  .state_ = CrashState::Proven,
                                  .tasks_ = { kTask },
                                  .unanswered_ = { kTask } };
  ledger_.Record(kFirst, unanswered, now_);
  Record(kSecond, 1, CrashState::Proven, { kTask });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Suspect);
  ledger_.Record(kThird, unanswered, now_);
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Confirmed);
  EXPECT_EQ(ledger_.CrashesUnder(kTask), 3U);
  EXPECT_EQ(ledger_.UnansweredUnder(kTask), 2U);
}

// What else was ordered there may have been the cause.
TEST_F(CrashLedgerTest, ATaskBesideAnUnansweredStartWasNotAlone)
{
  for (const MemberId sidecar : { kFirst, kSecond }) {
    ledger_.Record(sidecar,
                   { .number_ = 1,
                     .state_ = CrashState::Proven,
                     .tasks_ = { kTask, kOther },
                     .unanswered_ = { kOther } },
                   now_);
  }
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Suspect);
  EXPECT_EQ(ledger_.SuspicionOf(kOther), CrashSuspicion::Suspect);
}

TEST_F(CrashLedgerTest, SuspectedCrashesOnlyHoldATask)
{
  for (const MemberId sidecar : { kFirst, kSecond, kThird }) {
    Record(sidecar, 1, CrashState::Suspected, { kTask });
  }
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Held);
  Record(kFirst, 1, CrashState::Withdrawn, { kTask });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Suspect);
  Record(kSecond, 1, CrashState::Proven, { kTask });
  Record(kThird, 1, CrashState::Proven, { kTask });
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::Confirmed);
}

TEST_F(CrashLedgerTest, ForgetsWhatIsOld)
{
  const CrashLedgerOptions options;
  Record(kFirst, 1, CrashState::Suspected, { kTask });
  Record(kSecond, 1, CrashState::Proven, { kOther });
  ledger_.Expire(now_ + options.suspicionTimeout_ + Millis(1));
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::None);
  EXPECT_EQ(ledger_.SuspicionOf(kOther), CrashSuspicion::Suspect);
  ledger_.Expire(now_ + options.retention_ + Millis(1));
  EXPECT_EQ(ledger_.SuspicionOf(kOther), CrashSuspicion::None);
}

TEST_F(CrashLedgerTest, HoldsABoundedNumberOfCrashes)
{
  const CrashLedgerOptions options;
  Record(kFirst, 1, CrashState::Proven, { kTask });
  for (uint64_t i = 0; i < options.maxEntries_; ++i) {
    now_ += Millis(1);
    Record(kSecond, i, CrashState::Proven, { kOther });
  }
  EXPECT_EQ(ledger_.SuspicionOf(kTask), CrashSuspicion::None);
  EXPECT_EQ(ledger_.CrashesUnder(kOther), options.maxEntries_);
}

using States = std::vector<CrashState>;

/// A sidecar whose upstream starts one task.
class CrashReportTest : public testing::Test
{
protected:
  CrashReportTest()
  {
    Announce(1, false);
    table_.OnPollResult(table_.BeginPoll(), {}, now_);
    table_.OnOwnerLinked(kEntry, now_);
    Order(1);
  }

  void Order(uint32_t aRun)
  {
    table_.OnOrders(kEntry,
                    { .job_ = kTask.job_,
                      .service_ = "service",
                      .startTimeout_ = Millis(1000),
                      .runs_ = { { kTask.index_, aRun } } },
                    now_);
    EXPECT_EQ(table_.TakeStarts(now_).size(), 1U);
  }

  void Answer(StartAnswer aAnswer, uint32_t aRun = 1)
  {
    table_.OnStartAnswer({ kTask, aRun }, aAnswer, {}, now_);
  }

  void Announce(int64_t aStarted, bool aDraining)
  {
    table_.OnUpstream({ .id_ = "u",
                        .startedMs_ = aStarted,
                        .service_ = "service",
                        .capacity_ = { .cpu_ = 1000 },
                        .draining_ = aDraining },
                      now_);
  }

  void Poll()
  {
    table_.OnPollResult(
      table_.BeginPoll(), { .running_ = { { { kTask, 1 } } } }, now_);
  }

  /// The upstream is silent until its runs count as lost.
  void BeSilent()
  {
    const MonoTime end = now_ + table_.Options().upstreamTimeout_;
    while (now_ <= end) {
      now_ += Millis(100);
      table_.OnOwnerHeard(kEntry, now_);
      table_.Tick(now_);
    }
  }

  /// States of the crashes that are new, all of them with the one task.
  std::vector<CrashState> TakeStates()
  {
    std::vector<CrashState> states;
    for (const UpstreamCrash& crash : table_.TakeCrashes()) {
      EXPECT_EQ(crash.tasks_, std::vector<JobTaskId>{ kTask });
      states.push_back(crash.state_);
    }
    return states;
  }

  MonoTime now_{ std::chrono::hours(1) };
  RunTable table_{ {} };
};

TEST_F(CrashReportTest, ASilentUpstreamThatReturnsAsAnotherHasCrashed)
{
  Answer(StartAnswer::Started);
  Poll();
  BeSilent();
  EXPECT_EQ(TakeStates(), (States{ CrashState::Suspected }));
  Announce(2, false);
  EXPECT_EQ(TakeStates(), (States{ CrashState::Proven }));
  ASSERT_EQ(table_.KnownCrashes().size(), 1U);
  EXPECT_EQ(table_.KnownCrashes().front().state_, CrashState::Proven);
}

TEST_F(CrashReportTest, ASilentUpstreamThatAnswersAgainHasNotCrashed)
{
  Answer(StartAnswer::Started);
  Poll();
  BeSilent();
  EXPECT_EQ(TakeStates(), (States{ CrashState::Suspected }));
  Poll();
  EXPECT_EQ(TakeStates(), (States{ CrashState::Withdrawn }));
  EXPECT_TRUE(table_.KnownCrashes().empty());
}

TEST_F(CrashReportTest, AnUpstreamThatLeavesOrDrainsHasNotCrashed)
{
  Answer(StartAnswer::Started);
  Poll();
  Announce(1, true);
  Announce(2, false);
  EXPECT_EQ(TakeStates(), States{});
  table_.OnUpstreamLeft({ .id_ = "u" }, now_);
  EXPECT_EQ(TakeStates(), States{});
}

// A task may end its upstream before the answer to its start is sent.
TEST_F(CrashReportTest, AStartWithoutAnAnswerCounts)
{
  Answer(StartAnswer::Unknown);
  table_.OnUpstreamReplaced(table_.BeginPoll(), Replacement::OtherId, now_);
  EXPECT_EQ(TakeStates(), (States{ CrashState::Proven }));
}

// The order may never have begun a run.
TEST_F(CrashReportTest, AnOrderThatTimedOutAtAMuteUpstreamIsNoSecondCrash)
{
  CrashLedger ledger{ {} };
  const auto report = [&] {
    for (const UpstreamCrash& crash : table_.TakeCrashes()) {
      ledger.Record(kFirst, crash, now_);
    }
  };
  Answer(StartAnswer::Started);
  Poll();
  BeSilent();
  Announce(2, false);
  table_.OnPollResult(table_.BeginPoll(), {}, now_);
  report();
  Order(2);
  Answer(StartAnswer::Unknown, 2);
  BeSilent();
  Announce(3, false);
  report();
  EXPECT_EQ(table_.KnownCrashes().size(), 2U);
  EXPECT_EQ(ledger.SuspicionOf(kTask), CrashSuspicion::Suspect);
}

} // namespace
} // namespace cornelfront
