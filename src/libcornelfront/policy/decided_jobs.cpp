#include "cornelfront/decided_jobs.h"

namespace cornelfront {

void
DecidedJobs::Complete(const JobInstance& aInstance)
{
  jobs_[aInstance.job_].completed_.insert(aInstance.occurrence_);
}

bool
DecidedJobs::Start(const JobInstance& aInstance)
{
  return jobs_[aInstance.job_].started_.insert(aInstance.occurrence_).second;
}

bool
DecidedJobs::IsClosed(const std::string& aJob) const
{
  const auto found = jobs_.find(aJob);
  return found != jobs_.end() && found->second.closed_;
}

bool
DecidedJobs::HasEnded(const JobInstance& aInstance) const
{
  const auto found = jobs_.find(aInstance.job_);
  return found != jobs_.end() &&
         (found->second.closed_ ||
          found->second.completed_.contains(aInstance.occurrence_));
}

void
DecidedJobs::OnShown(const std::string& aJob,
                     const JobReplica::StoredJob* aShown)
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  if (aShown == nullptr || aShown->finalState_) {
    jobs_.erase(found);
    return;
  }
  Decisions& decisions = found->second;
  for (const auto& [occurrence, record] : aShown->instances_) {
    decisions.started_.erase(occurrence);
    if (record.completed_) {
      decisions.completed_.erase(occurrence);
    }
  }
  if (!decisions.closed_ && decisions.completed_.empty() &&
      decisions.started_.empty()) {
    jobs_.erase(found);
  }
}

} // namespace cornelfront
