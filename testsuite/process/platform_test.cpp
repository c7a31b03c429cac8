/// \file
/// Jobs served by real processes, with stand-ins for the platform's store and
/// executors.

#include "platform_cluster.h"

#include <gmock/gmock.h>

#include <csignal>
#include <future>
#include <thread>

namespace cornelfront::harness {
namespace {

using testing::IsEmpty;

std::string
MakeJobId(unsigned aNumber)
{
  char id[17];
  snprintf(id, sizeof(id), "%016x", 0xa000U + aNumber);
  return id;
}

TEST(PlatformBestEffort, AJobIsAnsweredWhenItHasEnded)
{
  PlatformCluster cluster(2, 3);
  const HttpResult done = cluster.Submit(0, MakeJobId(1), "ms=100", 5, true);
  EXPECT_EQ(done.response_.status_, 200);
  EXPECT_EQ(done.response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1), "done"), 5U);
  const HttpResult failed = cluster.Submit(1, MakeJobId(2), "fail", 1, true);
  EXPECT_EQ(failed.response_.body_, R"({"state":"failed"})");
  EXPECT_EQ(cluster.CountRuns(MakeJobId(2), "failed"), 3U) << "its attempts";
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformBestEffort, AClientThatLeavesStopsItsTasks)
{
  PlatformCluster cluster(1, 2);
  cluster.Submit(0, MakeJobId(1), "ms=5000", 2, true, Millis(300));
  EXPECT_TRUE(
    WaitUntil([&] { return cluster.CountRuns(MakeJobId(1), "stopped") == 2; },
              Millis(2000)));
}

TEST(PlatformBestEffort, TasksOfAKilledEntryAreStopped)
{
  PlatformCluster cluster(2, 2);
  std::thread caller([&] {
    HttpClient client;
    PlatformCluster* system = &cluster;
    (void)client;
    system->Submit(0, MakeJobId(1), "ms=5000", 2, true, Millis(3000));
  });
  std::this_thread::sleep_for(Millis(500));
  cluster.Entry(0).Kill();
  caller.join();
  EXPECT_TRUE(
    WaitUntil([&] { return cluster.CountRuns(MakeJobId(1), "stopped") == 2; },
              Millis(3000)));
  // The client resubmits to the other entry, as clients do after a backoff.
  const HttpResult again = cluster.Submit(1, MakeJobId(1), "ms=50", 2, true);
  EXPECT_EQ(again.response_.status_, 200);
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

// Its request waits in the socket; the client has gone to another entry since.
TEST(PlatformBestEffort, AnEntryThatStoodStillStartsNothingForAClientThatLeft)
{
  PlatformCluster cluster(2, 2);
  cluster.Entry(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(Millis(100)); // until it has taken effect
  cluster.Submit(0, MakeJobId(1), "ms=3000", 2, true, Millis(300));
  ASSERT_EQ(cluster.CountRuns(MakeJobId(1)), 0U);
  std::this_thread::sleep_for(Millis(1300));
  std::thread caller(
    [&] { cluster.Submit(1, MakeJobId(1), "ms=3000", 2, true); });
  EXPECT_TRUE(WaitUntil([&] { return cluster.CountRuns(MakeJobId(1)) == 2; }));
  cluster.Entry(0).Signal(SIGCONT);
  caller.join();
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1)), 2U);
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

