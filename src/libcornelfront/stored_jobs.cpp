#include "stored_jobs.h"

#include "platform/member_topic.h"

#include <glog/logging.h>

#include <limits>
#include <random>

namespace cornelfront {
namespace {

constexpr Millis kReadTimeout{ 700 };
/// Maximum age of the newest read at which a missing job counts as unknown.
constexpr Millis kMaxReadAge{ 1800 };
/// Time for which ended jobs are retained; at least as long as clients may
/// query them.
constexpr Millis kEndedJobRetention{ 150000 };
/// Interval of checks that iterate over all jobs.
constexpr Millis kCheckInterval{ 200 };
/// Delay before another claim; within it, a claim appears in the records that
/// are read.
constexpr Millis kClaimInterval{ 2000 };
constexpr Millis kSidecarRemovalDelay{ 60000 };
/// Sidecars are told of a longer authority in steps of this, not with each
/// append.
constexpr Millis kAuthorityStep{ 500 };
constexpr std::string_view kLeaderProducer = "leader";
/// Range of the random first sequence number of a claim, so that two claims of
/// the same epoch are not taken for a repeat.
constexpr uint64_t kSequenceSpread = 1ULL << 40U;

uint64_t
RandomSequence()
{
  std::random_device device;
  return ((static_cast<uint64_t>(device()) << 32U) | device()) %
         kSequenceSpread;
}

/// Returns the queue by which an accepted job is run. If no configuration is
/// known that has it, nothing of the job starts: no upstream has this service.
JobQueue
QueueOf(const AcceptedJob& aJob)
{
  if (aJob.configured_.version_ > 0) {
    return aJob.configured_.queue_;
  }
  return { .name_ = aJob.queue_,
           .attempts_ = std::numeric_limits<uint32_t>::max() };
}

Millis
WallNow()
{
  return std::chrono::duration_cast<Millis>(
    WallClock::now().time_since_epoch());
}

} // namespace

StoredJobs::StoredJobs(asio::io_context& aLoop,
                       platform::StoreClient& aStore,
                       JobScheduler& aScheduler,
                       MemberId aSelf,
                       std::string aName,
                       StoredJobsHooks aHooks)
  : loop_(aLoop)
  , store_(aStore)
  , scheduler_(aScheduler)
  , self_(aSelf)
  , name_(std::move(aName))
  , hooks_(std::move(aHooks))
  , leadership_(aSelf, {}, BootNow())
{
  writer_ = std::make_unique<platform::BatchWriter>(
    loop_,
    store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kJobTopic),
                                  .producer_ = "entry-" + ToString(self_) });
  reader_ = std::make_unique<platform::TopicReader>(
    loop_,
    store_,
    platform::TopicReader::Options{
      .topic_ = std::string(platform::kJobTopic),
      .wait_ = kReadTimeout,
      .onRecords_ = [this](const std::vector<KeyedRecord>& aRecords) {
        OnRecords(aRecords);
      } });
}

void
StoredJobs::Accept(const JobDescription& aJob,
                   const ConfiguredQueue& aQueue,
                   Done aDone)
{
  if (replica_.State(aJob.id_)) {
    aDone(platform::StoreOutcome::Ok);
    return;
  }
  const KeyedRecord record = AcceptanceRecord({ .job_ = aJob,
                                                .queue_ = aQueue.queue_.name_,
                                                .acceptedAt_ = WallNow(),
                                                .configured_ = aQueue });
  writer_->Write({ record },
                 [this, record, id = aJob.id_, done = std::move(aDone)](
                   platform::StoreOutcome aOutcome, MonoTime) {
                   if (aOutcome == platform::StoreOutcome::Ok) {
                     ShowAcceptance(record, id);
                   }
                   done(aOutcome);
                 });
}

void
StoredJobs::ShowAcceptance(const KeyedRecord& aRecord, const std::string& aJob)
{
  // If the replica shows the job, it has read this record or a later one, such
  // as the job's final state, which is in the place of the acceptance.
  if (!replica_.State(aJob)) {
    replica_.Apply(aRecord, BootNow());
    replica_.UpdateQueue(aJob, hooks_.findQueue_);
  }
}

