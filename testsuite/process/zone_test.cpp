/// \file
/// Point 3 of docs/INVARIANTS.md: once the withdrawal of an availability zone
/// is accepted, no task starts in the zone after the freshness bound has
/// passed.

#include "load_generator.h"

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
constexpr Millis kWatchTime{ 2000 };
constexpr unsigned kWarmUpRequests = 30;
/// Index of the withdrawn zone, which holds entry, sidecar and upstream 1.
constexpr unsigned kWithdrawnZone = 1;

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
  bool continues_ = true;
};

void
PrintTo(const ZoneCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

void
NoFault(Cluster&)
{
}

/// Sets faults of all links of the zone's sidecar.
Step
Links(const std::string& aFault)
{
  return [=](Cluster& aCluster) {
    for (unsigned i = 0; i < aCluster.Entries(); ++i) {
      aCluster.LinkFault(kWithdrawnZone, i, aFault);
    }
  };
}

Step
LogLink(const std::string& aFault)
{
  return
    [=](Cluster& aCluster) { aCluster.LogLinkFault(kWithdrawnZone, aFault); };
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
    aCluster.Sidecar(kWithdrawnZone).process_->Signal(aSignal);
  };
}

/// Disconnects the zone's sidecar from the entries of other zones, and the
/// zone's own entry from the log.
void
CutBoth(Cluster& aCluster)
{
  aCluster.LogLinkFault(kWithdrawnZone, R"({"freeze": true})");
  for (unsigned i = 0; i < aCluster.Entries(); ++i) {
    if (i != kWithdrawnZone) {
      aCluster.LinkFault(kWithdrawnZone, i, R"({"freeze": true})");
    }
  }
}

std::vector<ZoneCase>
Cases()
{
  const std::string freeze = R"({"freeze": true})";
  const std::string down = R"({"down": "503"})";
  return {
    { "Calm", NoFault, NoFault, NoFault },
    { "LogDownAfterAcceptance", NoFault, Log(down), NoFault, false },
    { "LogSilentAfterAcceptance",
      NoFault,
      Log(R"({"down": "silent"})"),
      NoFault,
      false },
    { "LogSlow", Log(R"({"read_delay_ms": 700})"), NoFault, NoFault },
    { "CutOffFromLog", LogLink(freeze), NoFault, NoFault },
    { "CutOffFromEntries",
      Links(freeze),
      NoFault,
      Links(R"({"freeze": false})") },
    { "CutOffFromBoth", CutBoth, NoFault, NoFault },
    { "CutOffThenLogDown", CutBoth, Log(down), NoFault, true, false },
    { "SidecarFrozenAcross",
      SignalSidecar(SIGSTOP),
      NoFault,
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
  HistoryChecker checker;
  LoadGenerator load(cluster, checker);
  ASSERT_TRUE(WaitUntil([&] { return load.Completed() >= kWarmUpRequests; }));
  param.before_(cluster);
  const uint64_t version =
    cluster.Publish("zone/" + kZones[kWithdrawnZone], "out");
  const WallTime accepted = cluster.WaitAccepted(version);
  param.afterAcceptance_(cluster);
  std::this_thread::sleep_until(accepted + kFreshnessBound + kStartSlack);
  param.late_(cluster);
  const unsigned before = load.Completed();
  std::this_thread::sleep_for(kWatchTime);
  if (param.continues_) {
    EXPECT_GT(load.Completed(), before)
      << "no work was completed in the other zones";
  }
  load.Stop();
  EXPECT_TRUE(StartsAfter(cluster,
                          kWithdrawnZone,
                          accepted + kFreshnessBound + kStartSlack)
                .empty());
  checker.Check(cluster.Starts());
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
  HistoryChecker checker;
  LoadGenerator load(cluster, checker);
  const std::string key = "zone/" + kZones[kWithdrawnZone];
  cluster.WaitAccepted(cluster.Publish(key, "out"));
  const WallTime back = cluster.WaitAccepted(cluster.Publish(key, "in"));
  EXPECT_TRUE(WaitUntil(
    [&] { return !StartsAfter(cluster, kWithdrawnZone, back).empty(); }));
  load.Stop();
  checker.Check(cluster.Starts());
}

TEST(Zone, OutageWithoutAChangeDoesNotStopWork)
{
  Cluster cluster({ .entries_ = 3 });
  HistoryChecker checker;
  LoadGenerator load(cluster, checker);
  cluster.LogFault(R"({"down": "503"})");
  std::this_thread::sleep_for(3 * kFreshnessBound);
  for (unsigned i = 0; i < kZones.size(); ++i) {
    const WallTime now = WallClock::now();
    EXPECT_TRUE(
      WaitUntil([&] { return !StartsAfter(cluster, i, now).empty(); }))
      << kZones[i];
  }
  load.Stop();
  EXPECT_EQ(load.Lost(), 0U) << checker.Lost();
  checker.Check(cluster.Starts());
}

TEST(Zone, StaysOutIfTheAnswerToTheChangeWasLost)
{
  Cluster cluster({ .entries_ = 3 });
  HistoryChecker checker;
  LoadGenerator load(cluster, checker);
  cluster.LogFault(R"({"lose_append_answers": "500"})");
  EXPECT_THROW(cluster.Publish("zone/" + kZones[kWithdrawnZone], "out"),
               LogUnavailable);
  const WallTime accepted = cluster.WaitAccepted(3);
  std::this_thread::sleep_until(accepted + kFreshnessBound + kStartSlack +
                                kWatchTime);
  load.Stop();
  EXPECT_TRUE(StartsAfter(cluster,
                          kWithdrawnZone,
                          accepted + kFreshnessBound + kStartSlack)
                .empty());
  checker.Check(cluster.Starts());
}

} // namespace
} // namespace cornelfront::harness