// The client leaves while its request waits, and submits again elsewhere; the
// end of its connection is held up on the way.
TEST(PlatformBestEffort, ARequestThatWaitedInAnEntryThatStoodStillIsNotRun)
{
  const std::string job = MakeJobId(1);
  PlatformCluster cluster(
    { .entries_ = 2, .sidecars_ = 3, .clientsProxied_ = true });
  const auto submit = [&](unsigned aEntry, Millis aTimeout) {
    return std::async(std::launch::async, [&cluster, &job, aEntry, aTimeout] {
      return cluster.Submit(aEntry, job, "ms=1000", 1, true, aTimeout);
    });
  };
  cluster.Entry(0).Signal(SIGSTOP);
  auto first = submit(0, Millis(1500));
  std::this_thread::sleep_for(Millis(200));
  cluster.ProxyFault(ProxiedLeg::ClientToEntry, 0, R"({"freeze":true})");
  EXPECT_FALSE(first.get().Ok());
  std::this_thread::sleep_for(Millis(1300));
  auto second = submit(1, kDefaultTimeout);
  EXPECT_TRUE(WaitUntil([&] { return cluster.CountRuns(job) == 1; }));
  cluster.Entry(0).Signal(SIGCONT);
  EXPECT_EQ(second.get().response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.CountRuns(job), 1U);
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformBestEffort, TasksOfAKilledSidecarRunAgain)
{
  PlatformCluster cluster(1, 2);
  HttpResult result;
  std::thread caller(
    [&] { result = cluster.Submit(0, MakeJobId(1), "ms=1500", 4, true); });
  std::this_thread::sleep_for(Millis(500));
  cluster.Sidecar(0).Kill();
  cluster.StartSidecar(0);
  caller.join();
  EXPECT_EQ(result.response_.body_, R"({"state":"completed"})");
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformBestEffort, IsServedWhileTheStoreIsAway)
{
  PlatformCluster cluster(1, 1);
  for (const char* down : { R"({"down":"503"})", R"({"down":"silent"})" }) {
    cluster.StoreFault(down);
    EXPECT_EQ(cluster.Submit(0, MakeJobId(1), "", 1, true).response_.status_,
              200);
  }
  cluster.StoreFault(R"({"down":"no"})");
}

TEST(PlatformBestEffort, AStalledTaskIsStartedElsewhere)
{
  PlatformCluster cluster(1, 2);
  cluster.ExecutorFault(0, R"({"stalls":true})");
  const HttpResult result = cluster.Submit(0, MakeJobId(1), "ms=100", 4, true);
  EXPECT_EQ(result.response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1), "done"), 4U);
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformBestEffort, NothingStartsInAZoneThatIsOut)
{
  PlatformCluster cluster(1, 2);
  cluster.WriteOperatorRecord("evacuate/z0", "{}");
  ASSERT_TRUE(WaitUntil([&] {
    return cluster.Submit(0, MakeJobId(1), "", 1, true).response_.status_ ==
           503;
  }));
  const size_t before = cluster.Runs().size();
  const HttpResult refused = cluster.Submit(0, MakeJobId(2), "", 1, true);
  EXPECT_EQ(refused.response_.status_, 503);
  EXPECT_EQ(cluster.Runs().size(), before);
  cluster.WriteOperatorRecord("evacuate/z0", "");
  EXPECT_TRUE(WaitUntil([&] {
    return cluster.Submit(0, MakeJobId(3), "", 1, true).response_.status_ ==
           200;
  }));
}

TEST(PlatformBestEffort, ADrainingExecutorGetsNothing)
{
  PlatformCluster cluster(1, 2);
  cluster.ExecutorFault(0, R"({"draining":true})");
  std::this_thread::sleep_for(Millis(600));
  EXPECT_EQ(cluster.Submit(0, MakeJobId(1), "", 8, true).response_.status_,
            200);
  // All ran on the other executor, which has resources for four at a time.
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1), "done"), 8U);
}

