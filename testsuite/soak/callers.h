#pragma once

/// \file
/// Callers of the soak test. Each thread keeps its connections open, submits
/// jobs of random sizes, resubmits those without an answer, and cancels some.

#include "checks.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cornelfront::soak {

struct CallersOptions
{
  uint64_t seed_ = 1;
  unsigned threads_ = 4;
  /// How long a caller waits for an answer.
  Millis timeout_{ 4000 };
  /// Most tasks of a job.
  unsigned maxTasks_ = 6;
  /// Share of the jobs that are best-effort, in percent.
  int bestEffortPercent_ = 60;
  /// Share of the jobs whose tasks fail, in percent.
  int failPercent_ = 4;
  /// Longest task.
  Millis maxTask_{ 400 };
  /// Stored jobs also have two steps, run twice, allow one task on an executor,
  /// and go to a queue that faults drop.
  bool allKinds_ = false;
  /// "<ip>:<port>" of every entry.
  std::vector<std::string> entries_;
};

/// Runs the caller threads and records what they submitted and were told.
class Callers
{
public:
  explicit Callers(CallersOptions aOptions);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Joins the threads after their current jobs; has no effect when called
  /// again.
  void Stop();
  /// The results may be read only after Stop.
  const std::vector<JobRecord>& Jobs() const { return jobs_; }
  const std::vector<AbortedRequest>& AbortedRequests() const
  {
    return aborted_;
  }
  /// Queries every entry for the state of every job that was accepted, or may
  /// have been, until each has ended or \p aLimit has passed. May be called
  /// only after Stop.
  void ReadStates(Millis aLimit);

private:
  void Run(unsigned aThread);

  const CallersOptions options_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<JobRecord> jobs_;
  std::vector<AbortedRequest> aborted_;
  std::vector<std::thread> threads_;
};

} // namespace cornelfront::soak
