#include "controllers/config_controller.h"

namespace cornelfront {

namespace {

constexpr Millis kPollWait{ 250 };
constexpr Millis kRetryPause{ 200 };

} // namespace

ConfigController::ConfigController(ConfigControllerOptions aOptions,
                                   EventLog& aEvents,
                                   OnChange aOnChange)
  : options_(std::move(aOptions))
  , events_(aEvents)
  , onChange_(std::move(aOnChange))
  , log_(options_.log_)
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
  return { .version_ = state_->version_,
           .logReachable_ = logReachable_,
           .witness_ = witness_,
           .logAge_ = std::chrono::ceil<Millis>(aNow - lastRead_) };
}

void
ConfigController::Offer(const ConfigState& aState)
{
  ConfigStatePtr state;
  {
    std::lock_guard lock(mutex_);
    if (aState.version_ <= state_->version_) {
      return;
    }
    state_ = std::make_shared<const ConfigState>(aState);
    state = state_;
  }
  onChange_(state);
}

void
ConfigController::OnPeerEvidence(const EntryAddress&, const ConfigEvidence&)
{
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
    Millis pause{ 0 };
    try {
      ReadOnce();
    } catch (const LogUnavailable& error) {
      pause = kRetryPause;
      std::lock_guard lock(mutex_);
      if (logReachable_) {
        events_.Record(
          EventId::LogDown, { { "detail", error.what() } }, WallClock::now());
      }
      logReachable_ = false;
    }
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, pause, [this] { return stopping_ || poked_; });
    poked_ = false;
    if (stopping_) {
      return;
    }
  }
}

void
ConfigController::ReadOnce()
{
  const ConfigStatePtr before = State();
  const MonoTime begin = MonoClock::now();
  const LogPage page =
    log_.Read({ .from_ = before->nextOffset_, .wait_ = kPollWait });
  ConfigState state = *before;
  for (const LogRecord& record : page.records_) {
    FoldConfigRecord(state, record.offset_, record.body_);
  }
  ConfigStatePtr changed;
  {
    std::lock_guard lock(mutex_);
    logReachable_ = true;
    const bool atHead = state.nextOffset_ >= page.next_;
    if (atHead) {
      lastRead_ = begin;
      witness_ = true;
    }
    if (state.nextOffset_ > state_->nextOffset_) {
      const bool newer = state.version_ > state_->version_;
      state_ = std::make_shared<const ConfigState>(std::move(state));
      changed = newer ? state_ : nullptr;
    }
  }
  if (changed) {
    events_.Record(EventId::ConfigApplied,
                   { { "version", std::to_string(changed->version_.value_) } },
                   WallClock::now());
    onChange_(changed);
  }
}

} // namespace cornelfront
