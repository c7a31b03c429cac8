#include "controllers/config_controller.h"

#include <algorithm>

namespace cornelfront {

namespace {

/// Log age reported by an entry that has never read the log's head.
constexpr Millis kMaxLogAge = std::chrono::hours(24);
constexpr uint64_t kMaxPageRecords = 1000;

} // namespace

ConfigController::ConfigController(ConfigControllerOptions aOptions,
                                   EventLog& aEvents,
                                   OnChange aOnChange)
  : options_(std::move(aOptions))
  , events_(aEvents)
  , onChange_(std::move(aOnChange))
  , log_(options_.log_)
  , witness_(options_.zone_)
  , readTimeout_(options_.readTimeout_)
  , lastSnapshotTime_(MonoClock::now())
  , lastAppendTime_(lastSnapshotTime_)
  , random_(options_.seed_)
  , thread_([this] { TailLoop(); })
{
}

ConfigController::~ConfigController()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

ConfigStatePtr
ConfigController::State() const
{
  std::lock_guard lock(mutex_);
  return state_;
}

ConfigEvidence
ConfigController::Evidence(MonoTime aNow) const
{
  std::lock_guard lock(mutex_);
  Millis age = kMaxLogAge;
  if (lastHeadReadStart_) {
    age = std::min(age, std::chrono::ceil<Millis>(aNow - *lastHeadReadStart_));
  }
  return { .version_ = state_->version_,
           .logReachable_ = logReachable_ && age <= options_.maxHeadReadAge_,
           .witness_ = witness_.IsWitness(),
           .logAge_ = age };
}

void
ConfigController::Offer(const ConfigState& aState)
{
  ConfigStatePtr changed;
  {
    Lock lock(mutex_);
    if (!reader_.Offer(aState)) {
      return;
    }
    changed = PublishLocked(lock);
  }
  NotifyChange(changed);
}

void
ConfigController::OnPeerEvidence(const EntryAddress& aPeer,
                                 const ConfigEvidence& aEvidence)
{
  std::lock_guard lock(mutex_);
  witness_.OnPeer({ .entry_ = aPeer.id_, .zone_ = aPeer.zone_ },
                  aEvidence.version_,
                  aEvidence.witness_);
}

void
ConfigController::OnPeerDisconnected(MemberId aPeer)
{
  std::lock_guard lock(mutex_);
  witness_.OnPeerDisconnected(aPeer);
}

void
ConfigController::ReadNow()
{
  std::lock_guard lock(mutex_);
  readRequested_ = true;
  wake_.notify_all();
}

void
ConfigController::TailLoop()
{
  while (true) {
    const bool readSucceeded = ReadOnce();
    if (readSucceeded) {
      AppendSnapshotIfDue(MonoClock::now());
    }
    Lock lock(mutex_);
    // Without the pause, the loop would spin on a gap that no snapshot covers.
    const bool pause = !readSucceeded || reader_.HasGap();
    wake_.wait_for(lock, pause ? options_.retryPause_ : Millis(0), [this] {
      return stopping_ || readRequested_;
    });
    readRequested_ = false;
    if (stopping_) {
      return;
    }
  }
}

bool
ConfigController::ReadOnce()
{
  uint64_t from = 0;
  {
    std::lock_guard lock(mutex_);
    from = reader_.NextRead();
  }
  const MonoTime startTime = MonoClock::now();
  try {
    const LogPage page = log_.Read({ .from_ = from,
                                     .maxRecords_ = kMaxPageRecords,
                                     .wait_ = options_.pollWait_,
                                     .timeout_ = readTimeout_ });
    OnPage(page, startTime, MonoClock::now());
    return true;
  } catch (const LogUnavailable& error) {
    OnReadFailed(error);
    return false;
  }
}

void
ConfigController::OnReadFailed(const LogUnavailable& aError)
{
  readTimeout_ = std::min(readTimeout_ * 2, options_.maxReadTimeout_);
  {
    std::lock_guard lock(mutex_);
    if (!logReachable_) {
      return;
    }
    logReachable_ = false;
  }
  events_.Record(
    EventId::LogDown, { { "detail", aError.what() } }, WallClock::now());
}

void
ConfigController::OnPage(const LogPage& aPage,
                         MonoTime aStartTime,
                         MonoTime aNow)
{
  // Twice the time of this read, so that a slow log keeps its longer timeout.
  const auto elapsed = std::chrono::ceil<Millis>(aNow - aStartTime);
  readTimeout_ =
    std::clamp(elapsed * 2, options_.readTimeout_, options_.maxReadTimeout_);
  std::vector<FoldedRecord> folded;
  ConfigStatePtr changed;
  bool becameReachable = false;
  {
    Lock lock(mutex_);
    folded = reader_.OnPage(aPage);
    becameReachable = !logReachable_;
    logReachable_ = true;
    changed = PublishLocked(lock);
    if (reader_.AtHead()) {
      lastHeadReadStart_ = aStartTime;
      witness_.OnHeadRead();
    }
  }
  if (becameReachable) {
    events_.Record(EventId::LogUp,
                   { { "next", std::to_string(aPage.next_) } },
                   WallClock::now());
  }
  RecordFolded(folded);
  NotifyChange(changed);
}

ConfigStatePtr
ConfigController::PublishLocked(const Lock&)
{
  const ConfigState& state = reader_.State();
  if (state.nextOffset_ <= state_->nextOffset_) {
    return nullptr;
  }
  const bool newer = state.version_ > state_->version_;
  state_ = std::make_shared<const ConfigState>(state);
  witness_.OnConfig(state);
  return newer ? state_ : nullptr;
}

void
ConfigController::RecordFolded(const std::vector<FoldedRecord>& aFolded)
{
  for (const FoldedRecord& record : aFolded) {
    const EventFields fields{ { "offset", std::to_string(record.offset_) } };
    switch (record.result_) {
      case FoldResult::Conflict:
        events_.Record(EventId::ConfigConflict, fields, WallClock::now());
        break;
      case FoldResult::Invalid:
        events_.Record(EventId::ConfigInvalid, fields, WallClock::now());
        break;
      case FoldResult::SnapshotIgnored:
      case FoldResult::SnapshotLoaded:
        lastSnapshotTime_ = MonoClock::now();
        break;
      case FoldResult::Applied:
        break;
    }
  }
}

void
ConfigController::NotifyChange(const ConfigStatePtr& aState)
{
  if (!aState) {
    return;
  }
  events_.Record(EventId::ConfigApplied,
                 { { "version", std::to_string(aState->version_.value_) } },
                 WallClock::now());
  onChange_(aState);
}

void
ConfigController::AppendSnapshotIfDue(MonoTime aNow)
{
  const auto record = TakeDueSnapshot(aNow);
  if (!record) {
    return;
  }
  lastAppendTime_ = aNow;
  try {
    log_.Append(*record, options_.appendTimeout_);
  } catch (const LogUnavailable&) {
    // The snapshot stays due. The next reads show whether the log is down.
    return;
  }
}

std::optional<std::string>
ConfigController::TakeDueSnapshot(MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  const auto elapsed = std::chrono::floor<Millis>(aNow - lastSnapshotTime_);
  const bool due = IsSnapshotDue(reader_, elapsed, options_.snapshots_) &&
                   aNow - lastAppendTime_ >= options_.snapshots_.minInterval_;
  if (!due) {
    snapshotDueTime_.reset();
    return std::nullopt;
  }
  if (!snapshotDueTime_) {
    std::uniform_int_distribution<Millis::rep> jitter(
      0, options_.snapshots_.maxJitter_.count());
    snapshotDueTime_ = aNow + Millis(jitter(random_));
  }
  if (aNow < *snapshotDueTime_) {
    return std::nullopt;
  }
  snapshotDueTime_.reset();
  return EncodeConfigRecord(ConfigSnapshot{ .state_ = reader_.State() });
}

} // namespace cornelfront
