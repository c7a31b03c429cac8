#include "cornelfront/job_replica.h"

#include "controllers/record_value_pvt.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelfront {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {
  "queued", "running", "completed", "failed", "cancelled",
};

// Prefixes of keys. The id of a job, or the name of a sidecar, follows;
// "leader" is a complete key.
constexpr std::string_view kAccepted = "a/";
constexpr std::string_view kCancelled = "c/";
constexpr std::string_view kProgress = "s/";
constexpr std::string_view kFinal = "t/";
constexpr std::string_view kSidecar = "w/";
constexpr std::string_view kLeader = "leader";
constexpr size_t kKindBytes = 2;

std::string
MakeKey(std::string_view aKind, std::string_view aRest)
{
  return std::string(aKind) + std::string(aRest);
}

std::string
ProgressKey(const JobInstance& aInstance)
{
  return MakeKey(kProgress,
                 aInstance.job_ + '/' + std::to_string(aInstance.occurrence_));
}

/// Parses "<job>/<occurrence>".
std::optional<JobInstance>
ParseInstance(std::string_view aText)
{
  const size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  JobInstance instance{ std::string(aText.substr(0, slash)) };
  const std::string_view number = aText.substr(slash + 1);
  const auto result = std::from_chars(
    number.data(), number.data() + number.size(), instance.occurrence_);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  return instance;
}

} // namespace

std::string_view
ToString(JobState aState)
{
  return kStateNames.at(static_cast<size_t>(aState));
}

KeyedRecord
AcceptanceRecord(const AcceptedJob& aJob)
{
  return { MakeKey(kAccepted, aJob.job_.id_), EncodeValue(aJob) };
}

KeyedRecord
CancellationRecord(const std::string& aJob)
{
  return { MakeKey(kCancelled, aJob), "1" };
}

KeyedRecord
ProgressRecord(const JobInstance& aInstance, const InstanceRecord& aRecord)
{
  return { ProgressKey(aInstance), EncodeValue(aRecord) };
}

KeyedRecord
FinalRecord(const std::string& aJob, JobState aState)
{
  return { MakeKey(kFinal, aJob), std::string(ToString(aState)) };
}

KeyedRecord
MakeLeaderRecord(const LeaderRecord& aLeader)
{
  return { std::string(kLeader), EncodeValue(aLeader) };
}

KeyedRecord
SidecarRecord(const std::string& aName, MemberId aId)
{
  return { MakeKey(kSidecar, aName), ToString(aId) };
}

bool
IsWrittenByLeader(const KeyedRecord& aRecord)
{
  return aRecord.key_ == kLeader || aRecord.key_.starts_with(kProgress) ||
         aRecord.key_.starts_with(kFinal);
}

bool
IsSidecarRecord(const KeyedRecord& aRecord)
{
  return aRecord.key_.starts_with(kSidecar);
}

std::string
JobReplica::Apply(const KeyedRecord& aRecord, MonoTime aNow)
{
  const std::string_view key = aRecord.key_;
  try {
    if (key == kLeader) {
      const auto leader = DecodeValue<LeaderRecord>(aRecord.value_);
      if (leader.term_ >= leader_.term_) {
        leader_ = leader;
      }
      return "";
    }
    if (key.size() <= kKindBytes) {
      throw DecodeError("key is too short");
    }
    const std::string_view kind = key.substr(0, kKindBytes);
    const std::string_view rest = key.substr(kKindBytes);
    if (kind == kSidecar) {
      const auto id = ParseMemberId(aRecord.value_);
      if (id) {
        sidecars_[std::string(rest)] = *id;
      } else {
        sidecars_.erase(std::string(rest));
      }
      return "";
    }
    ApplyToJob(kind, rest, aRecord.value_, aNow);
    return std::string(rest.substr(0, rest.find('/')));
  } catch (const std::exception& error) {
    LOG(ERROR) << "job record key=" << key << " outcome=ignored reason=\""
               << error.what() << "\"";
    return "";
  }
}