// Its process lives on, and what runs there until it is stopped.
TEST(PlatformBestEffort, AnExecutorThatDeregistersAndLivesOnRunsNoTaskTwice)
{
  PlatformCluster cluster(
    { .entries_ = 1, .sidecars_ = 3, .stopTime_ = Millis(50) });
  auto answer = std::async(std::launch::async, [&] {
    return cluster.Submit(0, MakeJobId(1), "ms=1500", 4, true);
  });
  ASSERT_TRUE(WaitUntil([&] { return cluster.CountRuns(MakeJobId(1)) == 4; }));
  const auto runs = cluster.Runs();
  const unsigned leaving = runs.at(0).executor_;
  const HttpResult left =
    cluster.Deregister(leaving, "u-" + std::to_string(leaving) + "-1");
  EXPECT_EQ(left.response_.status_, 200);
  for (const RunRecord& run : cluster.Runs()) {
    EXPECT_FALSE(run.executor_ == leaving && run.outcome_.empty())
      << run.task_ << " goes on after the acknowledgement";
  }
  EXPECT_EQ(answer.get().response_.body_, R"({"state":"completed"})");
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformBestEffort, AHeartbeatOfAnotherExecutorEndsNoRun)
{
  PlatformCluster cluster(
    { .entries_ = 1, .sidecars_ = 3, .stopTime_ = Millis(50) });
  auto answer = std::async(std::launch::async, [&] {
    return cluster.Submit(0, MakeJobId(1), "ms=1500", 4, true);
  });
  ASSERT_TRUE(WaitUntil([&] { return cluster.CountRuns(MakeJobId(1)) == 4; }));
  // Later than the start of any executor, and of a service that nobody names.
  const std::string body = R"({"service":"other","state":"ready","seq":1,
                               "capacity":{"cpu":1000,"memMb":100},
                               "born":9999999999999})";
  EXPECT_EQ(cluster.Heartbeat(cluster.Runs().at(0).executor_, "i-9", body)
              .response_.status_,
            200);
  EXPECT_EQ(answer.get().response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1)), 4U) << "a run was given up";
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformInput, FaultsGetClearAnswersAndDisturbNobody)
{
  PlatformCluster cluster(1, 1);
  EXPECT_EQ(
    cluster.Call(0, "POST", "/q9/" + MakeJobId(1), "{}").response_.status_,
    404);
  for (const char* body : { "",
                            "{}",
                            "[]",
                            "{\"steps\":",
                            R"({"steps":[]})",
                            R"({"steps":[{"count":0}]})",
                            R"({"steps":[{"count":"x"}]})",
                            R"({"steps":[{"count":1,"after":[0]}]})" }) {
    const HttpResult result =
      cluster.Call(0, "POST", "/q1/" + MakeJobId(1), body);
    EXPECT_EQ(result.response_.status_, 400) << body;
  }
  EXPECT_EQ(cluster.Call(0, "POST", "/q1/short", "{}").response_.status_, 400);
  for (const char* beat : { "",
                            "{}",
                            R"({"service":1,"state":"ready"})",
                            R"({"service":"desk","state":"odd",
                                "capacity":{"cpu":1}})",
                            R"({"service":"desk","state":"ready",
                                "capacity":"large"})" }) {
    EXPECT_EQ(cluster.Heartbeat(0, "u-9", beat).response_.status_, 400);
  }
  EXPECT_EQ(cluster.Submit(0, MakeJobId(2), "", 1, true).response_.status_,
            200);
}

TEST(PlatformStored, AJobIsAcceptedOnceAndShownEverywhere)
{
  PlatformCluster cluster(2, 2);
  EXPECT_EQ(cluster.State(0, MakeJobId(1)), "410");
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(
      cluster
        .Submit(static_cast<unsigned>(i % 2), MakeJobId(1), "ms=100", 3, false)
        .response_.status_,
      200);
  }
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(1), "completed"));
  EXPECT_TRUE(cluster.WaitState(1, MakeJobId(1), "completed"));
  EXPECT_EQ(
    cluster.Submit(1, MakeJobId(1), "ms=100", 3, false).response_.status_, 200);
  std::this_thread::sleep_for(Millis(500));
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1)), 3U);
  EXPECT_EQ(cluster.State(1, MakeJobId(1)), "completed");
}

TEST(PlatformStored, AScheduledJobRunsEachTimeWhenItIsDue)
{
  PlatformCluster cluster(2, 2);
  const auto now =
    std::chrono::duration_cast<Millis>(WallClock::now().time_since_epoch());
  const int64_t due = now.count() + 800;
  const HttpResult accepted = cluster.Call(
    0,
    "POST",
    "/q1/" + MakeJobId(1),
    R"({"steps":[{"count":1,"cpu":1000}],"repeats":3,"intervalMs":700,
"startAtMs":)" +
      std::to_string(due) + "}");
  EXPECT_EQ(accepted.response_.status_, 200);
  EXPECT_EQ(cluster.State(0, MakeJobId(1)), "queued");
  EXPECT_TRUE(cluster.WaitState(1, MakeJobId(1), "completed"));
  const auto runs = cluster.Runs();
  EXPECT_EQ(runs.size(), 3U);
  for (const RunRecord& run : runs) {
    const int64_t occurrence = run.task_.at(MakeJobId(1).size() + 1) - '0';
    EXPECT_GE(run.started_, due + occurrence * 700) << run.task_;
  }
}

