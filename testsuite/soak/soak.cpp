/// \file
/// Randomized soak test: real processes serve callers while faults are
/// injected, and what callers and executors observed is checked afterwards. The
/// same seed gives the same sequence of faults and of jobs; their relative
/// timing depends on the machine.
///
/// usage: soak --seed N [--seconds N] [--entries N] [--sidecars N]
///             [--power-loss-ms N] [--power-loss-down-ms N]
///             [--power-loss-spread-ms N] [--power-loss-entries-only]
///             [--max-task-ms N] [--fail-percent N] [--stop-ms N]
///             [--client-leg] [--client-timeout-ms N] [--max-tasks N]
///             [--best-effort-percent N] [--callers-per-entry N]
///             [--faults NAME,...] [--mean-gap-ms N] [--max-delay-ms N]
///             [--late-orders] [--all-jobs]
/// Exits with 1 if a guarantee was violated, and then keeps the logs of all
/// processes.

#include "callers.h"
#include "faults.h"
#include "lasting_jobs.h"

#include <CLI/CLI.hpp>
#include <gtest/gtest.h>

#include <iostream>
#include <optional>
#include <thread>

namespace cornelfront::soak {
namespace {

/// Time without faults at the end, during which callers continue.
constexpr Millis kRecoveryTime{ 4000 };
/// Accepted jobs must end within this time after the callers stop.
constexpr Millis kCompletionTimeout{ 25000 };
constexpr Millis kServeTimeout{ 10000 };
constexpr unsigned kLastingJobs = 10;
/// Time that a stop may take to reach its executor.
constexpr Millis kStopOnItsWay{ 200 };

struct Options
{
  uint64_t seed_ = 1;
  unsigned seconds_ = 15;
  unsigned entries_ = 2;
  unsigned sidecars_ = 4;
  unsigned powerLossMs_ = 0;
  unsigned powerLossDownMs_ = 0;
  unsigned powerLossSpreadMs_ = 100;
  bool powerLossEntriesOnly_ = false;
  unsigned maxTaskMs_ = 400;
  int failPercent_ = 4;
  unsigned stopMs_ = 0;
  bool clientLeg_ = false;
  unsigned clientTimeoutMs_ = 4000;
  unsigned maxTasks_ = 6;
  int bestEffortPercent_ = 60;
  unsigned callersPerEntry_ = 3;
  std::vector<std::string> faults_;
  unsigned meanGapMs_ = 700;
  unsigned maxDelayMs_ = 300;
  bool lateOrders_ = false;
  bool allJobs_ = false;
};

/// Checks that every entry serves a job once all faults have ended.
void
CheckEntriesServe(harness::PlatformCluster& aCluster, unsigned aEntries)
{
  for (unsigned i = 0; i < aEntries; ++i) {
    char id[17];
    unsigned number = 0;
    const bool served = harness::WaitUntil(
      [&] {
        snprintf(id, sizeof(id), "ffff%04x%08x", i, ++number);
        return aCluster.Submit(i, id, "ms=50", 2, true).Ok();
      },
      kServeTimeout);
    if (!served) {
      ADD_FAILURE() << "entry " << i << " served no job within "
                    << kServeTimeout.count() << " ms after the faults";
    }
  }
}

void
RunSoak(harness::PlatformCluster& aCluster, const Options& aOptions)
{
  CallersOptions callersOptions{
    .seed_ = aOptions.seed_,
    .threads_ = aOptions.callersPerEntry_ * aOptions.entries_,
    .timeout_ = Millis(aOptions.clientTimeoutMs_),
    .maxTasks_ = aOptions.maxTasks_,
    .bestEffortPercent_ = aOptions.bestEffortPercent_,
    .failPercent_ = aOptions.failPercent_,
    .maxTask_ = Millis(aOptions.maxTaskMs_),
    .allKinds_ = aOptions.allJobs_
  };
  for (unsigned i = 0; i < aOptions.entries_; ++i) {
    callersOptions.entries_.push_back(aCluster.ClientAddress(i));
  }
  LastingJobs lasting(aCluster,
                      aOptions.allJobs_ ? kLastingJobs : 0,
                      aOptions.entries_,
                      aOptions.sidecars_);
  Callers callers(std::move(callersOptions));
  const FaultPlanOptions faults{
    .seed_ = aOptions.seed_,
    .length_ = std::chrono::seconds(aOptions.seconds_),
    .entries_ = aOptions.entries_,
    .sidecars_ = aOptions.sidecars_,
    .powerLossInterval_ = Millis(aOptions.powerLossMs_),
    .powerLossSpread_ = Millis(aOptions.powerLossSpreadMs_),
    .powerLossDown_ = Millis(aOptions.powerLossDownMs_),
    .powerLossEntriesOnly_ = aOptions.powerLossEntriesOnly_,
    .kinds_ = ParseFaultKinds(aOptions.faults_),
    .meanGap_ = Millis(aOptions.meanGapMs_),
    .maxDelay_ = Millis(aOptions.maxDelayMs_),
    .disturbsClients_ = aOptions.clientLeg_,
    .lateOrders_ = aOptions.lateOrders_,
    .secondQueue_ = aOptions.allJobs_
  };
  FaultInjector injector(aCluster, faults);
  injector.Run(MakeFaultPlan(faults));
  aCluster.WaitReady();
  std::this_thread::sleep_for(kRecoveryTime);
  const WallMillis end = WallMillisNow();
  callers.Stop();
  callers.ReadStates(kCompletionTimeout);
  const std::vector<JobRecord> lastingJobs = lasting.CheckAndCancel();
  // The other runs of a job that has just failed are told to stop.
  std::this_thread::sleep_for(Millis(aOptions.stopMs_) + kStopOnItsWay);
  Observations observations{ .jobs_ = callers.Jobs(),
                             .runs_ = aCluster.Runs(),
                             .noStart_ = injector.NoStartIntervals(end),
                             .aborted_ = callers.AbortedRequests(),
                             .undisturbed_ =
                               injector.UndisturbedIntervals(end) };
  observations.jobs_.insert(
    observations.jobs_.end(), lastingJobs.begin(), lastingJobs.end());
  for (const std::string& violation : FindViolations(observations)) {
    ADD_FAILURE() << violation;
  }
  CheckEntriesServe(aCluster, aOptions.entries_);
  const auto served = std::count_if(
    observations.jobs_.begin(),
    observations.jobs_.end(),
    [](const JobRecord& aJob) { return aJob.answered_ + aJob.accepted_ > 0; });
  const std::optional<Millis> margin = LeastMargin(observations.runs_);
  std::cout << "seed=" << aOptions.seed_
            << " jobs=" << observations.jobs_.size() << " served=" << served
            << " runs=" << observations.runs_.size()
            << " cuts=" << observations.aborted_.size() << " least_margin_ms="
            << (margin ? std::to_string(margin->count()) : "none")
            << " closed_spans=" << observations.noStart_.size() << std::endl;
}

void
Run(const Options& aOptions)
{
  harness::PlatformCluster cluster({ .entries_ = aOptions.entries_,
                                     .sidecars_ = aOptions.sidecars_,
                                     .proxied_ = true,
                                     .clientsProxied_ = aOptions.clientLeg_,
                                     .stopTime_ = Millis(aOptions.stopMs_),
                                     .secondQueue_ = aOptions.allJobs_ });
  try {
    RunSoak(cluster, aOptions);
  } catch (const std::exception& error) {
    // Reported before the cluster is destroyed, so that its logs are kept.
    ADD_FAILURE() << error.what();
  }
}

void
AddPowerLossOptions(CLI::App& aApp, Options& aOptions)
{
  aApp.add_option("--power-loss-ms",
                  aOptions.powerLossMs_,
                  "Instead of mixed faults, kill all entries and sidecars each "
                  "time this many ms have passed; 0: mixed faults");
  aApp
    .add_option("--power-loss-down-ms",
                aOptions.powerLossDownMs_,
                "How long the killed processes are gone; drawn for each of "
                "them if 0")
    ->check(CLI::Range(0, 60000))
    ->needs("--power-loss-ms");
  aApp
    .add_option("--power-loss-spread-ms",
                aOptions.powerLossSpreadMs_,
                "Time within which the processes of a loss of power are killed")
    ->check(CLI::Range(0, 60000))
    ->needs("--power-loss-ms");
  aApp
    .add_flag("--power-loss-entries-only",
              aOptions.powerLossEntriesOnly_,
              "A loss of power kills entries and no sidecars")
    ->needs("--power-loss-ms");
}

} // namespace
} // namespace cornelfront::soak