void
JobReplica::ApplyToJob(std::string_view aKind,
                       std::string_view aRest,
                       const std::string& aValue,
                       MonoTime aNow)
{
  const auto instance = ParseInstance(aRest);
  const std::string id =
    aKind == kProgress && instance ? instance->job_ : std::string(aRest);
  if (!IsJobId(id)) {
    throw DecodeError("key contains no valid job id");
  }
  StoredJob& entry = jobs_[id];
  if (aKind == kAccepted) {
    if (aValue.empty()) {
      entry.accepted_.reset();
    } else if (!entry.accepted_) {
      entry.accepted_ = DecodeValue<AcceptedJob>(aValue);
      entry.acceptedTerm_ = leader_.term_;
    }
  } else if (aKind == kCancelled) {
    entry.cancelled_ = !aValue.empty();
    entry.closedAt_ = aNow;
  } else if (aKind == kProgress && aValue.empty()) {
    entry.instances_.erase(instance.value().occurrence_);
  } else if (aKind == kProgress) {
    entry.instances_[instance.value().occurrence_] =
      DecodeValue<InstanceRecord>(aValue);
  } else if (aKind == kFinal && aValue.empty()) {
    entry.finalState_.reset();
  } else if (aKind == kFinal) {
    const auto name = std::find(kStateNames.begin(), kStateNames.end(), aValue);
    if (name == kStateNames.end()) {
      throw DecodeError("unknown job state");
    }
    entry.finalState_ = static_cast<JobState>(name - kStateNames.begin());
    entry.closedAt_ = aNow;
  } else {
    throw DecodeError("unknown key prefix");
  }
  const bool empty = !entry.accepted_ && !entry.cancelled_ &&
                     entry.instances_.empty() && !entry.finalState_;
  if (empty) {
    jobs_.erase(id);
  }
}

void
JobReplica::UpdateQueue(const std::string& aJob, const FindQueue& aFindQueue)
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end() || !found->second.IsActive()) {
    return;
  }
  AcceptedJob& accepted = *found->second.accepted_;
  const auto configured = aFindQueue(accepted.queue_);
  if (configured && configured->version_ >= accepted.configured_.version_) {
    accepted.configured_ = *configured;
  }
}

std::optional<JobState>
JobReplica::State(const std::string& aJob) const
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  const StoredJob& entry = found->second;
  if (entry.finalState_) {
    return entry.finalState_;
  }
  if (!entry.accepted_) {
    return std::nullopt;
  }
  if (entry.cancelled_) {
    return JobState::Cancelled;
  }
  return entry.instances_.empty() ? JobState::Queued : JobState::Running;
}

size_t
JobReplica::Pending(const std::string& aQueue) const
{
  return static_cast<size_t>(
    std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& aJob) {
      const StoredJob& entry = aJob.second;
      return entry.IsActive() && entry.instances_.empty() &&
             entry.accepted_->queue_ == aQueue;
    }));
}

std::vector<KeyedRecord>
JobReplica::ClosingRecords(const std::string& aJob, JobState aState) const
{
  std::vector<KeyedRecord> records{ FinalRecord(aJob, aState) };
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return records;
  }
  if (found->second.accepted_) {
    records.push_back({ MakeKey(kAccepted, aJob), "" });
  }
  if (found->second.cancelled_) {
    records.push_back({ MakeKey(kCancelled, aJob), "" });
  }
  for (const auto& [occurrence, record] : found->second.instances_) {
    records.push_back({ ProgressKey({ aJob, occurrence }), "" });
  }
  return records;
}

std::vector<KeyedRecord>
JobReplica::ExpiredRecords(MonoTime aBefore) const
{
  std::vector<KeyedRecord> records;
  for (const auto& [id, entry] : jobs_) {
    const bool closed = entry.finalState_ || !entry.accepted_;
    if (!closed || entry.closedAt_ >= aBefore) {
      continue;
    }
    for (KeyedRecord& record : ClosingRecords(id, JobState::Cancelled)) {
      record.value_.clear();
      records.push_back(std::move(record));
    }
  }
  return records;
}

} // namespace cornelfront
