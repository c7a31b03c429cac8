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
         std::to_string(aRun.started_) + " to " + std::to_string(aRun.ended_) +
         " (" + aRun.outcome_ + ")";
}

bool
EndedBefore(const RunRecord& aRun, WallMillis aTime)
{
  return aRun.ended_ != 0 && aRun.ended_ <= aTime;
}

/// Returns the runs of each task, ordered by their starts.
RunsByTask
GroupByTask(const std::vector<RunRecord>& aRuns)
{
  RunsByTask grouped;
  for (const RunRecord& run : aRuns) {
    grouped[run.task_].push_back(run);
  }
  for (auto& [task, runs] : grouped) {
    std::sort(runs.begin(), runs.end(), [](const auto& aA, const auto& aB) {
      return aA.started_ < aB.started_;
    });
  }
  return grouped;
}

class Checker
{
public:
  explicit Checker(const Observations& aObservations)
    : observations_(aObservations)
    , runs_(GroupByTask(aObservations.runs_))
  {
    for (const JobRecord& job : observations_.jobs_) {
      jobs_[job.id_] = &job;
    }
  }

  std::vector<std::string> Check()
  {
    for (const auto& [task, runs] : runs_) {
      const auto job = jobs_.find(task.substr(0, kJobIdSize));
      if (job == jobs_.end()) {
        AddViolation("run of a job that was not submitted: " +
                     Describe(runs.front()));
        continue;
      }
      CheckTask(*job->second, runs);
    }
    for (const JobRecord& job : observations_.jobs_) {
      CheckJob(job);
    }
    for (const NoStartInterval& interval : observations_.noStart_) {
      CheckNoStart(interval);
    }
    for (const AbortedRequest& aborted : observations_.aborted_) {
      CheckAborted(aborted);
    }
    return std::move(violations_);
  }

private:
  void AddViolation(std::string aText)
  {
    violations_.push_back(std::move(aText));
  }

  void CheckTask(const JobRecord& aJob, const std::vector<RunRecord>& aRuns)
  {
    for (size_t i = 0; i + 1 < aRuns.size(); ++i) {
      if (!EndedBefore(aRuns[i], aRuns[i + 1].started_)) {
        AddViolation("overlapping runs of a task: " + Describe(aRuns[i]) +
                     ", " + Describe(aRuns[i + 1]));
      }
    }
    if (aJob.refused_) {
      AddViolation("run of a refused job: " + Describe(aRuns.front()));
    }
    if (aJob.bestEffort_) {
      return;
    }
    size_t failed = 0;
    const RunRecord* done = nullptr;
    for (const RunRecord& run : aRuns) {
      if (done != nullptr) {
        AddViolation("run after an acknowledged end: " + Describe(*done) +
                     ", " + Describe(run));
      }
      if (failed >= kAttempts && !aJob.lasts_) {
        AddViolation("run after the last allowed attempt, " +
                     std::to_string(kAttempts) + ": " + Describe(run));
      }
      const bool counts = run.acknowledged_ != 0;
      failed += counts && run.outcome_ == "failed" ? 1 : 0;
      done = counts && run.outcome_ == "done" ? &run : done;
    }
    if (aRuns.back().ended_ == 0) {
      AddViolation("still running at the end of the test: " +
                   Describe(aRuns.back()));
    }
  }