void
StoredJobs::Cancel(const std::string& aJob, Done aDone)
{
  writer_->Write({ CancellationRecord(aJob) },
                 [done = std::move(aDone)](platform::StoreOutcome aOutcome,
                                           MonoTime) { done(aOutcome); });
}

std::optional<JobState>
StoredJobs::State(const std::string& aJob) const
{
  const auto state = replica_.State(aJob);
  if (state == JobState::Queued && scheduler_.HasStarted({ aJob })) {
    return JobState::Running;
  }
  return state;
}

size_t
StoredJobs::Pending(const std::string& aQueue) const
{
  return replica_.Pending(aQueue);
}

bool
StoredJobs::IsFresh(MonoTime aNow) const
{
  return reader_->Complete() && aNow - reader_->LastReadStart() < kMaxReadAge;
}

uint64_t
StoredJobs::Term() const
{
  return leading_ ? leadership_.Term() : 0;
}

Millis
StoredJobs::AuthorityLeft(MonoTime aNow) const
{
  const auto left =
    std::chrono::duration_cast<Millis>(leadership_.AuthorityUntil() - aNow);
  return std::max(left, Millis(0));
}

void
StoredJobs::OnRecords(const std::vector<KeyedRecord>& aRecords)
{
  const MonoTime now = BootNow();
  std::set<std::string> changed;
  bool sidecarsChanged = false;
  for (const KeyedRecord& record : aRecords) {
    sidecarsChanged |= IsSidecarRecord(record);
    const LeaderRecord before = replica_.Leader();
    changed.insert(replica_.Apply(record, now));
    const LeaderRecord& leader = replica_.Leader();
    if (leader.term_ != before.term_) {
      leadership_.OnLeader(leader.term_, leader.id_, now);
    } else if (IsWrittenByLeader(record)) {
      leadership_.OnLeaderActive(now);
    }
  }
  for (const std::string& job : changed) {
    replica_.UpdateQueue(job, hooks_.findQueue_);
  }
  if (leading_ && !leadership_.IsLeader()) {
    StopLeading(now);
  } else if (!leading_ && leadership_.IsLeader()) {
    StartLeading(now);
  } else if (leading_) {
    if (sidecarsChanged) {
      UpdateRegisteredSidecars();
    }
    for (const std::string& job : changed) {
      AdvanceJob(job, now);
    }
    AcknowledgeKeptEnds();
    hooks_.onActions_();
  }
}

void
StoredJobs::Claim(MonoTime aNow)
{
  const uint64_t term = leadership_.Term() + 1;
  const uint64_t sequence = RandomSequence();
  nextSequence_ = sequence + 1;
  LOG(INFO) << "leadership term=" << term << " outcome=claiming";
  claimWriter_ = std::make_unique<platform::BatchWriter>(
    loop_,
    store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kJobTopic),
                                  .producer_ = std::string(kLeaderProducer),
                                  .epoch_ = term,
                                  .firstSequence_ = sequence,
                                  .retryUntilApplied_ = true });
  leadership_.OnClaim(term, aNow);
  claimWriter_->Write(
    { MakeLeaderRecord({ .term_ = term, .id_ = self_, .name_ = name_ }) },
    [this, term](platform::StoreOutcome aOutcome, MonoTime) {
      LOG(INFO) << "leadership term=" << term << " outcome="
                << (aOutcome == platform::StoreOutcome::Ok ? "claimed"
                                                           : "lost");
      asio::post(loop_, [this] { claimWriter_.reset(); });
    });
  claimedAt_ = aNow;
}

void
StoredJobs::StartLeading(MonoTime aNow)
{
  leading_ = true;
  takingOver_ = true;
  takenOverSidecars_.clear();
  decided_.Clear();
  lostSince_.clear();
  removedSidecars_.clear();
  restoredSidecars_.clear();
  const uint64_t term = leadership_.Term();
  LOG(INFO) << "leadership term=" << term
            << " outcome=leading jobs=" << replica_.Jobs().size();
  leaderWriter_ = std::make_unique<platform::BatchWriter>(
    loop_,
    store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kJobTopic),
                                  .producer_ = std::string(kLeaderProducer),
                                  .epoch_ = term,
                                  .firstSequence_ = nextSequence_,
                                  .retryUntilApplied_ = true });
  scheduler_.BecomeLeader(term, aNow);
  scheduler_.SetAuthority(leadership_.AuthorityUntil(), aNow);
  UpdateRegisteredSidecars();
  std::vector<std::string> jobs;
  for (const auto& [id, entry] : replica_.Jobs()) {
    jobs.push_back(id);
  }
  for (const std::string& id : jobs) {
    AdvanceJob(id, aNow);
  }
  announcedAuthority_ = leadership_.AuthorityUntil();
  hooks_.onBecomeLeader_({ term, AuthorityLeft(aNow) });
  hooks_.onActions_();
}

