/// \file
/// SIGHUP while a process starts. The platform sends it whenever settings
/// change, so also in the first milliseconds of a process.

#include "platform_cluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace cornelfront::harness {
namespace {

constexpr unsigned kStarts = 40;
/// A process that a signal ends is gone after this time.
constexpr Millis kEndTime{ 50 };

/// Sends SIGHUP as soon as the dynamic linker has handed over to the program,
/// without a pause between looks: the constructors of libraries take about one
/// millisecond. Returns false if the process ends.
bool
SurvivesReloadOnceLinked(Process& aProcess)
{
  const MonoTime deadline = MonoClock::now() + kDefaultTimeout;
  while (!aProcess.IsLinked()) {
    if (MonoClock::now() >= deadline) {
      return false;
    }
  }
  aProcess.Signal(SIGHUP);
  return !aProcess.WaitExit(kEndTime).has_value();
}

TEST(Reload, EndsNoEntryOnceItIsLinked)
{
  PlatformCluster cluster(1, 1);
  for (unsigned i = 0; i < kStarts; ++i) {
    cluster.StartEntry(0);
    EXPECT_TRUE(SurvivesReloadOnceLinked(cluster.Entry(0))) << "start " << i;
  }
  cluster.WaitReady();
}

TEST(Reload, EndsNoSidecarOnceItIsLinked)
{
  PlatformCluster cluster(1, 1);
  for (unsigned i = 0; i < kStarts; ++i) {
    cluster.StartSidecar(0);
    EXPECT_TRUE(SurvivesReloadOnceLinked(cluster.Sidecar(0))) << "start " << i;
  }
  // Until its sidecar is linked, an entry refuses jobs.
  unsigned job = 0;
  EXPECT_TRUE(WaitUntil([&] {
    const std::string id = "000000000000a" + std::to_string(100 + ++job);
    return cluster.Submit(0, id, "ms=20", 1, true).Ok();
  }));
}

/// What the dynamic linker does first can't be covered by the program; the
/// platform starts a process again that ended then.
TEST(Reload, AnEntryThatIsToldToReloadAtItsStartServes)
{
  PlatformCluster cluster(1, 1);
  for (unsigned i = 0; i < kStarts; ++i) {
    cluster.StartEntry(0);
    std::this_thread::sleep_for(std::chrono::microseconds(250) * i);
    cluster.ReloadEntry(0);
    EXPECT_FALSE(cluster.Entry(0).WaitExit(kEndTime)) << "start " << i;
  }
  cluster.WaitReady();
}

/// A program that never holds SIGHUP back.
ProcessOptions
Sleeper(const TempDirectory& aDirectory)
{
  return { .command_ = { "/bin/sleep", "60" },
           .errorFile_ = aDirectory.Path("sleep.err") };
}

TEST(EndedByReload, CountsAsStartAtFirst)
{
  const TempDirectory directory;
  // On a busy machine this thread may lose its turn until the program sleeps.
  EXPECT_TRUE(WaitUntil([&] {
    Process process(Sleeper(directory));
    return process.ReloadEndsStart() && !process.ReloadEndsStart();
  }));
}

TEST(EndedByReload, CountsAsEndLater)
{
  const TempDirectory directory;
  Process process(Sleeper(directory));
  std::this_thread::sleep_for(kLinkTime);
  EXPECT_FALSE(process.ReloadEndsStart());
  EXPECT_EQ(process.WaitExit(), -1);
}

} // namespace
} // namespace cornelfront::harness
