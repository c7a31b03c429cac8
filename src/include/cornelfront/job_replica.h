#pragma once

/// \file
/// Local replica of the stored jobs, which must survive the failure of any
/// process. Each entry builds it by reading the job topic of the store in
/// order.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/job.h"
#include "cornelfront/job_scheduler.h"
#include "cornelfront/keyed_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelfront {

enum class JobState : uint8_t
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

/// Lowercase name, such as "queued".
std::string_view
ToString(JobState aState);

/// An accepted job, as stored. It outlives its queue: a later configuration may
/// drop that.
struct AcceptedJob
{
  JobDescription job_;
  /// Name of the queue.
  std::string queue_;
  /// Time since the Unix epoch on the clock of the entry that accepted the job.
  Millis acceptedAt_{ 0 };
  /// The queue of that name in the newest known configuration that has it; in
  /// the store, in the one by which the job was accepted.
  ConfiguredQueue configured_;

  template<class Archive>
  void save(Archive& aArchive) const
  {
    aArchive(job_, queue_, acceptedAt_, configured_);
  }

  template<class Archive>
  void load(Archive& aArchive)
  {
    aArchive(job_, queue_, acceptedAt_);
    // Records of earlier builds end here.
    if (aArchive.Remaining() > 0) {
      aArchive(configured_);
    }
  }
};

/// Returns the queue of this name in the newest configuration; nullopt if there
/// is none any more.
using FindQueue =
  std::function<std::optional<ConfiguredQueue>(const std::string&)>;

/// The leader: the process that schedules the stored jobs.
struct LeaderRecord
{
  uint64_t term_ = 0;
  MemberId id_;
  std::string name_;
  /// Incremented with each renewal of the leadership.
  uint64_t renewal_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_, id_, name_, renewal_);
  }
};

/// Progress of one instance of a job.
struct InstanceRecord
{
  JobProgress progress_;
  bool completed_ = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(progress_, completed_);
  }
};

/// Functions that build the records of each kind. Entries write acceptance and
/// cancellation records and never overwrite records that the leader writes.
KeyedRecord
AcceptanceRecord(const AcceptedJob& aJob);
KeyedRecord
CancellationRecord(const std::string& aJob);
KeyedRecord
ProgressRecord(const JobInstance& aInstance, const InstanceRecord& aRecord);
/// Records the final state of a job.
KeyedRecord
FinalRecord(const std::string& aJob, JobState aState);
KeyedRecord
MakeLeaderRecord(const LeaderRecord& aLeader);
/// Registers a sidecar that may execute runs of stored jobs.
KeyedRecord
SidecarRecord(const std::string& aName, MemberId aId);

/// Returns true if only the leader writes records of this kind.
bool
IsWrittenByLeader(const KeyedRecord& aRecord);

/// Returns true if the record registers a sidecar or removes it.
bool
IsSidecarRecord(const KeyedRecord& aRecord);

/// State of all stored jobs, the leader and the registered sidecars. Not
/// thread-safe.
class JobReplica
{
public:
  struct StoredJob
  {
    std::optional<AcceptedJob> accepted_;
    /// Leader's term that was known when the acceptance was applied.
    uint64_t acceptedTerm_ = 0;
    bool cancelled_ = false;
    std::map<uint32_t, InstanceRecord> instances_;
    std::optional<JobState> finalState_;
    /// When this process applied the record of the final state or of the
    /// cancellation; a cancellation may arrive without a job.
    MonoTime closedAt_;

    /// Returns true if the job still has work to run.
    bool IsActive() const { return accepted_ && !finalState_ && !cancelled_; }
  };

  /// Applies a record. A record that can't be decoded is logged and ignored.
  /// Returns the id of the job that it belongs to, or an empty string.
  std::string Apply(const KeyedRecord& aRecord, MonoTime aNow);

  /// Updates the queue of an active job to that of the configuration, unless
  /// that is older or does not have the queue.
  void UpdateQueue(const std::string& aJob, const FindQueue& aFindQueue);

  /// Returns nullopt if no such job was accepted.
  std::optional<JobState> State(const std::string& aJob) const;
  /// Number of active jobs of a queue that have not started.
  size_t Pending(const std::string& aQueue) const;

  const std::map<std::string, StoredJob>& Jobs() const { return jobs_; }
  const LeaderRecord& Leader() const { return leader_; }
  /// Registered sidecars, by name.
  const std::map<std::string, MemberId>& Sidecars() const { return sidecars_; }

  /// Returns the records that close a job: its final state and the deletion of
  /// all its other records.
  std::vector<KeyedRecord> ClosingRecords(const std::string& aJob,
                                          JobState aState) const;
  /// Returns the records that delete the rest of the jobs that were closed
  /// before \p aBefore.
  std::vector<KeyedRecord> ExpiredRecords(MonoTime aBefore) const;

private:
  void ApplyToJob(std::string_view aKind,
                  std::string_view aRest,
                  const std::string& aValue,
                  MonoTime aNow);

  std::map<std::string, StoredJob> jobs_;
  LeaderRecord leader_;
  std::map<std::string, MemberId> sidecars_;
};

} // namespace cornelfront