void
StoredJobs::StopLeading(MonoTime aNow)
{
  LOG(WARNING) << "leadership outcome=ended newest_term=" << leadership_.Term();
  leading_ = false;
  scheduler_.BecomeFollower(aNow);
  asio::post(loop_,
             [writer = std::shared_ptr<platform::BatchWriter>(
                std::move(leaderWriter_))] {});
  hooks_.onActions_();
}

void
StoredJobs::Renew()
{
  Write({ MakeLeaderRecord({ .term_ = leadership_.Term(),
                             .id_ = self_,
                             .name_ = name_,
                             .renewal_ = ++renewal_ }) },
        [] {});
}

void
StoredJobs::AnnounceAuthority(MonoTime aNow)
{
  const MonoTime until = leadership_.AuthorityUntil();
  if (until - announcedAuthority_ >= kAuthorityStep) {
    announcedAuthority_ = until;
    hooks_.onAuthority_({ leadership_.Term(), AuthorityLeft(aNow) });
  }
}

void
StoredJobs::Write(std::vector<KeyedRecord> aRecords,
                  std::function<void()> aDone)
{
  if (!leaderWriter_) {
    return;
  }
  const bool signOfLife =
    std::any_of(aRecords.begin(), aRecords.end(), IsWrittenByLeader);
  leaderWriter_->Write(
    std::move(aRecords),
    [this, signOfLife, done = std::move(aDone)](platform::StoreOutcome aOutcome,
                                                MonoTime aStartTime) {
      if (aOutcome == platform::StoreOutcome::Ok) {
        if (signOfLife) {
          leadership_.OnConfirmed(aStartTime);
          scheduler_.SetAuthority(leadership_.AuthorityUntil(), BootNow());
        }
        done();
        return;
      }
      leadership_.OnFenced();
      if (leading_) {
        StopLeading(BootNow());
      }
    });
}

void
StoredJobs::AdvanceJob(const std::string& aJob, MonoTime aNow)
{
  const auto found = replica_.Jobs().find(aJob);
  if (found == replica_.Jobs().end()) {
    decided_.OnShown(aJob, nullptr);
    return;
  }
  const JobReplica::StoredJob& entry = found->second;
  decided_.OnShown(aJob, &entry);
  if (entry.finalState_) {
    if (entry.accepted_) {
      // The job was submitted again after its end.
      Write({ { AcceptanceRecord(*entry.accepted_).key_, "" } }, [] {});
    }
    return;
  }
  if (!entry.accepted_ || decided_.IsClosed(aJob)) {
    return;
  }
  if (entry.cancelled_) {
    scheduler_.Cancel(aJob, aNow);
    Close(aJob, JobState::Cancelled);
    return;
  }
  StartInstances(aJob, entry, entry.acceptedTerm_ < leadership_.Term(), aNow);
}

void
StoredJobs::StartInstances(const std::string& aJob,
                           const JobReplica::StoredJob& aEntry,
                           bool aFromEarlierLeader,
                           MonoTime aNow)
{
  const JobQueue queue = QueueOf(*aEntry.accepted_);
  const JobDescription& job = aEntry.accepted_->job_;
  const uint32_t instances = std::max(job.repeats_, 1U);
  const Millis wall = WallNow();
  uint32_t completed = 0;
  for (uint32_t k = 0; k < instances; ++k) {
    const auto record = aEntry.instances_.find(k);
    if (record != aEntry.instances_.end() && record->second.completed_) {
      ++completed;
      continue;
    }
    if (job.repeats_ > 0 && wall < job.firstDue_ + k * job.interval_) {
      break;
    }
    if (scheduler_.HoldsInstance({ aJob, k })) {
      scheduler_.SetQueue({ aJob, k }, queue, aNow);
    } else if (!decided_.HasEnded({ aJob, k })) {
      scheduler_.Restore(
        job,
        k,
        queue,
        record == aEntry.instances_.end() ? JobProgress{}
                                          : record->second.progress_,
        wall - (job.repeats_ > 0 ? job.firstDue_ + k * job.interval_
                                 : aEntry.accepted_->acceptedAt_),
        aFromEarlierLeader,
        aNow);
    }
  }
  if (completed == instances) {
    Close(aJob, JobState::Completed);
  }
}

