/// \file
/// Point 9 of docs/INVARIANTS.md: an accepted configuration is in force
/// everywhere within seconds and never reverts.

#include "cluster.h"

#include <gtest/gtest.h>

#include <csignal>

namespace cornelfront::harness {
namespace {

/// Bound on the time until a change is in force everywhere.
constexpr Millis kPropagationBound{ 5000 };
/// How long versions are watched for a reversion.
constexpr Millis kWatchTime{ 2000 };
const std::string kZoneKey = "zone/cr-central-c";

/// Returns true if every entry holds exactly the version, and every sidecar has
/// confirmed it to every entry.
bool
IsInForce(Cluster& aCluster, uint64_t aVersion, unsigned aSidecars)
{
  for (unsigned i = 0; i < aCluster.Entries(); ++i) {
    const EntryStatus status = aCluster.Status(i);
    if (status.version_ != aVersion || status.readySidecars_ != aSidecars) {
      return false;
    }
  }
  return true;
}

class Config : public testing::Test
{
protected:
  void ExpectInForce(uint64_t aVersion)
  {
    EXPECT_TRUE(
      WaitUntil([&] { return IsInForce(cluster_, aVersion, kSidecars); },
                kPropagationBound));
  }

  void ExpectStays(uint64_t aVersion)
  {
    EXPECT_FALSE(WaitUntil(
      [&] { return !IsInForce(cluster_, aVersion, kSidecars); }, kWatchTime));
  }

  static constexpr unsigned kSidecars = 3;
  Cluster cluster_{ { .entries_ = 3, .sidecars_ = kSidecars } };
};

TEST_F(Config, IsInForceEverywhere)
{
  ExpectInForce(cluster_.Publish(kZoneKey, "out"));
  ExpectInForce(cluster_.Publish(kZoneKey, "in"));
}

TEST_F(Config, RacingChangeWithAnOldBaseHasNoEffect)
{
  const ConfigState old = cluster_.Config();
  const uint64_t version = cluster_.Publish(kZoneKey, "out");
  ExpectInForce(version);
  cluster_.Append(
    EncodeConfigRecord(ConfigChange{ .changeId_ = "racing",
                                     .author_ = "another",
                                     .key_ = kZoneKey,
                                     .base_ = old.Get(kZoneKey).version_,
                                     .text_ = "in" }));
  ExpectStays(version);
}

TEST_F(Config, LateSnapshotDoesNotRevert)
{
  const ConfigState old = cluster_.Config();
  const uint64_t version = cluster_.Publish(kZoneKey, "out");
  ExpectInForce(version);
  cluster_.Append(EncodeConfigRecord(ConfigSnapshot{ .state_ = old }));
  ExpectStays(version);
}

TEST_F(Config, SurvivesAnOutageAndAnEntryThatStartsInIt)
{
  const uint64_t version = cluster_.Publish(kZoneKey, "out");
  ExpectInForce(version);
  cluster_.LogFault(R"({"down": "503"})");
  cluster_.StartEntry(2);
  ExpectInForce(version);
  cluster_.LogFault(R"({"down": "no"})");
  ExpectStays(version);
}

TEST_F(Config, SurvivesExpiredRecords)
{
  const uint64_t version = cluster_.Publish(kZoneKey, "out");
  ExpectInForce(version);
  cluster_.LogFault(R"({"retention_records": 1})");
  cluster_.Append("not a record of the configuration");
  cluster_.StartEntry(2);
  ExpectInForce(version);
  ExpectInForce(cluster_.Publish(kZoneKey, "in"));
}

TEST_F(Config, ReaderThatWasFrozenCatchesUp)
{
  cluster_.Entry(2).process_->Signal(SIGSTOP);
  const uint64_t version = cluster_.Publish(kZoneKey, "out");
  cluster_.WaitAccepted(version);
  cluster_.Entry(2).process_->Signal(SIGCONT);
  ExpectInForce(version);
  ExpectStays(version);
}

} // namespace
} // namespace cornelfront::harness
