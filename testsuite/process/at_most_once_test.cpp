/// \file
/// Point 1 of docs/INVARIANTS.md: no task of a submission starts twice when the
/// submission is resubmitted to any entry while processes, links or the log
/// fail.

#include "cluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <thread>

namespace cornelfront::harness {
namespace {

constexpr Millis kRun{ 800 };
constexpr unsigned kTasks = 6;
constexpr unsigned kOwner = 0;
constexpr unsigned kOther = 1;

struct ResubmissionCase
{
  std::string name_;
  /// Fault injected while the tasks of the submission run.
  std::function<void(Cluster&)> fault_;
  /// Entries that then receive the same submission, one after the other.
  std::vector<unsigned> resubmitTo_;
  /// Ends the fault before the submission is sent to its owner once more.
  std::function<void(Cluster&)> heal_;
  Answer lastAnswer_ = Answer::Completed;
  ClusterOptions cluster_{};

  void PrintTo(const ResubmissionCase& aCase, std::ostream* aStream)
  {
    *aStream << aCase.name_;
  }
  /// Timeout of the first caller.
  Millis firstTimeout_ = kPatience;
};

void
Nothing(Cluster&)
{
}

void
KillOwner(Cluster& aCluster)
{
  aCluster.Entry(kOwner).process_->Kill();
}

void
ReplaceOwner(Cluster& aCluster)
{
  aCluster.StartEntry(kOwner);
}

void
ReplaceAll(Cluster& aCluster)
{
  for (unsigned i = 0; i < 3; ++i) {
    aCluster.StartSidecar(i);
  }
  aCluster.StartEntry(kOther);
  aCluster.StartEntry(kOwner);
  aCluster.WaitReady();
}

void
SignalOwner(Cluster& aCluster, int aSignal)
{
  aCluster.Entry(kOwner).process_->Signal(aSignal);
}

void
SignalSidecars(Cluster& aCluster, int aSignal)
{
  for (unsigned i = 0; i < 3; ++i) {
    aCluster.Sidecar(i).process_->Signal(aSignal);
  }
}

/// Sets faults of all links of the owner.
void
OwnerLinks(Cluster& aCluster, const std::string& aFault)
{
  for (unsigned i = 0; i < 3; ++i) {
    aCluster.LinkFault(i, kOwner, aFault);
  }
}

std::vector<ResubmissionCase>
Cases()
{
  const ClusterOptions proxied{ .proxied_ = true };
  return {
    { "SameEntryAtOnce", Nothing, { kOwner, kOwner }, Nothing },
    { "OtherEntryAtOnce", Nothing, { kOther, kOwner, kOther }, Nothing },
    { .name_ = "AfterLostAnswer",
      .fault_ = Nothing,
      .resubmitTo_ = { kOther, kOwner },
      .heal_ = Nothing,
      .firstTimeout_ = Millis(200) },
    { "OwnerKilled",
      KillOwner,
      { kOther, kOther },
      ReplaceOwner,
      Answer::Failed },
    { "OwnerReplaced",
      ReplaceOwner,
      { kOther, kOwner, kOther },
      Nothing,
      Answer::Failed },
    { "OwnerFrozen",
      [](Cluster& aCluster) { SignalOwner(aCluster, SIGSTOP); },
      { kOther, kOther },
      [](Cluster& aCluster) { SignalOwner(aCluster, SIGCONT); } },
    { "SidecarsFrozen",
      [](Cluster& aCluster) { SignalSidecars(aCluster, SIGSTOP); },
      { kOther, kOwner },
      [](Cluster& aCluster) { SignalSidecars(aCluster, SIGCONT); },
      Answer::Failed },
    { "SidecarsKilled",
      [](Cluster& aCluster) { SignalSidecars(aCluster, SIGKILL); },
      { kOther, kOwner },
      ReplaceAll,
      Answer::Failed },
    { "LogOutage",
      [](Cluster& aCluster) { aCluster.LogFault(R"({"down": "503"})"); },
      { kOther, kOwner },
      [](Cluster& aCluster) { aCluster.LogFault(R"({"down": "no"})"); } },
    { "ReplacedFleet", ReplaceAll, { kOther }, Nothing, Answer::Failed },
    { "EntriesSeeDifferentMembers",
      [](Cluster& aCluster) { OwnerLinks(aCluster, R"({"cut": true})"); },
      { kOther, kOwner },
      [](Cluster& aCluster) { OwnerLinks(aCluster, R"({"cut": false})"); },
      Answer::Failed,
      proxied },
    { "LinksSilentThenReplaced",
      [](Cluster& aCluster) {
        OwnerLinks(aCluster, R"({"freeze_existing": true})");
      },
      { kOwner },
      Nothing,
      Answer::Completed,
      proxied },
  };
}

class Resubmission : public testing::TestWithParam<ResubmissionCase>
{};

TEST_P(Resubmission, StartsNoTaskTwice)
{
  const ResubmissionCase& param = GetParam();
  Cluster cluster(param.cluster_);
  Judge judge;
  Caller owner(cluster.EntryUrl(kOwner));
  Submission submission =
    MakeSubmission(owner.TakePrefix() + ".job", kTasks, kRun);
  {
    const std::jthread first([&] {
      Caller caller(cluster.EntryUrl(kOwner));
      Submission impatient = submission;
      impatient.timeout_ = param.firstTimeout_;
      judge.Submit(caller, impatient);
    });
    ASSERT_TRUE(WaitUntil([&] { return !cluster.Starts().empty(); }));
    param.fault_(cluster);
    for (const unsigned entry : param.resubmitTo_) {
      Caller caller(cluster.EntryUrl(entry));
      judge.Submit(caller, submission);
    }
    param.heal_(cluster);
  }
  const CallerAnswer last = judge.Submit(owner, submission);
  EXPECT_EQ(last.outcome_, param.lastAnswer_) << last;
  judge.Check(cluster.Starts());
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  Resubmission,
  testing::ValuesIn(Cases()),
  [](const testing::TestParamInfo<ResubmissionCase>& aInfo) {
    return aInfo.param.name_;
  });

} // namespace
} // namespace cornelfront::harness