TEST(PlatformStored, AJobThatFailsIsShownAsFailed)
{
  PlatformCluster cluster(1, 2);
  cluster.Submit(0, MakeJobId(1), "fail", 1, false);
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(1), "failed"));
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1), "failed"), 3U);
}

TEST(PlatformStored, ACancelledJobEnds)
{
  PlatformCluster cluster(2, 2);
  cluster.Submit(0, MakeJobId(1), "ms=20000", 2, false);
  ASSERT_TRUE(WaitUntil([&] { return cluster.CountRuns(MakeJobId(1)) == 2; }));
  EXPECT_EQ(cluster.Call(1, "DELETE", "/q1/" + MakeJobId(1)).response_.status_,
            200);
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(1), "cancelled"));
  EXPECT_TRUE(
    WaitUntil([&] { return cluster.CountRuns(MakeJobId(1), "stopped") == 2; },
              Millis(3000)));
}

/// Processes to kill at a given time after the submission of jobs.
struct KillCase
{
  const char* name_;
  /// Time from the submission to the kill.
  Millis after_;
  bool leader_;
  bool entries_;
  bool sidecars_;
};

// The next leader may own a run of the same task and number.
TEST(PlatformBestEffort, AnEndThatAKilledSidecarLeftEndsNoLaterRun)
{
  const std::string job = MakeJobId(1);
  PlatformCluster cluster(1, 2);
  const auto submit = [&] {
    return std::async(std::launch::async, [&] {
      return cluster.Submit(0, job, "ms=4000", 1, true);
    });
  };
  cluster.Sidecar(1).Kill();
  auto first = submit();
  ASSERT_TRUE(WaitUntil([&] { return cluster.CountRuns(job) == 1; }));
  cluster.Entry(0).Kill();
  cluster.Sidecar(0).Kill();
  cluster.ExecutorFault(0, R"({"fail_running":true})");
  EXPECT_FALSE(first.get().Ok());
  ASSERT_EQ(cluster.CountRuns(job, "failed"), 1U);
  cluster.StartEntry(0);
  cluster.StartSidecar(0);
  cluster.WaitReady();
  auto second = submit();
  ASSERT_TRUE(WaitUntil([&] { return cluster.CountRuns(job) == 2; }));
  cluster.StartSidecar(1);
  EXPECT_EQ(second.get().response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.CountRuns(job), 2U);
  EXPECT_EQ(cluster.CountRuns(job, "done"), 1U);
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

class StoredJobUnderKills : public testing::TestWithParam<KillCase>
{};

TEST_P(StoredJobUnderKills, EndsAndNoTaskHasTwoRunsAtATime)
{
  const KillCase& kill = GetParam();
  PlatformCluster cluster(2, 2);
  const unsigned leader = cluster.Leader();
  const unsigned other = 1 - leader;
  for (unsigned job = 0; job < 3; ++job) {
    ASSERT_EQ(cluster.Submit(other, MakeJobId(job), "ms=700", 4, false)
                .response_.status_,
              200);
  }
  std::this_thread::sleep_for(kill.after_);
  for (unsigned i = 0; i < 2; ++i) {
    if (kill.entries_ || (kill.leader_ && i == leader)) {
      cluster.Entry(i).Kill();
    }
    if (kill.sidecars_) {
      cluster.Sidecar(i).Kill();
    }
  }
  for (unsigned i = 0; i < 2; ++i) {
    if (kill.entries_ || (kill.leader_ && i == leader)) {
      cluster.StartEntry(i);
    }
    if (kill.sidecars_) {
      cluster.StartSidecar(i);
    }
  }
  for (unsigned job = 0; job < 3; ++job) {
    EXPECT_TRUE(cluster.WaitState(other, MakeJobId(job), "completed")) << job;
    EXPECT_EQ(cluster.CountRuns(MakeJobId(job), "done"), 4U) << job;
  }
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
  Kills,
  StoredJobUnderKills,
  testing::Values(
    KillCase{ "leader_at_once", Millis(0), true, false, false },
    KillCase{ "leader_while_running", Millis(400), true, false, false },
    KillCase{ "leader_at_the_end", Millis(720), true, false, false },
    KillCase{ "all_entries", Millis(400), false, true, false },
    KillCase{ "all_sidecars", Millis(400), false, false, true },
    KillCase{ "everything", Millis(400), false, true, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

// An executor that restarts under its id takes what its sidecar orders before
// it has noticed the restart.
TEST(PlatformStored, NoTaskHasTwoRunsWhileAnExecutorRestartsUnderItsId)
{
  PlatformCluster cluster(1, 2);
  unsigned jobs = 0;
  for (int round = 0; round < 8; ++round) {
    const unsigned first = jobs;
    cluster.ExecutorFault(0, R"({"reborn":true})");
    for (int i = 0; i < 4; ++i) {
      ASSERT_EQ(cluster.Submit(0, MakeJobId(jobs++), "ms=400", 1, false)
                  .response_.status_,
                200);
    }
    for (unsigned job = first; job < jobs; ++job) {
      EXPECT_TRUE(cluster.WaitState(0, MakeJobId(job), "completed")) << job;
    }
  }
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

class LateOrder : public testing::TestWithParam<const char*>
{};

// The order of a run that has failed is carried out when its executor has
// started again under its id. Until then the task has no other run, since that
// would need another number.
TEST_P(LateOrder, BeginsNoRunBesideANewerOneAfterARestart)
{
  constexpr unsigned kExecutors = 3;
  const std::string job = MakeJobId(1);
  PlatformCluster cluster(1, kExecutors);
  for (unsigned i = 0; i < kExecutors; ++i) {
    cluster.ExecutorFault(i, R"({"lose_starts":1})");
  }
  auto answer = std::async(std::launch::async, [&] {
    return cluster.Submit(0, job, "ms=2500", 1, true);
  });
  ASSERT_TRUE(WaitUntil([&] { return cluster.CountRuns(job) == 1; }));
  const unsigned first = cluster.Runs().at(0).executor_;
  for (unsigned i = 0; i < kExecutors; ++i) {
    cluster.ExecutorFault(i, "{}");
  }
  cluster.ExecutorFault(first, R"({"fail_running":true})");
  EXPECT_TRUE(WaitUntil([&] { return cluster.CountRuns(job, "failed") == 1; }));
  std::this_thread::sleep_for(Millis(300));
  EXPECT_EQ(cluster.CountRuns(job), 1U);
  cluster.ExecutorFault(first, GetParam());
  EXPECT_EQ(answer.get().response_.body_, R"({"state":"completed"})");
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Restarts,
                         LateOrder,
                         testing::Values(R"({"reborn":true,"late_ms":0})",
                                         R"({"reborn":true,"late_ms":100})"),
                         [](const auto& aInfo) {
                           return aInfo.index == 0 ? "AtOnce" : "Later";
                         });

// All processes that know of the orders are killed; one executor restarts under
// its id and begins its own, while the jobs run again.
TEST(LateOrderOfKilledProcesses, BeginsNoRunBesideANewerOne)
{
  constexpr unsigned kSize = 3;
  constexpr unsigned kJobs = 9;
  PlatformCluster cluster(kSize, kSize);
  for (unsigned i = 0; i < kSize; ++i) {
    cluster.ExecutorFault(i, R"({"lose_starts":1000})");
  }
  const auto submitAll = [&] {
    std::vector<std::future<HttpResult>> answers;
    for (unsigned job = 0; job < kJobs; ++job) {
      answers.push_back(std::async(std::launch::async, [&cluster, job] {
        return cluster.Submit(job % kSize, MakeJobId(job), "ms=1500", 1, true);
      }));
    }
    return answers;
  };
  auto lost = submitAll();
  std::this_thread::sleep_for(Millis(1000));
  for (unsigned i = 0; i < kSize; ++i) {
    cluster.Entry(i).Kill();
    cluster.Sidecar(i).Kill();
  }
  for (auto& answer : lost) {
    EXPECT_FALSE(answer.get().Ok());
  }
  ASSERT_EQ(cluster.Runs().size(), 0U);
  for (unsigned i = 0; i < kSize; ++i) {
    cluster.ExecutorFault(i, "{}");
    cluster.StartEntry(i);
    cluster.StartSidecar(i);
  }
  cluster.WaitReady();
  auto answers = submitAll();
  ASSERT_TRUE(WaitUntil([&] { return cluster.Runs().size() == kJobs; }));
  cluster.ExecutorFault(0, R"({"reborn":true,"late_ms":0})");
  for (auto& answer : answers) {
    EXPECT_EQ(answer.get().response_.body_, R"({"state":"completed"})");
  }
  EXPECT_THAT(cluster.OverlappingRuns(), IsEmpty());
}

TEST(PlatformStored, WhatCannotBeStoredIsRefusedAtOnce)
{
  PlatformCluster cluster(1, 1);
  cluster.StoreFault(R"({"down":"503"})");
  const HttpResult refused = cluster.Submit(0, MakeJobId(1), "", 1, false);
  EXPECT_EQ(refused.response_.status_, 503);
  bool tellsWhen = false;
  for (const auto& [name, value] : refused.response_.headers_) {
    tellsWhen |= name == "retry-after";
  }
  EXPECT_TRUE(tellsWhen);
  cluster.StoreFault(R"({"down":"no"})");
  std::this_thread::sleep_for(Millis(1500));
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1)), 0U) << "a refused job has run";
  EXPECT_EQ(cluster.Submit(0, MakeJobId(2), "", 1, false).response_.status_,
            200);
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(2), "completed"));
}

