#pragma once

/// \file
/// What the leader of the stored jobs has decided and the store does not show
/// yet.

#include "cornelfront/job.h"
#include "cornelfront/job_replica.h"

#include <map>
#include <set>
#include <string>

namespace cornelfront {

/// Decisions of this process as the leader, from the time at which each is
/// handed to the store until the replica shows it. Until then the replica shows
/// the job as before, and must not be acted upon alone: a task that is done
/// would start again. Not thread-safe.
class DecidedJobs
{
public:
  /// The process begins to lead. Decisions of an earlier term either are in the
  /// store or never will be, since it rejects appends of that term.
  void Clear() { jobs_.clear(); }

  /// The job has ended, in whatever way.
  void Close(const std::string& aJob) { jobs_[aJob].closed_ = true; }
  /// All tasks of the instance are done.
  void Complete(const JobInstance& aInstance);
  /// The instance has started. Returns false if that was decided before.
  bool Start(const JobInstance& aInstance);

  bool IsClosed(const std::string& aJob) const;
  /// True if the instance, or its whole job, has ended.
  bool HasEnded(const JobInstance& aInstance) const;

  /// Forgets what the store shows. \p aShown is what the replica has of the
  /// job, or null if it has nothing: then the job has ended and expired.
  void OnShown(const std::string& aJob, const JobReplica::StoredJob* aShown);

private:
  struct Decisions
  {
    bool closed_ = false;
    std::set<uint32_t> completed_;
    std::set<uint32_t> started_;
  };

  std::map<std::string, Decisions> jobs_;
};

} // namespace cornelfront