void
StoredJobs::Close(const std::string& aJob, JobState aState)
{
  decided_.Close(aJob);
  LOG(INFO) << "job=" << aJob << " outcome=" << ToString(aState)
            << " term=" << leadership_.Term();
  Write(replica_.ClosingRecords(aJob, aState), [] {});
}

void
StoredJobs::Save(const SaveJob& aSave)
{
  const std::string& id = aSave.instance_.job_;
  const auto found = replica_.Jobs().find(id);
  const bool closed = found == replica_.Jobs().end() || decided_.IsClosed(id) ||
                      !found->second.accepted_;
  const auto saved = [this, ends = aSave.ends_] {
    scheduler_.OnSaved(ends);
    hooks_.onActions_();
  };
  if (closed) {
    scheduler_.KeepEnds(aSave.instance_, aSave.ends_);
    return;
  }
  const bool single = found->second.accepted_->job_.repeats_ <= 1;
  if (aSave.outcome_ == JobOutcome::Failed ||
      (aSave.outcome_ == JobOutcome::Completed && single)) {
    const JobState state = aSave.outcome_ == JobOutcome::Failed
                             ? JobState::Failed
                             : JobState::Completed;
    LOG(INFO) << "job=" << id << " outcome=" << ToString(state)
              << " term=" << leadership_.Term() << " reason=\"" << aSave.reason_
              << "\"";
    decided_.Close(id);
    Write(replica_.ClosingRecords(id, state), saved);
    // Cancels the other occurrences of the failed job.
    scheduler_.Cancel(id, BootNow());
    return;
  }
  const bool completed = aSave.outcome_ == JobOutcome::Completed;
  if (completed) {
    decided_.Complete(aSave.instance_);
  }
  Write({ ProgressRecord(
          aSave.instance_,
          { .progress_ = aSave.progress_, .completed_ = completed }) },
        saved);
}

void
StoredJobs::OnTakenOver(const std::string& aSidecar,
                        MemberId aId,
                        uint64_t aTerm)
{
  if (leading_ && aTerm == leadership_.Term()) {
    takenOverSidecars_[aSidecar] = aId;
    CheckTakeover(BootNow());
  }
}

void
StoredJobs::CheckTakeover(MonoTime aNow)
{
  if (!takingOver_) {
    return;
  }
  const auto& sidecars = replica_.Sidecars();
  const bool all =
    std::all_of(sidecars.begin(), sidecars.end(), [this](const auto& aSidecar) {
      const auto taken = takenOverSidecars_.find(aSidecar.first);
      return taken != takenOverSidecars_.end() &&
             taken->second == aSidecar.second;
    });
  if (all || leadership_.EarlierRunsEnded(aNow)) {
    LOG(INFO) << "leadership term=" << leadership_.Term()
              << " outcome=taken_over sidecars=" << takenOverSidecars_.size()
              << " complete=" << all;
    takingOver_ = false;
    scheduler_.SetTakingOver(false, aNow);
    hooks_.onActions_();
  }
}

bool
StoredJobs::NeedsEnds(const JobInstance& aInstance) const
{
  const auto found = replica_.Jobs().find(aInstance.job_);
  if (found == replica_.Jobs().end() || !found->second.IsActive()) {
    return false;
  }
  const auto& instances = found->second.instances_;
  const auto instance = instances.find(aInstance.occurrence_);
  return instance == instances.end() || !instance->second.completed_;
}

