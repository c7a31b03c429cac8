/// \file
/// Points 8 and 7 of docs/INVARIANTS.md: a planned stop interrupts no request,
/// and an upstream that leaves or is lost receives no new work after its lease.

#include "load.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace cornelfront::harness {
namespace {

constexpr unsigned kWarmUp = 30;
/// Default lease of the upstream stand-in.
constexpr Millis kLease{ 3000 };
/// Time until the entries know that a lease has lapsed.
constexpr Millis kSlack{ 1000 };
constexpr Millis kWatch{ 2000 };

void
WaitForMore(const Load& aLoad)
{
  const unsigned before = aLoad.Completed();
  EXPECT_TRUE(WaitUntil([&] { return aLoad.Completed() >= before + kWarmUp; }));
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
  Judge judge;
  Load load(cluster, judge, { .run_ = Millis(150) });
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
  EXPECT_EQ(load.Lost(), 0U) << judge.Lost();
  judge.Check(cluster.Starts());
}

TEST(PlannedStop, EntryAnswersWhatIsInFlight)
{
  Cluster cluster;
  Judge judge;
  Caller owner(cluster.EntryUrl(0));
  const Submission job =
    MakeSubmission(owner.TakePrefix() + ".job", 40, Millis(500));
  {
    const std::jthread first([&] { judge.Submit(owner, job); });
    ASSERT_TRUE(WaitUntil([&] { return !cluster.Starts().empty(); }));
    Terminate(*cluster.Entry(0).process_);
  }
  EXPECT_EQ(judge.Count(Answer::Completed), 1U);
  judge.Check(cluster.Starts());
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
  Judge judge;
  Load load(cluster, judge);
  WaitForMore(load);
  cluster.Sidecar(0).upstream_->Signal(GetParam().signal_);
  const WallTime bound = WallClock::now() + kLease + kSlack;
  std::this_thread::sleep_until(bound);
  cluster.Sidecar(0).upstream_->Signal(SIGCONT);
  EXPECT_TRUE(WaitUntil([&] { return cluster.View(0).readySidecars_ >= 2; }));
  WaitForMore(load);
  load.Stop();
  judge.Check(cluster.Starts());
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
  Judge judge;
  Load load(cluster, judge, { .call_ = "confirm_seat" });
  WaitForMore(load);
  cluster.Sidecar(0).upstream_->Signal(SIGSTOP);
  std::this_thread::sleep_for(kLease + kSlack);
  const WallTime bound = WallClock::now();
  std::this_thread::sleep_for(kWatch);
  load.Stop();
  cluster.Sidecar(0).upstream_->Signal(SIGCONT);
  std::this_thread::sleep_for(kWatch);
  std::vector<StartRecord> late = cluster.Starts();
  std::erase_if(late, [&](const StartRecord& aStart) {
    return aStart.upstream_ != 0 || aStart.started_ < bound;
  });
  // Requests that reached its socket before the bound must not start either.
  EXPECT_TRUE(late.empty()) << late.size() << " starts";
  judge.Check(cluster.Starts());
}

} // namespace
} // namespace cornelfront::harness