TEST(PlatformStored, ALostAnswerOfTheStoreIsNeverCalledRefused)
{
  PlatformCluster cluster(1, 1);
  cluster.Leader();
  cluster.StoreFault(R"({"lose_append_answers":true})");
  const HttpResult result = cluster.Submit(0, MakeJobId(1), "", 1, false);
  EXPECT_EQ(result.response_.status_, 504);
  cluster.StoreFault(R"({"lose_append_answers":false})");
  EXPECT_EQ(cluster.Submit(0, MakeJobId(1), "", 1, false).response_.status_,
            200);
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(1), "completed"));
  EXPECT_EQ(cluster.CountRuns(MakeJobId(1), "done"), 1U);
}

TEST(PlatformStored, SurvivesTheLossOfTheStoresHistory)
{
  PlatformCluster cluster(2, 1);
  cluster.Submit(0, MakeJobId(1), "", 1, false);
  ASSERT_TRUE(cluster.WaitState(1, MakeJobId(1), "completed"));
  cluster.StoreFault(R"({"drop_history":true})");
  cluster.Submit(1, MakeJobId(2), "", 1, false);
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(2), "completed"));
  cluster.Entry(0).Kill();
  cluster.StartEntry(0);
  EXPECT_TRUE(cluster.WaitState(0, MakeJobId(1), "completed"));
}

TEST(PlatformStop, APlannedStopAnswersWhatIsInFlight)
{
  PlatformCluster cluster(1, 1);
  HttpResult result;
  std::thread caller(
    [&] { result = cluster.Submit(0, MakeJobId(1), "ms=1200", 1, true); });
  std::this_thread::sleep_for(Millis(300));
  cluster.Entry(0).Signal(SIGTERM);
  caller.join();
  EXPECT_EQ(result.response_.body_, R"({"state":"completed"})");
  EXPECT_EQ(cluster.Entry(0).WaitExit(), 0);
}

// The entry waits 2.2 s for the load balancer before it exits. A submission
// that is being written at that time may be in the store already, so it must
// not be answered as refused.
TEST(PlatformStop, APlannedStopWaitsForAStoredJobThatIsBeingWritten)
{
  PlatformCluster cluster(1, 1);
  cluster.Entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(Millis(1900));
  cluster.StoreFault(R"({"down":"silent"})");
  const HttpResult result = cluster.Submit(0, MakeJobId(1), "", 1, false);
  EXPECT_EQ(result.response_.status_, 504) << result.error_;
  EXPECT_EQ(cluster.Entry(0).WaitExit(), 0);
}

} // namespace
} // namespace cornelfront::harness
