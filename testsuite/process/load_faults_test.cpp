/// \file
/// Points 6, 5, 2 and 4 of docs/INVARIANTS.md, under a load of unrepeatable
/// calls and jobs while a fault lasts: no task starts twice, a refused
/// submission has not run, answers hold exactly the results of the caller's own
/// tasks, and work continues afterwards.

#include "load_generator.h"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>

namespace cornelfront::harness {
namespace {

constexpr unsigned kWarmUpRequests = 30;

using Step = std::function<void(Cluster&)>;

struct FaultCase
{
  std::string name_;
  Step fault_;
  Step heal_;
  /// Duration of the fault.
  Millis hold_{ 1500 };

  void PrintTo(const FaultCase& aCase, std::ostream* aStream)
  {
    *aStream << aCase.name_;
  }
  ClusterOptions cluster_{};
  LoadGeneratorOptions load_{};
};

Step
SignalSidecar(int aSignal)
{
  return [aSignal](Cluster& aCluster) {
    aCluster.Sidecar(0).process_->Signal(aSignal);
  };
}

Step
SignalUpstream(int aSignal)
{
  return [aSignal](Cluster& aCluster) {
    aCluster.Sidecar(0).upstream_->Signal(aSignal);
  };
}

Step
SignalEntry(int aSignal)
{
  return [aSignal](Cluster& aCluster) {
    aCluster.Entry(0).process_->Signal(aSignal);
  };
}

Step
Upstreams(unsigned aCount, const std::string& aFault)
{
  return [=](Cluster& aCluster) {
    for (unsigned i = 0; i < aCount; ++i) {
      aCluster.UpstreamFault(i, aFault);
    }
  };
}

/// Sets faults of all links of one sidecar.
Step
Links(const std::string& aFault)
{
  return [=](Cluster& aCluster) {
    for (unsigned i = 0; i < aCluster.Entries(); ++i) {
      aCluster.LinkFault(0, i, aFault);
    }
  };
}

Step
Log(const std::string& aFault)
{
  return [=](Cluster& aCluster) { aCluster.LogFault(aFault); };
}

std::vector<FaultCase>
UpstreamCases()
{
  const LoadGeneratorOptions seats{ .call_ = "confirm_seat" };
  const auto restart = [](Cluster& aCluster) { aCluster.StartUpstream(0); };
  return {
    { "UpstreamKilled", SignalUpstream(SIGKILL), restart },
    { "UpstreamFrozen", SignalUpstream(SIGSTOP), SignalUpstream(SIGCONT) },
    { .name_ = "UpstreamDropsAnswers",
      .fault_ = Upstreams(1, R"({"drop_answer": true})"),
      .heal_ = Upstreams(1, R"({"drop_answer": false})"),
      .load_ = seats },
    { .name_ = "UpstreamAnswersLate",
      .fault_ = Upstreams(1, R"({"late": true})"),
      .heal_ = Upstreams(1, R"({"late": false})"),
      .load_ = seats },
    { "UpstreamFailsAll",
      Upstreams(1, R"({"fail_all": true})"),
      Upstreams(1, R"({"fail_all": false})") },
    { "UpstreamsRefuseAll",
      Upstreams(3, R"({"refuse_all": true})"),
      Upstreams(3, R"({"refuse_all": false})") },
    { "UpstreamSlow",
      Upstreams(1, R"({"slow_factor": 10})"),
      Upstreams(1, R"({"slow_factor": 1})") },
  };
}

std::vector<FaultCase>
ProcessCases()
{
  const auto restartSidecar = [](Cluster& aCluster) {
    aCluster.StartSidecar(0);
  };
  const auto restartEntry = [](Cluster& aCluster) { aCluster.StartEntry(0); };
  return {
    { .name_ = "SidecarKilledWithQueue",
      .fault_ = SignalSidecar(SIGKILL),
      .heal_ = restartSidecar,
      .cluster_ = { .slots_ = 1 } },
    { .name_ = "SidecarFrozen",
      .fault_ = SignalSidecar(SIGSTOP),
      .heal_ = SignalSidecar(SIGCONT),
      .hold_ = kSilenceBound + Millis(1000) },
    { "EntryKilled", SignalEntry(SIGKILL), restartEntry },
    { .name_ = "EntryFrozen",
      .fault_ = SignalEntry(SIGSTOP),
      .heal_ = SignalEntry(SIGCONT),
      .hold_ = kSilenceBound + Millis(1000) },
    { .name_ = "LogDown",
      .fault_ = Log(R"({"down": "503"})"),
      .heal_ = Log(R"({"down": "no"})"),
      .hold_ = kFreshnessBound + Millis(2000) },
    { .name_ = "LogSilent",
      .fault_ = Log(R"({"down": "silent"})"),
      .heal_ = Log(R"({"down": "no"})"),
      .hold_ = kFreshnessBound + Millis(2000) },
    { "LogDownAndSidecarKilled",
      [](Cluster& aCluster) {
        aCluster.LogFault(R"({"down": "503"})");
        aCluster.Sidecar(0).process_->Kill();
      },
      [](Cluster& aCluster) {
        aCluster.StartSidecar(0);
        aCluster.LogFault(R"({"down": "no"})");
      } },
  };
}

std::vector<FaultCase>
LinkCases()
{
  std::vector<FaultCase> cases;
  const auto add = [&cases](const std::string& aName,
                            const std::string& aField) {
    cases.push_back({ .name_ = aName,
                      .fault_ = Links("{\"" + aField + "\": true}"),
                      .heal_ = Links("{\"" + aField + "\": false}"),
                      .hold_ = kSilenceBound + Millis(1000),
                      .cluster_ = { .proxied_ = true } });
  };
  add("LinksCut", "cut");
  add("LinksFrozen", "freeze");
  add("LinksSilentForGood", "freeze_existing");
  add("AnswersLost", "drop_to_target");
  add("StartsLost", "drop_to_client");
  add("FramesRepeated", "duplicate_frames");
  add("FramesReordered", "reorder_frames");
  cases.push_back({ .name_ = "LinksSlow",
                    .fault_ = Links(R"({"delay_ms": 300})"),
                    .heal_ = Links(R"({"delay_ms": 0})"),
                    .cluster_ = { .proxied_ = true } });
  return cases;
}

class LoadFault : public testing::TestWithParam<FaultCase>
{};

TEST_P(LoadFault, KeepsAnswersCorrect)
{
  const FaultCase& param = GetParam();
  Cluster cluster(param.cluster_);
  HistoryChecker checker;
  LoadGenerator load(cluster, checker, param.load_);
  ASSERT_TRUE(WaitUntil([&] { return load.Completed() >= kWarmUpRequests; }));
  param.fault_(cluster);
  std::this_thread::sleep_for(param.hold_);
  param.heal_(cluster);
  const unsigned before = load.Completed();
  EXPECT_TRUE(
    WaitUntil([&] { return load.Completed() >= before + kWarmUpRequests; }));
  load.Stop();
  checker.Check(cluster.Starts());
  RecordProperty("completed", static_cast<int>(load.Completed()));
  RecordProperty("lost", static_cast<int>(load.Lost()));
}

std::string
CaseName(const testing::TestParamInfo<FaultCase>& aInfo)
{
  return aInfo.param.name_;
}

INSTANTIATE_TEST_SUITE_P(Upstream,
                         LoadFault,
                         testing::ValuesIn(UpstreamCases()),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Process,
                         LoadFault,
                         testing::ValuesIn(ProcessCases()),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Link,
                         LoadFault,
                         testing::ValuesIn(LinkCases()),
                         CaseName);

} // namespace
} // namespace cornelfront::harness
