#pragma once

/// \file
/// Jobs that survive the failure of any process. Every entry accepts them and
/// reports their state; the leader runs them.

#include "cornelfront/decided_jobs.h"
#include "cornelfront/job_replica.h"
#include "cornelfront/job_scheduler.h"
#include "cornelfront/leadership.h"
#include "platform/batch_writer.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"
#include "platform/topic_reader.h"

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cornelfront {

struct StoredJobsHooks
{
  /// Called when the scheduler may have queued actions.
  std::function<void()> onActions_;
  /// Tells all linked sidecars that this process leads.
  std::function<void(const TakeOver&)> onBecomeLeader_;
  /// Tells all linked sidecars that the store has confirmed this leader again.
  std::function<void(const LeaderAuthority&)> onAuthority_;
  FindQueue findQueue_;
  /// True once the operator's records have been read, which name the zones that
  /// are out of service.
  std::function<bool()> isConfigured_;
};

/// Stores and replicates jobs, takes part in the leader election, and feeds the
/// scheduler while this process leads. All calls and callbacks are on the event
/// loop.
class StoredJobs
{
public:
  StoredJobs(asio::io_context& aLoop,
             platform::StoreClient& aStore,
             JobScheduler& aScheduler,
             MemberId aSelf,
             std::string aName,
             StoredJobsHooks aHooks);

  using Done = std::function<void(platform::StoreOutcome)>;
  /// Stores a job; calls \p aDone at once if the job is already known.
  void Accept(const JobDescription& aJob,
              const ConfiguredQueue& aQueue,
              Done aDone);
  /// Stores a cancellation; also of a job that is not known here yet.
  void Cancel(const std::string& aJob, Done aDone);

  std::optional<JobState> State(const std::string& aJob) const;
  size_t Pending(const std::string& aQueue) const;
  /// True if the replica is recent enough to conclude that a missing job is
  /// unknown.
  bool IsFresh(MonoTime aNow) const;

  /// Term of this process as leader; 0 if another process leads.
  uint64_t Term() const;
  /// Time for which this process may still act as the leader; 0 if not at all.
  Millis AuthorityLeft(MonoTime aNow) const;
  /// A sidecar has reported the runs that it holds for this term.
  void OnTakenOver(const std::string& aSidecar, MemberId aId, uint64_t aTerm);
  void Save(const SaveJob& aSave);
  /// The configuration may have changed.
  void OnConfiguration(MonoTime aNow);
  void Tick(MonoTime aNow);

private:
  /// Shows a job on this entry once its acceptance is stored; the leader learns
  /// of it by reading.
  void ShowAcceptance(const KeyedRecord& aRecord, const std::string& aJob);
  void OnRecords(const std::vector<KeyedRecord>& aRecords);
  void Claim(MonoTime aNow);
  void StartLeading(MonoTime aNow);
  void StopLeading(MonoTime aNow);
  void Renew();
  /// Tells the sidecars of the authority if it now lasts longer.
  void AnnounceAuthority(MonoTime aNow);
  void Write(std::vector<KeyedRecord> aRecords, std::function<void()> aDone);
  void AdvanceJob(const std::string& aJob, MonoTime aNow);
  void StartInstances(const std::string& aJob,
                      const JobReplica::StoredJob& aEntry,
                      bool aFromEarlierLeader,
                      MonoTime aNow);
  /// Jobs that have been accepted and have not ended.
  std::vector<std::string> ActiveJobs() const;
  void AdvanceActiveJobs(MonoTime aNow);
  void Close(const std::string& aJob, JobState aState);
  void SaveStartedJobs(MonoTime aNow);
  /// True if the ends of this instance may still matter to a leader.
  bool NeedsEnds(const JobInstance& aInstance) const;
  void AcknowledgeKeptEnds();
  void CheckTakeover(MonoTime aNow);
  void RemoveLostSidecars(MonoTime aNow);
  /// Registers sidecars again that were removed and have come back.
  void RestoreSidecars();
  void UpdateRegisteredSidecars();

  asio::io_context& loop_;
  platform::StoreClient& store_;
  JobScheduler& scheduler_;
  const MemberId self_;
  const std::string name_;
  const StoredJobsHooks hooks_;
  JobReplica replica_;
  Leadership leadership_;
  std::unique_ptr<platform::BatchWriter> writer_;
  std::unique_ptr<platform::BatchWriter> claimWriter_;
  std::unique_ptr<platform::BatchWriter> leaderWriter_;
  std::unique_ptr<platform::TopicReader> reader_;
  bool leading_ = false;
  bool takingOver_ = false;
  uint64_t renewal_ = 0;
  uint64_t nextSequence_ = 0;
  /// Sidecars that have reported their runs for this term, by name.
  std::map<std::string, MemberId> takenOverSidecars_;
  std::map<std::string, MonoTime> lostSince_;
  /// Sidecars whose removal is being written. No run is placed there.
  std::set<std::string> removedSidecars_;
  /// Sidecars whose registration is being written by this process.
  std::set<std::string> restoredSidecars_;
  DecidedJobs decided_;
  /// End of the authority that the sidecars know of.
  MonoTime announcedAuthority_;
  MonoTime claimedAt_;
  MonoTime checkedAt_;
};

} // namespace cornelfront
