#pragma once

/// \file
/// Jobs of the soak test whose tasks last. Each has one task more than there
/// are executors, at most one on an executor, so that one of them always waits.

#include "checks.h"

#include <vector>

namespace cornelfront::soak {

class LastingJobs
{
public:
  /// Submits the jobs to the queue whose route is dropped.
  LastingJobs(harness::PlatformCluster& aCluster,
              unsigned aJobs,
              unsigned aEntries,
              unsigned aExecutors);

  /// Checks that a task of each job is at work on each executor, cancels the
  /// jobs and waits for the end of their tasks.
  std::vector<JobRecord> CheckAndCancel();

private:
  /// Number of runs of a job that have not ended.
  size_t RunsAtWork(const std::string& aJob);

  harness::PlatformCluster& cluster_;
  const unsigned entries_;
  const unsigned executors_;
  std::vector<JobRecord> jobs_;
};

} // namespace cornelfront::soak
