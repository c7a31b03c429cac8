#include "cornelfront/start_gate.h"

#include <gtest/gtest.h>

#include <optional>

namespace cornelfront {
namespace {

constexpr Millis kFreshnessBound{ 3000 };
const MonoTime kStart{ std::chrono::hours(1) };

ConfigState
Config(uint64_t aVersion, const std::string& aZoneText = "in")
{
  ConfigState state{ .nextOffset_ = aVersion, .version_ = { aVersion } };
  state.keys_["entry_zones"] = { .version_ = { 1 }, .text_ = "a,b,c" };
  state.keys_["zone/a"] = { .version_ = { aVersion }, .text_ = aZoneText };
  return state;
}

/// Evidence that is given at kStart and echoes a message of that time.
struct Evidence
{
  uint64_t entry_;
  const char* zone_;
  uint64_t version_;
  bool logReachable_;
  bool witness_;
  Millis logAge_;
};

constexpr Millis kNever = Millis::max();

void
AddEvidence(StartGate& aGate, const Evidence& aEvidence, MonoTime aEchoTime)
{
  aGate.OnEvidence({ .entry_ = { aEvidence.entry_ }, .zone_ = aEvidence.zone_ },
                   { .version_ = { aEvidence.version_ },
                     .logReachable_ = aEvidence.logReachable_,
                     .witness_ = aEvidence.witness_,
                     .logAge_ = aEvidence.logAge_ },
                   aEchoTime);
}

struct GateCase
{
  const char* name_;
  std::vector<Evidence> evidence_;
  /// Current time, relative to kStart.
  Millis age_;
  TaskReason expected_;
};

const GateCase kGateCases[] = {
  { "no evidence", {}, Millis(0), TaskReason::StaleConfig },
  { "log read just now",
    { { 1, "a", 5, true, true, Millis(0) } },
    Millis(0),
    TaskReason::None },
  { "log read exactly at the bound",
    { { 1, "a", 5, true, true, Millis(1000) } },
    Millis(2000),
    TaskReason::None },
  { "log read beyond the bound",
    { { 1, "a", 5, true, true, Millis(1000) } },
    Millis(2001),
    TaskReason::StaleConfig },
  { "log read by an entry with an older version",
    { { 1, "a", 4, true, true, Millis(0) } },
    Millis(0),
    TaskReason::None },
  { "log read by an entry with a newer version",
    { { 1, "a", 6, true, true, Millis(0) } },
    Millis(0),
    TaskReason::StaleConfig },
  { "one entry has a newer version, another read the log",
    { { 1, "a", 5, true, true, Millis(0) },
      { 2, "b", 6, false, true, kNever } },
    Millis(0),
    TaskReason::StaleConfig },
  { "a negative age counts as now",
    { { 1, "a", 5, true, true, Millis(-100000) } },
    Millis(3001),
    TaskReason::StaleConfig },
  { "one witness of three zones in an outage",
    { { 1, "a", 5, false, true, kNever } },
    Millis(0),
    TaskReason::StaleConfig },
  { "two witnesses of one zone in an outage",
    { { 1, "a", 5, false, true, kNever }, { 2, "a", 5, false, true, kNever } },
    Millis(0),
    TaskReason::StaleConfig },
  { "two witnesses of three zones in an outage",
    { { 1, "a", 5, false, true, kNever }, { 2, "b", 4, false, true, kNever } },
    kFreshnessBound,
    TaskReason::None },
  { "witnesses beyond the bound",
    { { 1, "a", 5, false, true, kNever }, { 2, "b", 5, false, true, kNever } },
    kFreshnessBound + Millis(1),
    TaskReason::StaleConfig },
  { "entries that are no witnesses",
    { { 1, "a", 5, false, true, kNever },
      { 2, "b", 5, false, false, kNever },
      { 3, "c", 5, false, false, kNever } },
    Millis(0),
    TaskReason::StaleConfig },
  { "a witness of another zone than the configured ones",
    { { 1, "a", 5, false, true, kNever }, { 2, "x", 5, false, true, kNever } },
    Millis(0),
    TaskReason::StaleConfig },
  { "a second entry of the zone is no witness",
    { { 1, "a", 5, false, true, kNever },
      { 2, "b", 5, false, true, kNever },
      { 3, "b", 5, false, false, kNever } },
    Millis(0),
    TaskReason::StaleConfig },
  { "a witness that reaches the log but has not read its head recently",
    { { 1, "a", 5, false, true, kNever },
      { 2, "b", 5, true, true, Millis(60000) } },
    Millis(0),
    TaskReason::StaleConfig },
};

TEST(StartGate, ChecksEvidence)
{
  for (const GateCase& test : kGateCases) {
    SCOPED_TRACE(test.name_);
    StartGate gate({ .zone_ = "a", .freshnessBound_ = kFreshnessBound });
    gate.OnConfig(Config(5));
    for (const Evidence& evidence : test.evidence_) {
      AddEvidence(gate, evidence, kStart);
    }
    EXPECT_EQ(gate.Check(kStart + test.age_), test.expected_);
    gate.OnConfig(Config(7, "out"));
    EXPECT_EQ(gate.Check(kStart + test.age_), TaskReason::ZoneOut);
  }
}

TEST(StartGate, IgnoresConfigurationThatIsNotNewer)
{
  StartGate gate({ .zone_ = "a", .freshnessBound_ = kFreshnessBound });
  gate.OnConfig(Config(5, "out"));
  gate.OnConfig(Config(4, "in"));
  gate.OnConfig(Config(5, "in"));
  EXPECT_EQ(gate.Check(kStart), TaskReason::ZoneOut);
  EXPECT_EQ(gate.Version(), ConfigVersion{ 5 });
}

TEST(StartGate, AllowsStartsWithTheNewerVersion)
{
  StartGate gate({ .zone_ = "a", .freshnessBound_ = kFreshnessBound });
  gate.OnConfig(Config(5));
  AddEvidence(gate, { 1, "a", 6, true, true, Millis(0) }, kStart);
  EXPECT_EQ(gate.Check(kStart), TaskReason::StaleConfig);
  gate.OnConfig(Config(6));
  EXPECT_EQ(gate.Check(kStart), TaskReason::None);
}

TEST(StartGate, IgnoresOlderEvidenceThatArrivesLate)
{
  StartGate gate({ .zone_ = "a", .freshnessBound_ = kFreshnessBound });
  gate.OnConfig(Config(5));
  AddEvidence(gate, { 1, "a", 6, true, true, Millis(0) }, kStart);
  AddEvidence(gate, { 1, "a", 5, true, true, Millis(0) }, kStart - Millis(1));
  EXPECT_EQ(gate.Check(kStart), TaskReason::StaleConfig);
}

TEST(StartGate, DiscardsEvidenceOfADisconnectedEntry)
{
  StartGate gate({ .zone_ = "a", .freshnessBound_ = kFreshnessBound });
  gate.OnConfig(Config(5));
  AddEvidence(gate, { 1, "a", 5, true, true, Millis(0) }, kStart);
  gate.OnEntryDisconnected({ 1 });
  EXPECT_EQ(gate.Check(kStart), TaskReason::StaleConfig);
}

TEST(WitnessRule, AttestsAfterReadingTheHead)
{
  WitnessRule rule("a");
  rule.OnConfig(Config(5));
  EXPECT_FALSE(rule.IsWitness());
  rule.OnHeadRead();
  EXPECT_FALSE(rule.IsWitness()) << "is not connected to a majority";
  rule.OnPeer({ .entry_ = { 2 }, .zone_ = "b" }, { 5 }, false);
  EXPECT_TRUE(rule.IsWitness());
  rule.OnPeerDisconnected({ 2 });
  EXPECT_FALSE(rule.IsWitness());
}

TEST(WitnessRule, QualifiesByWitnessesInAMajority)
{
  WitnessRule rule("a");
  rule.OnPeer({ .entry_ = { 2 }, .zone_ = "b" }, { 5 }, true);
  rule.OnPeer({ .entry_ = { 3 }, .zone_ = "c" }, { 6 }, true);
  EXPECT_FALSE(rule.IsWitness());
  rule.OnConfig(Config(5));
  EXPECT_FALSE(rule.IsWitness()) << "does not yet hold the version of c";
  rule.OnConfig(Config(6));
  EXPECT_TRUE(rule.IsWitness());
}

TEST(WitnessRule, DoesNotQualifyByOthersOrOneZone)
{
  WitnessRule rule("a");
  rule.OnConfig(Config(5));
  rule.OnPeer({ .entry_ = { 2 }, .zone_ = "b" }, { 5 }, true);
  rule.OnPeer({ .entry_ = { 4 }, .zone_ = "b" }, { 5 }, true);
  rule.OnPeer({ .entry_ = { 3 }, .zone_ = "c" }, { 5 }, false);
  EXPECT_FALSE(rule.IsWitness());
}

EntryReport
Report(uint64_t aId, const char* aZone, uint64_t aVersion)
{
  return { .id_ = { aId }, .zone_ = aZone, .version_ = { aVersion } };
}

TEST(AcceptanceRule, NeedsTheSameIncarnationsInTwoRounds)
{
  AcceptanceRule rule({ 6 }, { { "a", "b", "c" } });
  rule.OnReport(Report(1, "a", 6));
  rule.OnReport(Report(2, "b", 6));
  EXPECT_TRUE(rule.RoundComplete());
  EXPECT_FALSE(rule.Accepted());
  rule.BeginRound();
  rule.OnReport(Report(9, "a", 6));
  rule.OnReport(Report(2, "b", 7));
  EXPECT_TRUE(rule.RoundComplete());
  EXPECT_FALSE(rule.Accepted());
  rule.BeginRound();
  rule.OnReport(Report(9, "a", 7));
  rule.OnReport(Report(2, "b", 7));
  EXPECT_TRUE(rule.Accepted());
}

struct RoundCase
{
  const char* name_;
  std::vector<std::vector<std::string>> zoneLists_;
  std::vector<EntryReport> reports_;
  bool complete_;
  size_t unconfirmed_;
};

TEST(AcceptanceRule, RequiresAMajorityOfZones)
{
  const std::vector<std::string> abc{ "a", "b", "c" };
  EntryReport named = Report(1, "a", 6);
  named.known_ = { { .entry_ = { 4 }, .zone_ = "b" } };
  const RoundCase cases[] = {
    { "no list", {}, { Report(1, "a", 6) }, false, 0 },
    { "empty list", { {} }, { Report(1, "a", 6) }, false, 0 },
    { "one of three", { abc }, { Report(1, "a", 6) }, false, 0 },
    { "one of one", { { "a" } }, { Report(1, "a", 6) }, true, 0 },
    { "two of three",
      { abc },
      { Report(1, "a", 6), Report(2, "b", 6) },
      true,
      0 },
    { "two of three, one too old",
      { abc },
      { Report(1, "a", 6), Report(2, "b", 5) },
      false,
      1 },
    { "two of one zone",
      { abc },
      { Report(1, "a", 6), Report(2, "a", 6) },
      false,
      0 },
    { "another entry of the zone has not confirmed",
      { abc },
      { Report(1, "a", 6), Report(2, "b", 6), Report(3, "b", 5) },
      false,
      1 },
    { "another entry of the zone is known but does not report",
      { abc },
      { named, Report(2, "b", 6) },
      false,
      1 },
    { "majority of the new list only",
      { abc, { "d" } },
      { Report(1, "d", 6) },
      false,
      0 },
  };
  for (const RoundCase& test : cases) {
    SCOPED_TRACE(test.name_);
    AcceptanceRule rule({ 6 }, test.zoneLists_);
    for (const EntryReport& report : test.reports_) {
      rule.OnReport(report);
    }
    EXPECT_EQ(rule.RoundComplete(), test.complete_);
    EXPECT_EQ(rule.Unconfirmed().size(), test.unconfirmed_);
  }
}

} // namespace
} // namespace cornelfront
