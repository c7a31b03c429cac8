/// \file
/// Points 8 and 7 of docs/INVARIANTS.md: a planned stop interrupts no request,
/// and an upstream that leaves or is lost receives no new work after its lease.

#include "load_generator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace cornelfront::harness {
namespace {

constexpr unsigned kWarmUpRequests = 30;
/// Default lease of the upstream stand-in.
constexpr Millis kLease{ 3000 };
/// Time until the entries know that a lease has lapsed.
constexpr Millis kNoticeTime{ 1000 };
constexpr Millis kWatchTime{ 2000 };

void
WaitForMore(const LoadGenerator& aLoad)
{
  const unsigned before = aLoad.Completed();
  EXPECT_TRUE(
    WaitUntil([&] { return aLoad.Completed() >= before + kWarmUpRequests; }));
}

void
Terminate(Process& aProcess)
{
  aProcess.Signal(SIGTERM);
  EXPECT_EQ(aProcess.WaitExit(), 0);
}

TEST(PlannedStop, RollingReplacementLosesNothing)
{
  Cluster cluster;
  HistoryChecker checker;
  LoadGenerator load(cluster, checker, { .run_ = Millis(150) });
  WaitForMore(load);
  for (unsigned i = 0; i < kZones.size(); ++i) {
    Terminate(*cluster.Sidecar(i).process_);
    cluster.StartSidecar(i);
    cluster.WaitReady();
    Terminate(*cluster.Sidecar(i).upstream_);
    cluster.StartUpstream(i);
    cluster.WaitReady();
  }
  for (unsigned i = 0; i < cluster.Entries(); ++i) {
    Terminate(*cluster.Entry(i).process_);
    cluster.StartEntry(i);
    cluster.WaitReady();
    WaitForMore(load);
  }
  load.Stop();
  EXPECT_EQ(load.Lost(), 0U) << checker.Lost();
  checker.Check(cluster.Starts());
}

TEST(PlannedStop, EntryAnswersWhatIsInFlight)
{
  Cluster cluster;
  HistoryChecker checker;
  Caller owner(cluster.EntryUrl(0));
  const Submission job =
    MakeSubmission(owner.FetchKeyPrefix() + ".job", 40, Millis(500));
  {
    const std::jthread first([&] { checker.Submit(owner, job); });
    ASSERT_TRUE(WaitUntil([&] { return !cluster.Starts().empty(); }));
    Terminate(*cluster.Entry(0).process_);
  }
  EXPECT_EQ(checker.Count(AnswerOutcome::Completed), 1U);
  checker.Check(cluster.Starts());
}

struct LeavingCase
{
  std::string name_;
  int signal_ = 0;
};

void
PrintTo(const LeavingCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

class Leaving : public testing::TestWithParam<LeavingCase>
{};

TEST_P(Leaving, UpstreamGetsNoNewWork)
{
  Cluster cluster;
  HistoryChecker checker;
  LoadGenerator load(cluster, checker);
  WaitForMore(load);
  cluster.Sidecar(0).upstream_->Signal(GetParam().signal_);
  const WallTime bound = WallClock::now() + kLease + kNoticeTime;
  std::this_thread::sleep_until(bound);
  cluster.Sidecar(0).upstream_->Signal(SIGCONT);
  EXPECT_TRUE(WaitUntil([&] { return cluster.Status(0).readySidecars_ >= 2; }));
  WaitForMore(load);
  load.Stop();
  checker.Check(cluster.Starts());
}

INSTANTIATE_TEST_SUITE_P(Ways,
                         Leaving,
                         testing::Values(LeavingCase{ "Announced", SIGTERM },
                                         LeavingCase{ "Dead", SIGKILL },
                                         LeavingCase{ "Silent", SIGSTOP }),
                         [](const testing::TestParamInfo<LeavingCase>& aInfo) {
                           return aInfo.param.name_;
                         });

TEST(Leaving, SilentUpstreamIsSentNothingAfterItsLease)
{
  Cluster cluster;
  HistoryChecker checker;
  LoadGenerator load(cluster, checker, { .call_ = "confirm_seat" });
  WaitForMore(load);
  cluster.Sidecar(0).upstream_->Signal(SIGSTOP);
  std::this_thread::sleep_for(kLease + kNoticeTime);
  const WallTime bound = WallClock::now();
  std::this_thread::sleep_for(kWatchTime);
  load.Stop();
  cluster.Sidecar(0).upstream_->Signal(SIGCONT);
  std::this_thread::sleep_for(kWatchTime);
  std::vector<StartRecord> late = cluster.Starts();
  std::erase_if(late, [&](const StartRecord& aStart) {
    return aStart.upstream_ != 0 || aStart.started_ < bound;
  });
  // Requests that reached its socket before the bound must not start either.
  EXPECT_TRUE(late.empty()) << late.size() << " starts";
  checker.Check(cluster.Starts());
}

} // namespace
} // namespace cornelfront::harness
