/// \file
/// The system at today's size of 11 sidecars and 60 connections, and a system
/// under a seeded schedule of faults.

#include "load_generator.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>

namespace cornelfront::harness {
namespace {

TEST(WholeSystem, AnswersTenThousandCallsOverSixtyConnections)
{
  constexpr unsigned kConnections = 60;
  constexpr unsigned kCallsEach = 167;
  Cluster cluster({ .entries_ = 2, .sidecars_ = 11 });
  HistoryChecker checker;
  {
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < kConnections; ++i) {
      threads.emplace_back([&, i] {
        Caller caller(cluster.EntryUrl(i % cluster.Entries()));
        const std::string prefix = caller.FetchKeyPrefix();
        for (unsigned j = 0; j < kCallsEach; ++j) {
          const std::string id =
            prefix + "." + std::to_string(i) + "-" + std::to_string(j);
          checker.Submit(caller, MakeSubmission(id, 1, Millis(5)));
        }
      });
    }
  }
  EXPECT_EQ(checker.Count(AnswerOutcome::Completed), kConnections * kCallsEach);
  checker.Check(cluster.Starts());
}

/// Injects random faults, one at a time; each lasts for 100 ms to 2.6 s.
class Schedule
{
public:
  Schedule(Cluster& aCluster, uint64_t aSeed)
    : cluster_(aCluster)
    , random_(aSeed)
  {
  }

  void RunOne()
  {
    switch (Draw(7)) {
      case 0:
        return ReplaceSidecar();
      case 1:
        return ReplaceEntry();
      case 2:
        return Freeze(*cluster_.Sidecar(Draw(kSidecars)).process_);
      case 3:
        return Freeze(*cluster_.Entry(Draw(cluster_.Entries())).process_);
      case 4:
        return FaultLink();
      case 5:
        return StopLog();
      default:
        return ChangeZone();
    }
  }

  static constexpr unsigned kSidecars = 4;

private:
  unsigned Draw(unsigned aBound)
  {
    return static_cast<unsigned>(random_() % aBound);
  }

  void Hold() { std::this_thread::sleep_for(Millis(100 + Draw(2500))); }

  void ReplaceSidecar()
  {
    const unsigned sidecar = Draw(kSidecars);
    cluster_.Sidecar(sidecar).process_->Kill();
    Hold();
    cluster_.StartSidecar(sidecar);
  }

  void ReplaceEntry()
  {
    const unsigned entry = Draw(cluster_.Entries());
    cluster_.Entry(entry).process_->Kill();
    Hold();
    cluster_.StartEntry(entry);
  }

  void Freeze(Process& aProcess)
  {
    aProcess.Signal(SIGSTOP);
    Hold();
    aProcess.Signal(SIGCONT);
  }

  void FaultLink()
  {
    static const std::vector<std::string> sFields{ "cut",
                                                   "freeze",
                                                   "drop_to_client",
                                                   "drop_to_target",
                                                   "duplicate_frames",
                                                   "reorder_frames" };
    const unsigned sidecar = Draw(kSidecars);
    const unsigned entry = Draw(cluster_.Entries());
    const std::string field = "{\"" + sFields[Draw(6)] + "\": ";
    cluster_.LinkFault(sidecar, entry, field + "true}");
    Hold();
    cluster_.LinkFault(sidecar, entry, field + "false}");
  }

  void StopLog()
  {
    cluster_.LogFault(R"({"down": "503"})");
    Hold();
    cluster_.LogFault(R"({"down": "no"})");
  }

  void ChangeZone()
  {
    const std::string key = "zone/" + kZones[Draw(3)];
    cluster_.Publish(key, "out");
    Hold();
    cluster_.Publish(key, "in");
  }

  Cluster& cluster_;
  std::mt19937_64 random_;
};

class FaultSchedule : public testing::TestWithParam<uint64_t>
{};

TEST_P(FaultSchedule, KeepsTheInvariants)
{
  constexpr unsigned kFaults = 8;
  Cluster cluster(
    { .entries_ = 3, .sidecars_ = Schedule::kSidecars, .proxied_ = true });
  HistoryChecker checker;
  LoadGenerator load(cluster, checker);
  Schedule schedule(cluster, GetParam());
  for (unsigned i = 0; i < kFaults; ++i) {
    schedule.RunOne();
  }
  cluster.WaitReady();
  const unsigned before = load.Completed();
  EXPECT_TRUE(WaitUntil([&] { return load.Completed() > before; }));
  load.Stop();
  checker.Check(cluster.Starts());
}

/// Returns the seeds in the environment variable CORNELFRONT_SEEDS, else fixed
/// ones.
std::vector<uint64_t>
Seeds()
{
  const char* given = std::getenv("CORNELFRONT_SEEDS");
  std::istringstream text(given == nullptr ? "1 2 3" : given);
  return { std::istream_iterator<uint64_t>(text), {} };
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultSchedule, testing::ValuesIn(Seeds()));

} // namespace
} // namespace cornelfront::harness