  /// True if two executors have crashed under one task of the job.
  bool MayBeGivenUp(const JobRecord& aJob) const
  {
    constexpr int kCrashes = 2;
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& aTask) {
      const auto& [task, runs] = aTask;
      return task.starts_with(aJob.id_ + ".") &&
             std::count_if(runs.begin(), runs.end(), [](const auto& aRun) {
               return aRun.outcome_ == "crashed";
             }) >= kCrashes;
    });
  }

  void CheckJob(const JobRecord& aJob)
  {
    if (aJob.answer_ == "completed") {
      CheckAllTasksDone(aJob, aJob.answered_);
    } else if (aJob.answer_ == "failed" && !aJob.fails_ &&
               !MayBeGivenUp(aJob)) {
      AddViolation("job " + aJob.id_ +
                   " was answered as failed, but its tasks do not fail");
    }
    CheckOrder(aJob);
    if (aJob.accepted_ == 0) {
      return;
    }
    const std::string expected = aJob.fails_ ? "failed" : "completed";
    for (const std::string& state : aJob.states_) {
      const bool cancelled = aJob.cancelled_ != 0 && state == "cancelled";
      const bool givenUp = state == "failed" && MayBeGivenUp(aJob);
      if (state != expected && !cancelled && !givenUp) {
        AddViolation("accepted job " + aJob.id_ + " is reported as " + state +
                     " instead of " + expected);
      } else if (state == "completed") {
        CheckAllTasksDone(aJob, WallMillisNow());
      }
    }
  }

  /// Checks that every task has a run that was done by \p aBefore.
  void CheckAllTasksDone(const JobRecord& aJob, WallMillis aBefore)
  {
    for (unsigned k = 0; k < aJob.occurrences_; ++k) {
      for (unsigned step = 0; step < aJob.steps_; ++step) {
        for (const std::string& task : TasksOf(aJob, k, step)) {
          if (!IsDone(task, aBefore)) {
            AddViolation("completed job without a completed run of task " +
                         task);
          }
        }
      }
    }
  }

  static std::vector<std::string> TasksOf(const JobRecord& aJob,
                                          unsigned aOccurrence,
                                          unsigned aStep)
  {
    std::vector<std::string> tasks;
    for (unsigned i = 0; i < aJob.tasks_; ++i) {
      tasks.push_back(aJob.id_ + "." + std::to_string(aOccurrence) + "." +
                      std::to_string(aStep) + "." + std::to_string(i));
    }
    return tasks;
  }

  /// True if a run of the task was done by \p aBefore.
  bool IsDone(const std::string& aTask, WallMillis aBefore) const
  {
    const auto runs = runs_.find(aTask);
    return runs != runs_.end() &&
           std::any_of(runs->second.begin(),
                       runs->second.end(),
                       [&](const RunRecord& aRun) {
                         return aRun.outcome_ == "done" &&
                                EndedBefore(aRun, aBefore);
                       });
  }

  /// Checks that no step began before all tasks of the one before it were done.
  void CheckOrder(const JobRecord& aJob)
  {
    for (unsigned k = 0; k < aJob.occurrences_; ++k) {
      for (unsigned step = 1; step < aJob.steps_; ++step) {
        const std::vector<std::string> earlier = TasksOf(aJob, k, step - 1);
        for (const std::string& task : TasksOf(aJob, k, step)) {
          const auto runs = runs_.find(task);
          if (runs == runs_.end()) {
            continue;
          }
          const RunRecord& first = runs->second.front();
          for (const std::string& before : earlier) {
            if (!IsDone(before, first.started_)) {
              AddViolation("a step began before the end of " + before + ": " +
                           Describe(first));
            }
          }
        }
      }
    }
  }

  void CheckNoStart(const NoStartInterval& aInterval)
  {
    for (const RunRecord& run : observations_.runs_) {
      if (run.executor_ == aInterval.executor_ &&
          run.started_ > aInterval.from_ && run.started_ < aInterval.to_) {
        AddViolation("run started " +
                     std::to_string(run.started_ - aInterval.from_) +
                     " ms after the last allowed start on executor " +
                     std::to_string(aInterval.executor_) + " (" +
                     aInterval.why_ + "): " + Describe(run));
      }
    }
  }

  void CheckAborted(const AbortedRequest& aAborted)
  {
    for (const UndisturbedInterval& interval : observations_.undisturbed_) {
      if (interval.entry_ == aAborted.entry_ &&
          interval.from_ <= aAborted.from_ && aAborted.to_ < interval.to_) {
        AddViolation("entry " + std::to_string(aAborted.entry_) +
                     " aborted a request without a fault, from " +
                     std::to_string(aAborted.from_) + " to " +
                     std::to_string(aAborted.to_) + ", calm until " +
                     std::to_string(interval.to_));
      }
    }
  }

  const Observations& observations_;
  std::map<std::string, const JobRecord*> jobs_;
  const RunsByTask runs_;
  std::vector<std::string> violations_;
};

} // namespace

WallMillis
WallMillisNow()
{
  return std::chrono::duration_cast<Millis>(WallClock::now().time_since_epoch())
    .count();
}

std::vector<std::string>
FindViolations(const Observations& aObservations)
{
  return Checker(aObservations).Check();
}

std::optional<Millis>
LeastMargin(const std::vector<RunRecord>& aRuns)
{
  std::optional<Millis> least;
  for (const auto& [task, runs] : GroupByTask(aRuns)) {
    for (size_t i = 0; i + 1 < runs.size(); ++i) {
      const RunRecord& run = runs[i];
      const RunRecord& next = runs[i + 1];
      if (run.executor_ == next.executor_ ||
          (run.outcome_ != "lapsed" && run.outcome_ != "stopped")) {
        continue;
      }
      const Millis margin{ next.started_ - run.ended_ };
      least = std::min(least.value_or(margin), margin);
    }
  }
  return least;
}

} // namespace cornelfront::soak
