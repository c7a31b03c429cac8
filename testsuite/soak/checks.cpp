#include "checks.h"

#include "cornelfront/clock.h"

#include <algorithm>
#include <map>

namespace cornelfront::soak {
namespace {

using harness::RunRecord;

/// Attempts that the only queue of the cluster allows, "attempts" in its
/// configuration.
constexpr size_t kAttempts = 3;
constexpr size_t kJobIdSize = 16;

using RunsByTask = std::map<std::string, std::vector<RunRecord>>;

std::string
Describe(const RunRecord& aRun)
{
  return aRun.task_ + "#" + std::to_string(aRun.run_) + " on executor " +
         std::to_string(aRun.executor_) + " from " +
         std::to_string(aRun.begun_) + " to " + std::to_string(aRun.ended_) +
         " (" + aRun.how_ + ")";
}

bool
EndedBefore(const RunRecord& aRun, Stamp aTime)
{
  return aRun.ended_ != 0 && aRun.ended_ <= aTime;
}

class Checker
{
public:
  explicit Checker(const Observations& aObservations)
    : observations_(aObservations)
  {
    for (const JobRecord& job : observations_.jobs_) {
      jobs_[job.id_] = &job;
    }
    for (const RunRecord& run : observations_.runs_) {
      runs_[run.task_].push_back(run);
    }
    for (auto& [task, runs] : runs_) {
      std::sort(runs.begin(), runs.end(), [](const auto& aA, const auto& aB) {
        return aA.begun_ < aB.begun_;
      });
    }
  }

  std::vector<std::string> Check()
  {
    for (const auto& [task, runs] : runs_) {
      const auto job = jobs_.find(task.substr(0, kJobIdSize));
      if (job == jobs_.end()) {
        Fail("run of a job that was not submitted: " + Describe(runs.front()));
        continue;
      }
      CheckTask(*job->second, runs);
    }
    for (const JobRecord& job : observations_.jobs_) {
      CheckJob(job);
    }
    for (const ClosedSpan& span : observations_.closed_) {
      CheckClosed(span);
    }
    for (const CutRequest& cut : observations_.cuts_) {
      CheckCut(cut);
    }
    return std::move(violations_);
  }

private:
  void Fail(std::string aText) { violations_.push_back(std::move(aText)); }

  void CheckTask(const JobRecord& aJob, const std::vector<RunRecord>& aRuns)
  {
    for (size_t i = 0; i + 1 < aRuns.size(); ++i) {
      if (!EndedBefore(aRuns[i], aRuns[i + 1].begun_)) {
        Fail("overlapping runs of a task: " + Describe(aRuns[i]) + ", " +
             Describe(aRuns[i + 1]));
      }
    }
    if (aJob.refused_) {
      Fail("run of a refused job: " + Describe(aRuns.front()));
    }
    if (aJob.bestEffort_) {
      return;
    }
    size_t failed = 0;
    const RunRecord* done = nullptr;
    for (const RunRecord& run : aRuns) {
      if (done != nullptr) {
        Fail("run after an acknowledged end: " + Describe(*done) + ", " +
             Describe(run));
      }
      if (failed >= kAttempts) {
        Fail("run after the last allowed attempt, " +
             std::to_string(kAttempts) + ": " + Describe(run));
      }
      const bool counts = run.acknowledged_ != 0;
      failed += counts && run.how_ == "failed" ? 1 : 0;
      done = counts && run.how_ == "done" ? &run : done;
    }
    if (aRuns.back().ended_ == 0) {
      Fail("still running at the end of the test: " + Describe(aRuns.back()));
    }
  }

  void CheckJob(const JobRecord& aJob)
  {
    if (aJob.answer_ == "completed") {
      CheckWhole(aJob, aJob.answered_);
    } else if (aJob.answer_ == "failed" && !aJob.fails_) {
      Fail("job " + aJob.id_ +
           " was answered as failed, but its tasks do not fail");
    }
    if (aJob.accepted_ == 0) {
      return;
    }
    const std::string expected = aJob.fails_ ? "failed" : "completed";
    for (const std::string& state : aJob.states_) {
      const bool cancelled = aJob.cancelled_ != 0 && state == "cancelled";
      if (state != expected && !cancelled) {
        Fail("accepted job " + aJob.id_ + " is reported as " + state +
             " instead of " + expected);
      } else if (state == "completed") {
        CheckWhole(aJob, StampNow());
      }
    }
  }

  /// Checks that every task has a run that was done by \p aBefore.
  void CheckWhole(const JobRecord& aJob, Stamp aBefore)
  {
    for (unsigned i = 0; i < aJob.tasks_; ++i) {
      const std::string task = aJob.id_ + ".0.0." + std::to_string(i);
      const auto runs = runs_.find(task);
      const bool done =
        runs != runs_.end() &&
        std::any_of(
          runs->second.begin(), runs->second.end(), [&](const RunRecord& aRun) {
            return aRun.how_ == "done" && EndedBefore(aRun, aBefore);
          });
      if (!done) {
        Fail("completed job without a completed run of task " + task);
      }
    }
  }

  void CheckClosed(const ClosedSpan& aSpan)
  {
    for (const RunRecord& run : observations_.runs_) {
      if (run.executor_ == aSpan.executor_ && run.begun_ > aSpan.from_ &&
          run.begun_ < aSpan.to_) {
        Fail("run started " + std::to_string(run.begun_ - aSpan.from_) +
             " ms after the last allowed start on executor " +
             std::to_string(aSpan.executor_) + " (" + aSpan.why_ +
             "): " + Describe(run));
      }
    }
  }

  void CheckCut(const CutRequest& aCut)
  {
    for (const CalmSpan& span : observations_.calm_) {
      if (span.entry_ == aCut.entry_ && span.from_ <= aCut.from_ &&
          aCut.to_ <= span.to_) {
        Fail("entry " + std::to_string(aCut.entry_) +
             " aborted a request without a fault, from " +
             std::to_string(aCut.from_) + " to " + std::to_string(aCut.to_));
      }
    }
  }

  const Observations& observations_;
  std::map<std::string, const JobRecord*> jobs_;
  RunsByTask runs_;
  std::vector<std::string> violations_;
};

} // namespace

Stamp
StampNow()
{
  return std::chrono::duration_cast<Millis>(WallClock::now().time_since_epoch())
    .count();
}

std::vector<std::string>
FindViolations(const Observations& aObservations)
{
  return Checker(aObservations).Check();
}

} // namespace cornelfront::soak