void
StoredJobs::AcknowledgeKeptEnds()
{
  for (const JobInstance& instance : scheduler_.InstancesOfKeptEnds()) {
    if (!NeedsEnds(instance)) {
      scheduler_.AcknowledgeKeptEnds(instance);
    }
  }
}

void
StoredJobs::SaveStartedJobs(MonoTime aNow)
{
  std::vector<KeyedRecord> records;
  for (const auto& [id, entry] : replica_.Jobs()) {
    const JobInstance instance{ id };
    if (entry.IsActive() && entry.instances_.empty() &&
        scheduler_.HasStarted(instance) && decided_.Start(instance)) {
      records.push_back(ProgressRecord(
        instance, { .progress_ = scheduler_.Progress(instance) }));
    }
  }
  if (!records.empty()) {
    Write(std::move(records), [] {});
  }
  auto expired = replica_.ExpiredRecords(aNow - kEndedJobRetention);
  if (!expired.empty()) {
    Write(std::move(expired), [] {});
  }
}

void
StoredJobs::RemoveLostSidecars(MonoTime aNow)
{
  for (const auto& [name, id] : replica_.Sidecars()) {
    const auto taken = takenOverSidecars_.find(name);
    const bool present =
      taken != takenOverSidecars_.end() && taken->second == id;
    if (present || scheduler_.HasOpenRuns(id)) {
      lostSince_.erase(name);
      continue;
    }
    const auto since = lostSince_.emplace(name, aNow).first->second;
    if (aNow - since >= kSidecarRemovalDelay) {
      lostSince_.erase(name);
      // No later leader will wait for it, so nothing may start there from now
      // on.
      removedSidecars_.insert(name);
      UpdateRegisteredSidecars();
      Write({ { SidecarRecord(name, id).key_, "" } }, [] {});
    }
  }
}

void
StoredJobs::RestoreSidecars()
{
  for (const auto& [name, id] : takenOverSidecars_) {
    if (!replica_.Sidecars().contains(name) &&
        restoredSidecars_.insert(name).second) {
      Write({ SidecarRecord(name, id) }, [] {});
    }
  }
}

void
StoredJobs::UpdateRegisteredSidecars()
{
  std::set<MemberId> registered;
  for (const auto& [name, id] : replica_.Sidecars()) {
    restoredSidecars_.erase(name);
    if (!removedSidecars_.contains(name)) {
      registered.insert(id);
    }
  }
  std::erase_if(removedSidecars_, [this](const std::string& aName) {
    return !replica_.Sidecars().contains(aName);
  });
  scheduler_.SetRegisteredSidecars(std::move(registered));
}

void
StoredJobs::AdvanceActiveJobs(MonoTime aNow)
{
  for (const std::string& id : ActiveJobs()) {
    AdvanceJob(id, aNow);
  }
}

std::vector<std::string>
StoredJobs::ActiveJobs() const
{
  std::vector<std::string> jobs;
  for (const auto& [id, entry] : replica_.Jobs()) {
    if (entry.IsActive()) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

void
StoredJobs::OnConfiguration(MonoTime aNow)
{
  for (const std::string& id : ActiveJobs()) {
    replica_.UpdateQueue(id, hooks_.findQueue_);
  }
  if (leading_) {
    AdvanceActiveJobs(aNow);
  }
}

void
StoredJobs::Tick(MonoTime aNow)
{
  leadership_.OnRead(reader_->LastReadStart());
  if (leadership_.ShouldClaim(aNow) && reader_->Complete() &&
      hooks_.isConfigured_() && !claimWriter_ &&
      aNow - claimedAt_ >= kClaimInterval) {
    Claim(aNow);
  }
  if (!leading_) {
    return;
  }
  if (leadership_.ShouldRenew(aNow) && leaderWriter_->Idle()) {
    Renew();
  }
  scheduler_.SetAuthority(leadership_.AuthorityUntil(), aNow);
  AnnounceAuthority(aNow);
  if (aNow - checkedAt_ < kCheckInterval) {
    return;
  }
  checkedAt_ = aNow;
  CheckTakeover(aNow);
  SaveStartedJobs(aNow);
  RemoveLostSidecars(aNow);
  RestoreSidecars();
  AcknowledgeKeptEnds();
  AdvanceActiveJobs(aNow);
}

} // namespace cornelfront
