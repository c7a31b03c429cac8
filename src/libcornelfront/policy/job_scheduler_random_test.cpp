/// \file
/// Invariants under random sequences of events.

#include "policy/job_scheduler_fixture_test.h"

#include <cstdio>
#include <map>
#include <random>
#include <set>

namespace cornelfront::job_scheduler_test {
namespace {

/// Checks invariants under random sequences of events: a task never has two
/// runs that may exist at the same time, a refused job has never run, and each
/// submission is answered or abandoned exactly once.
class RandomEventsTest : public testing::TestWithParam<uint32_t>
{};

TEST_P(RandomEventsTest, KeepsInvariants)
{
  std::mt19937 random(GetParam());
  const auto pick = [&](int aBelow) {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(random);
  };
  JobScheduler scheduler(JobSchedulerOptions{ .zone_ = "z" });
  std::map<MemberId, std::set<RunKey>> present;
  std::set<RunKey> begun;
  std::map<JobSubmissionId, std::string> open;
  std::map<JobTaskId, std::set<MemberId>> holders;
  int now = 0;
  JobSubmissionId submissionId = 0;
  for (const MemberId id : { kFirst, kSecond }) {
    scheduler.OnSidecarLinked(id, "z", At(0));
    scheduler.OnReports(id, { .upstream_ = Idle(ToString(id)) }, At(0));
  }
  const auto perform = [&] {
    for (const JobAction& action : scheduler.TakeActions()) {
      if (const auto* runs = std::get_if<SendRuns>(&action)) {
        for (const RunOrder& order : runs->orders_.runs_) {
          const RunKey key{ runs->orders_.Task(order), order.run_ };
          auto& holding = holders[key.task_];
          // A run of an earlier submission of the same job would count as well.
          EXPECT_TRUE(holding.empty()) << ToString(key);
          holding.insert(runs->sidecar_);
          present[runs->sidecar_].insert(key);
        }
      } else if (const auto* answer = std::get_if<AnswerJob>(&action)) {
        ASSERT_EQ(open.count(answer->submissionId_), 1U);
        const std::string job = open[answer->submissionId_];
        open.erase(answer->submissionId_);
        if (answer->outcome_ == JobOutcome::Refused) {
          for (const RunKey& key : begun) {
            EXPECT_NE(key.task_.job_, job) << "a refused job has run";
          }
        }
      }
    }
  };
  const auto end = [&](MemberId aSidecar, const RunKey& aKey, RunEnd aEnd) {
    present[aSidecar].erase(aKey);
    holders[aKey.task_].erase(aSidecar);
    if (aEnd != RunEnd::NotStarted) {
      begun.insert(aKey);
    }
    scheduler.OnReports(aSidecar,
                        { .reports_ = { { .key_ = aKey, .end_ = aEnd } },
                          .upstream_ = Idle(ToString(aSidecar)) },
                        At(now));
  };
  for (int step = 0; step < 2000; ++step) {
    now += pick(20);
    const MemberId sidecar = pick(2) == 0 ? kFirst : kSecond;
    switch (pick(8)) {
      case 0: {
        ++submissionId;
        char id[17];
        snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(submissionId));
        open[submissionId] = id;
        scheduler.Submit(submissionId,
                         Job(1 + static_cast<uint32_t>(pick(3)), id),
                         Queue(),
                         At(now + 400),
                         At(now));
        break;
      }
      case 1:
        if (!open.empty()) {
          const JobSubmissionId gone = open.begin()->first;
          open.erase(gone);
          scheduler.OnClientDisconnected(gone, At(now));
        }
        break;
      case 2:
      case 3:
      case 4:
        if (!present[sidecar].empty()) {
          const RunKey key = *present[sidecar].begin();
          end(sidecar, key, static_cast<RunEnd>(pick(8)));
        }
        break;
      case 5:
        scheduler.Tick(At(now));
        break;
      case 6: {
        // The link is lost and re-established; some orders never arrived.
        HeldRuns held;
        std::set<RunKey> kept;
        for (const RunKey& key : present[sidecar]) {
          if (pick(2) == 0) {
            held.runs_.push_back(key);
            kept.insert(key);
          } else {
            holders[key.task_].erase(sidecar);
          }
        }
        present[sidecar] = kept;
        scheduler.OnSidecarLost(sidecar, At(now));
        scheduler.OnSidecarLinked(sidecar, "z", At(now));
        scheduler.OnHeldRuns(sidecar, held, RunEnd::NotStarted, At(now));
        scheduler.OnReports(
          sidecar, { .upstream_ = Idle(ToString(sidecar)) }, At(now));
        break;
      }
      default: {
        // The sidecar is replaced; its runs are lost.
        for (const RunKey& key : present[sidecar]) {
          holders[key.task_].erase(sidecar);
          begun.insert(key);
        }
        present[sidecar].clear();
        scheduler.OnSidecarLost(sidecar, At(now));
        scheduler.OnSidecarLinked(sidecar, "z", At(now));
        scheduler.OnHeldRuns(sidecar, {}, RunEnd::Lost, At(now));
        scheduler.OnReports(
          sidecar, { .upstream_ = Idle(ToString(sidecar)) }, At(now));
        break;
      }
    }
    perform();
  }
  for (int i = 0; i < 5; ++i) {
    now += 200;
    scheduler.Tick(At(now));
    perform();
  }
  EXPECT_TRUE(open.empty());
  EXPECT_EQ(scheduler.Jobs(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEventsTest, testing::Range(1U, 41U));

} // namespace
} // namespace cornelfront::job_scheduler_test
