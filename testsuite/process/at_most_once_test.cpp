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

constexpr Millis kRunTime{ 800 };
constexpr unsigned kTasks = 6;
constexpr unsigned kOwnerEntry = 0;
constexpr unsigned kOtherEntry = 1;

struct ResubmissionCase
{
  std::string name_;
  /// Fault injected while the tasks of the submission run.
  std::function<void(Cluster&)> fault_;
  /// Entries that then receive the same submission, one after the other.
  std::vector<unsigned> resubmitTo_;
  /// Ends the fault before the submission is sent to its owner once more.
  std::function<void(Cluster&)> heal_;
  AnswerOutcome lastAnswer_ = AnswerOutcome::Completed;
  ClusterOptions cluster_{};

  void PrintTo(const ResubmissionCase& aCase, std::ostream* aStream)
  {
    *aStream << aCase.name_;
  }
  /// Timeout of the first caller.
  Millis firstTimeout_ = kDefaultTimeout;
};

void
NoFault(Cluster&)
{
}

void
KillOwner(Cluster& aCluster)
{
  aCluster.Entry(kOwnerEntry).process_->Kill();
}

void
ReplaceOwner(Cluster& aCluster)
{
  aCluster.StartEntry(kOwnerEntry);
}

void
ReplaceAll(Cluster& aCluster)
{
  for (unsigned i = 0; i < 3; ++i) {
    aCluster.StartSidecar(i);
  }
  aCluster.StartEntry(kOtherEntry);
  aCluster.StartEntry(kOwnerEntry);
  aCluster.WaitReady();
}

void
SignalOwner(Cluster& aCluster, int aSignal)
{
  aCluster.Entry(kOwnerEntry).process_->Signal(aSignal);
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
    aCluster.LinkFault(i, kOwnerEntry, aFault);
  }
}

std::vector<ResubmissionCase>
Cases()
{
  const ClusterOptions proxied{ .proxied_ = true };
  return {
    { "SameEntryAtOnce", NoFault, { kOwnerEntry, kOwnerEntry }, NoFault },
    { "OtherEntryAtOnce",
      NoFault,
      { kOtherEntry, kOwnerEntry, kOtherEntry },
      NoFault },
    { .name_ = "AfterLostAnswer",
      .fault_ = NoFault,
      .resubmitTo_ = { kOtherEntry, kOwnerEntry },
      .heal_ = NoFault,
      .firstTimeout_ = Millis(200) },
    { "OwnerKilled",
      KillOwner,
      { kOtherEntry, kOtherEntry },
      ReplaceOwner,
      AnswerOutcome::Failed },
    { "OwnerReplaced",
      ReplaceOwner,
      { kOtherEntry, kOwnerEntry, kOtherEntry },
      NoFault,
      AnswerOutcome::Failed },
    { "OwnerFrozen",
      [](Cluster& aCluster) { SignalOwner(aCluster, SIGSTOP); },
      { kOtherEntry, kOtherEntry },
      [](Cluster& aCluster) { SignalOwner(aCluster, SIGCONT); } },
    { "SidecarsFrozen",
      [](Cluster& aCluster) { SignalSidecars(aCluster, SIGSTOP); },
      { kOtherEntry, kOwnerEntry },
      [](Cluster& aCluster) { SignalSidecars(aCluster, SIGCONT); },
      AnswerOutcome::Failed },
    { "SidecarsKilled",
      [](Cluster& aCluster) { SignalSidecars(aCluster, SIGKILL); },
      { kOtherEntry, kOwnerEntry },
      ReplaceAll,
      AnswerOutcome::Failed },
    { "LogOutage",
      [](Cluster& aCluster) { aCluster.LogFault(R"({"down": "503"})"); },
      { kOtherEntry, kOwnerEntry },
      [](Cluster& aCluster) { aCluster.LogFault(R"({"down": "no"})"); } },
    { "ReplacedFleet",
      ReplaceAll,
      { kOtherEntry },
      NoFault,
      AnswerOutcome::Failed },
    { "EntriesSeeDifferentMembers",
      [](Cluster& aCluster) { OwnerLinks(aCluster, R"({"cut": true})"); },
      { kOtherEntry, kOwnerEntry },
      [](Cluster& aCluster) { OwnerLinks(aCluster, R"({"cut": false})"); },
      AnswerOutcome::Failed,
      proxied },
    { "LinksSilentThenReplaced",
      [](Cluster& aCluster) {
        OwnerLinks(aCluster, R"({"freeze_existing": true})");
      },
      { kOwnerEntry },
      NoFault,
      AnswerOutcome::Completed,
      proxied },
  };
}

class Resubmission : public testing::TestWithParam<ResubmissionCase>
{};

TEST_P(Resubmission, StartsNoTaskTwice)
{
  const ResubmissionCase& param = GetParam();
  Cluster cluster(param.cluster_);
  HistoryChecker checker;
  Caller owner(cluster.EntryUrl(kOwnerEntry));
  Submission submission =
    MakeSubmission(owner.FetchKeyPrefix() + ".job", kTasks, kRunTime);
  {
    const std::jthread first([&] {
      Caller caller(cluster.EntryUrl(kOwnerEntry));
      Submission impatient = submission;
      impatient.timeout_ = param.firstTimeout_;
      checker.Submit(caller, impatient);
    });
    ASSERT_TRUE(WaitUntil([&] { return !cluster.Starts().empty(); }));
    param.fault_(cluster);
    for (const unsigned entry : param.resubmitTo_) {
      Caller caller(cluster.EntryUrl(entry));
      checker.Submit(caller, submission);
    }
    param.heal_(cluster);
  }
  const CallerAnswer last = checker.Submit(owner, submission);
  EXPECT_EQ(last.outcome_, param.lastAnswer_) << last;
  checker.Check(cluster.Starts());
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
