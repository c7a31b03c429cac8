/// \file
/// Point 3 of docs/INVARIANTS.md: once the withdrawal of an availability zone
/// is accepted, no task starts in the zone after the freshness bound has
/// passed.

#include "load.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <functional>

namespace cornelfront::harness {
namespace {

/// Time from the check of the start gate to the record of the start, on a busy
/// machine.
constexpr Millis kStartSlack{ 500 };
/// How long the starts are watched after the bound.
constexpr Millis kWatch{ 2000 };
constexpr unsigned kWarmUp = 30;
/// Index of the withdrawn zone, which holds entry, sidecar and upstream 1.
constexpr unsigned kOut = 1;

using Step = std::function<void(Cluster&)>;

struct ZoneCase
{
  std::string name_;
  Step before_;
  Step afterAcceptance_;
  /// Runs after the bound has passed.
  Step late_;
  bool proxied_ = true;
  /// False if no entry can attest the configuration: the log is down, and the
  /// entries of a proxied cluster are not connected to each other.
  bool worksOn_ = true;
};

void
PrintTo(const ZoneCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

void
Nothing(Cluster&)
{
}

/// Sets faults of all links of the zone's sidecar.
Step
Links(const std::string& aFault)
{
  return [=](Cluster& aCluster) {
    for (unsigned i = 0; i < aCluster.Entries(); ++i) {
      aCluster.LinkFault(kOut, i, aFault);
    }
  };
}

Step
LogLink(const std::string& aFault)
{
  return [=](Cluster& aCluster) { aCluster.LogLinkFault(kOut, aFault); };
}

Step
Log(const std::string& aFault)
{
  return [=](Cluster& aCluster) { aCluster.LogFault(aFault); };
}

Step
SignalSidecar(int aSignal)
{
  return [aSignal](Cluster& aCluster) {
    aCluster.Sidecar(kOut).process_->Signal(aSignal);
  };
}

/// Disconnects the zone's sidecar from the entries of other zones, and the
/// zone's own entry from the log.
void
CutBoth(Cluster& aCluster)
{
  aCluster.LogLinkFault(kOut, R"({"freeze": true})");
  for (unsigned i = 0; i < aCluster.Entries(); ++i) {
    if (i != kOut) {
      aCluster.LinkFault(kOut, i, R"({"freeze": true})");
    }
  }
}

std::vector<ZoneCase>
Cases()
{
  const std::string freeze = R"({"freeze": true})";
  const std::string down = R"({"down": "503"})";
  return {
    { "Calm", Nothing, Nothing, Nothing },
    { "LogDownAfterAcceptance", Nothing, Log(down), Nothing, false },
    { "LogSilentAfterAcceptance",
      Nothing,
      Log(R"({"down": "silent"})"),
      Nothing,
      false },
    { "LogSlow", Log(R"({"read_delay_ms": 700})"), Nothing, Nothing },
    { "CutOffFromLog", LogLink(freeze), Nothing, Nothing },
    { "CutOffFromEntries",
      Links(freeze),
      Nothing,
      Links(R"({"freeze": false})") },
    { "CutOffFromBoth", CutBoth, Nothing, Nothing },
    { "CutOffThenLogDown", CutBoth, Log(down), Nothing, true, false },
    { "SidecarFrozenAcross",
      SignalSidecar(SIGSTOP),
      Nothing,
      SignalSidecar(SIGCONT) },
    { "SidecarFrozenThenLogDown",
      SignalSidecar(SIGSTOP),
      Log(down),
      SignalSidecar(SIGCONT),
      false },
  };
}

std::vector<StartRecord>
StartsAfter(const Cluster& aCluster, unsigned aSidecar, WallTime aTime)
{
  std::vector<StartRecord> starts = aCluster.Starts();
  std::erase_if(starts, [=](const StartRecord& aStart) {
    return aStart.upstream_ != aSidecar || aStart.started_ <= aTime;
  });
  return starts;
}

class ZoneOut : public testing::TestWithParam<ZoneCase>
{};

TEST_P(ZoneOut, StopsStartsWithinTheBound)
{
  const ZoneCase& param = GetParam();
  Cluster cluster({ .entries_ = 3, .proxied_ = param.proxied_ });
  Judge judge;
  Load load(cluster, judge);
  ASSERT_TRUE(WaitUntil([&] { return load.Completed() >= kWarmUp; }));
  param.before_(cluster);
  const uint64_t version = cluster.Publish("zone/" + kZones[kOut], "out");
  const WallTime accepted = cluster.WaitAccepted(version);
  param.afterAcceptance_(cluster);
  std::this_thread::sleep_until(accepted + kFreshnessBound + kStartSlack);
  param.late_(cluster);
  const unsigned before = load.Completed();
  std::this_thread::sleep_for(kWatch);
  if (param.worksOn_) {
    EXPECT_GT(load.Completed(), before)
      << "no work was completed in the other zones";
  }
  load.Stop();
  EXPECT_TRUE(
    StartsAfter(cluster, kOut, accepted + kFreshnessBound + kStartSlack)
      .empty());
  judge.Check(cluster.Starts());
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         ZoneOut,
                         testing::ValuesIn(Cases()),
                         [](const testing::TestParamInfo<ZoneCase>& aInfo) {
                           return aInfo.param.name_;
                         });

TEST(Zone, GetsWorkAgainAfterItsReturn)
{
  Cluster cluster({ .entries_ = 3 });
  Judge judge;
  Load load(cluster, judge);
  const std::string key = "zone/" + kZones[kOut];
  cluster.WaitAccepted(cluster.Publish(key, "out"));
  const WallTime back = cluster.WaitAccepted(cluster.Publish(key, "in"));
  EXPECT_TRUE(
    WaitUntil([&] { return !StartsAfter(cluster, kOut, back).empty(); }));
  load.Stop();
  judge.Check(cluster.Starts());
}

TEST(Zone, OutageWithoutAChangeDoesNotStopWork)
{
  Cluster cluster({ .entries_ = 3 });
  Judge judge;
  Load load(cluster, judge);
  cluster.LogFault(R"({"down": "503"})");
  std::this_thread::sleep_for(3 * kFreshnessBound);
  for (unsigned i = 0; i < kZones.size(); ++i) {
    const WallTime now = WallClock::now();
    EXPECT_TRUE(
      WaitUntil([&] { return !StartsAfter(cluster, i, now).empty(); }))
      << kZones[i];
  }
  load.Stop();
  EXPECT_EQ(load.Lost(), 0U) << judge.Lost();
  judge.Check(cluster.Starts());
}

TEST(Zone, StaysOutIfTheAnswerToTheChangeWasLost)
{
  Cluster cluster({ .entries_ = 3 });
  Judge judge;
  Load load(cluster, judge);
  cluster.LogFault(R"({"lose_append_answers": "500"})");
  EXPECT_THROW(cluster.Publish("zone/" + kZones[kOut], "out"), LogUnavailable);
  const WallTime accepted = cluster.WaitAccepted(3);
  std::this_thread::sleep_until(accepted + kFreshnessBound + kStartSlack +
                                kWatch);
  load.Stop();
  EXPECT_TRUE(
    StartsAfter(cluster, kOut, accepted + kFreshnessBound + kStartSlack)
      .empty());
  judge.Check(cluster.Starts());
}

} // namespace
} // namespace cornelfront::harness
