#include "controllers/config_controller.h"

#include <algorithm>

namespace cornelfront {

namespace {

/// Log age reported by an entry that has never read the log's head.
constexpr Millis kNeverRead = std::chrono::hours(24);
constexpr uint64_t kPageRecords = 1000;

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
  , snapshotSeenAt_(MonoClock::now())
  , lastAppendAt_(snapshotSeenAt_)
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
  Millis age = kNeverRead;
  if (headReadAt_) {
    age = std::min(age, std::chrono::ceil<Millis>(aNow - *headReadAt_));
  }
  return { .version_ = state_->version_,
           .logReachable_ = logReachable_ && age <= options_.reachableAge_,
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
  Announce(changed);
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
ConfigController::Poke()
{
  std::lock_guard lock(mutex_);
  poked_ = true;
  wake_.notify_all();
}

void
ConfigController::TailLoop()
{
  while (true) {
    const bool readable = ReadOnce();
    if (readable) {
      MaybeAppendSnapshot(MonoClock::now());
    }
    Lock lock(mutex_);
    // Without the pause, the loop would spin on a gap that no snapshot covers.
    const bool pause = !readable || reader_.HasGap();
    wake_.wait_for(lock, pause ? options_.retryPause_ : Millis(0), [this] {
      return stopping_ || poked_;
    });
    poked_ = false;
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
  const MonoTime begun = MonoClock::now();
  try {
    const LogPage page = log_.Read({ .from_ = from,
                                     .maxRecords_ = kPageRecords,
                                     .wait_ = options_.pollWait_,
                                     .timeout_ = readTimeout_ });
    OnPage(page, begun, MonoClock::now());
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
ConfigController::OnPage(const LogPage& aPage, MonoTime aBegun, MonoTime aNow)
{
  // Twice the time of this read, so that a slow log keeps its longer timeout.
  const auto taken = std::chrono::ceil<Millis>(aNow - aBegun);
  readTimeout_ =
    std::clamp(taken * 2, options_.readTimeout_, options_.maxReadTimeout_);
  std::vector<FoldedRecord> folded;
  ConfigStatePtr changed;
  bool cameUp = false;
  {
    Lock lock(mutex_);
    folded = reader_.OnPage(aPage);
    cameUp = !logReachable_;
    logReachable_ = true;
    changed = PublishLocked(lock);
    if (reader_.AtHead()) {
      headReadAt_ = aBegun;
      witness_.OnHeadRead();
    }
  }
  if (cameUp) {
    events_.Record(EventId::LogUp,
                   { { "next", std::to_string(aPage.next_) } },
                   WallClock::now());
  }
  RecordFolded(folded);
  Announce(changed);
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
        snapshotSeenAt_ = MonoClock::now();
        break;
      case FoldResult::Applied:
        break;
    }
  }
}

void
ConfigController::Announce(const ConfigStatePtr& aState)
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
ConfigController::MaybeAppendSnapshot(MonoTime aNow)
{
  const auto record = TakeDueSnapshot(aNow);
  if (!record) {
    return;
  }
  lastAppendAt_ = aNow;
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
  const auto since = std::chrono::floor<Millis>(aNow - snapshotSeenAt_);
  const bool due = IsSnapshotDue(reader_, since, options_.snapshots_) &&
                   aNow - lastAppendAt_ >= options_.snapshots_.minInterval_;
  if (!due) {
    snapshotDueAt_.reset();
    return std::nullopt;
  }
  if (!snapshotDueAt_) {
    std::uniform_int_distribution<Millis::rep> jitter(
      0, options_.snapshots_.maxJitter_.count());
    snapshotDueAt_ = aNow + Millis(jitter(random_));
  }
  if (aNow < *snapshotDueAt_) {
    return std::nullopt;
  }
  snapshotDueAt_.reset();
  return EncodeConfigRecord(ConfigSnapshot{ .state_ = reader_.State() });
}

} // namespace cornelfront