int
main(int argc, char** argv)
{
  using cornelfront::soak::Options;
  CLI::App app("Randomized soak test of the processes that serve jobs");
  Options options;
  app.add_option("--seed", options.seed_, "Seed of faults and jobs")
    ->required();
  app.add_option(
    "--seconds", options.seconds_, "Duration of the fault injection in s");
  app.add_option("--entries", options.entries_, "Number of entries");
  app.add_option("--sidecars", options.sidecars_, "Number of sidecars");
  cornelfront::soak::AddPowerLossOptions(app, options);
  app
    .add_option(
      "--max-task-ms", options.maxTaskMs_, "Duration of the longest task in ms")
    ->check(CLI::Range(20, 60000));
  app
    .add_option(
      "--fail-percent", options.failPercent_, "Share of jobs whose tasks fail")
    ->check(CLI::Range(0, 100));
  app
    .add_option(
      "--stop-ms", options.stopMs_, "How long a run goes on after its stop")
    ->check(CLI::Range(0, 1000));
  app.add_flag("--client-leg",
               options.clientLeg_,
               "Disturb the connections of clients, in two of three faults of "
               "connections");
  app.add_option("--client-timeout-ms",
                 options.clientTimeoutMs_,
                 "How long clients wait for an answer");
  app.add_option("--max-tasks", options.maxTasks_, "Most tasks of a job")
    ->check(CLI::PositiveNumber);
  app
    .add_option("--best-effort-percent",
                options.bestEffortPercent_,
                "Share of best-effort jobs")
    ->check(CLI::Range(0, 100));
  app.add_option(
    "--callers-per-entry", options.callersPerEntry_, "Clients of each entry");
  app
    .add_option("--faults",
                options.faults_,
                "Kinds of mixed faults, such as freeze_leg; all if absent")
    ->delimiter(',');
  app
    .add_option(
      "--mean-gap-ms", options.meanGapMs_, "Mean time between mixed faults")
    ->check(CLI::PositiveNumber);
  app
    .add_option(
      "--max-delay-ms", options.maxDelayMs_, "Longest delay of a connection")
    ->check(CLI::PositiveNumber);
  app.add_flag("--late-orders",
               options.lateOrders_,
               "Orders that reach a mute executor are carried out later");
  app.add_flag("--all-jobs",
               options.allJobs_,
               "Stored jobs of all kinds, also such as last, and a queue whose "
               "route is dropped");
  CLI11_PARSE(app, argc, argv);
  testing::InitGoogleTest();
  try {
    cornelfront::soak::Run(options);
  } catch (const std::exception& error) {
    ADD_FAILURE() << error.what();
  }
  const bool failed = testing::Test::HasFailure();
  std::cout << "soak seed=" << options.seed_ << (failed ? " FAILED" : " passed")
            << std::endl;
  return failed ? 1 : 0;
}
