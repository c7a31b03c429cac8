#include "controllers/dispatcher.h"

#include <algorithm>

namespace cornelfront {

namespace {

constexpr Millis kTickInterval{ 10 };

const std::string kZonePrefix = "zone/";

std::vector<std::string>
ZonesOut(const ConfigState& aState)
{
  std::vector<std::string> zones;
  for (const auto& [key, value] : aState.keys_) {
    if (key.starts_with(kZonePrefix)) {
      const std::string zone = key.substr(kZonePrefix.size());
      if (!aState.ZoneIsIn(zone)) {
        zones.push_back(zone);
      }
    }
  }
  return zones;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions aOptions, EventLog& aEvents)
  : options_(std::move(aOptions))
  , events_(aEvents)
  , ticker_(kTickInterval, [this] { Tick(); })
{
}

Dispatcher::~Dispatcher() = default;

Dispatcher::ShardPtr
Dispatcher::ShardOf(const std::string& aService)
{
  std::lock_guard lock(shardsMutex_);
  ShardPtr& shard = shards_[aService];
  if (!shard) {
    shard = std::make_shared<Shard>(ServiceDispatchOptions{
      .self_ = options_.self_,
      .serialPrefix_ = static_cast<uint16_t>(shards_.size()),
      .router_ = { .zone_ = options_.zone_, .seed_ = options_.self_.value_ },
      .resolveBound_ = options_.resolveBound_ });
    DispatchEffects none;
    for (const std::string& zone : zonesOut_) {
      shard->dispatch_.SetZoneEnabled(zone, false, MonoTime{}, none);
    }
    shard->dispatch_.SetPolicy(policy_);
  }
  return shard;
}

std::vector<Dispatcher::ShardPtr>
Dispatcher::Shards() const
{
  std::lock_guard lock(shardsMutex_);
  std::vector<ShardPtr> shards;
  for (const auto& [service, shard] : shards_) {
    shards.push_back(shard);
  }
  return shards;
}

template<class Operation>
void
Dispatcher::UpdateShard(const ShardPtr& aShard,
                        Operation&& aOperation,
                        MonoTime aNow)
{
  DispatchEffects effects;
  {
    std::lock_guard lock(aShard->mutex_);
    aOperation(aShard->dispatch_, effects);
  }
  ApplyEffects(aShard, std::move(effects), aNow);
}

void
Dispatcher::ApplyEffects(const ShardPtr& aShard,
                         DispatchEffects aEffects,
                         MonoTime aNow)
{
  while (!aEffects.Empty()) {
    const std::vector<TaskId> notSent = SendMessages(aEffects);
    for (DispatchEffects::Finish& finish : aEffects.finishes_) {
      finish.done_(std::move(finish.result_));
    }
    aEffects = {};
    if (!notSent.empty()) {
      std::lock_guard lock(aShard->mutex_);
      aShard->dispatch_.OnNotSent(notSent, aNow, aEffects);
    }
  }
}

/// Sends all messages. Returns the tasks whose start message could not be sent.
std::vector<TaskId>
Dispatcher::SendMessages(DispatchEffects& aEffects)
{
  std::vector<TaskId> notSent;
  for (DispatchEffects::Send& send : aEffects.sends_) {
    std::vector<TaskId> starts;
    if (const auto* start = std::get_if<StartTasks>(&send.message_)) {
      for (const StartTask& task : start->tasks_) {
        starts.push_back(task.id_);
      }
    }
    const LinkPtr link = FindLink(send.sidecar_, send.link_);
    if (!link || !link->Send(std::move(send.message_))) {
      notSent.insert(notSent.end(), starts.begin(), starts.end());
    }
  }
  return notSent;
}

void
Dispatcher::Submit(JobSpec aJob, Done aDone, MonoTime aNow)
{
  const std::string submission = aJob.submission_;
  const ShardPtr shard = ShardOf(aJob.service_);
  {
    std::lock_guard lock(submissionsMutex_);
    serviceBySubmission_[submission] = aJob.service_;
  }
  Done done = [this, submission, inner = std::move(aDone)](JobResult aResult) {
    {
      std::lock_guard lock(submissionsMutex_);
      serviceBySubmission_.erase(submission);
    }
    inner(std::move(aResult));
  };
  UpdateShard(
    shard,
    [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
      aDispatch.Submit(std::move(aJob), std::move(done), aNow, aEffects);
    },
    aNow);
}

void
Dispatcher::Cancel(const std::string& aSubmission, MonoTime aNow)
{
  std::string service;
  {
    std::lock_guard lock(submissionsMutex_);
    const auto found = serviceBySubmission_.find(aSubmission);
    if (found == serviceBySubmission_.end()) {
      return;
    }
    service = found->second;
  }
  UpdateShard(
    ShardOf(service),
    [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
      aDispatch.Cancel(aSubmission, aNow, aEffects);
    },
    aNow);
}

Millis
Dispatcher::PredictedWait(const std::string& aService,
                          Priority aPriority,
                          size_t aTasks,
                          MonoTime aNow) const
{
  ShardPtr shard;
  {
    std::lock_guard lock(shardsMutex_);
    const auto found = shards_.find(aService);
    if (found == shards_.end()) {
      return Millis(0);
    }
    shard = found->second;
  }
  std::lock_guard lock(shard->mutex_);
  return shard->dispatch_.PredictedWait(aPriority, aTasks, aNow);
}

std::optional<MemberId>
Dispatcher::FindSidecar(const LinkPtr& aLink) const
{
  std::lock_guard lock(sidecarsMutex_);
  const auto found = sidecarByLink_.find(aLink->Serial());
  if (found == sidecarByLink_.end()) {
    return std::nullopt;
  }
  return found->second;
}

LinkPtr
Dispatcher::FindLink(MemberId aMember, uint64_t aSerial) const
{
  std::lock_guard lock(sidecarsMutex_);
  const auto found = sidecars_.find(aMember);
  if (found == sidecars_.end() || !found->second.link_ ||
      found->second.link_->Serial() != aSerial) {
    return nullptr;
  }
  return found->second.link_;
}

void
Dispatcher::OnHello(const LinkPtr& aLink, const Hello& aHello, MonoTime aNow)
{
  LinkPtr replaced;
  {
    std::lock_guard lock(sidecarsMutex_);
    const auto found = sidecars_.find(aHello.id_);
    if (found != sidecars_.end()) {
      replaced = found->second.link_;
    }
  }
  if (replaced) {
    OnLinkEnd(replaced, aNow);
    replaced->Close();
  }
  {
    std::lock_guard lock(sidecarsMutex_);
    sidecarByLink_[aLink->Serial()] = aHello.id_;
    SidecarView view;
    view.id_ = aHello.id_;
    view.name_ = aHello.name_;
    view.zone_ = aHello.zone_;
    view.http_ = aHello.http_;
    sidecars_[aHello.id_] = { aLink, std::move(view) };
  }
  events_.Record(EventId::MemberJoined,
                 { { "member", ToString(aHello.id_) },
                   { "name", aHello.name_ },
                   { "zone", aHello.zone_ } },
                 WallClock::now());
}

void
Dispatcher::OnStatus(const LinkPtr& aLink,
                     const UpstreamStatus& aStatus,
                     MonoTime aNow)
{
  const auto member = FindSidecar(aLink);
  if (!member) {
    return;
  }
  std::string zone;
  std::string earlierService;
  {
    std::lock_guard lock(sidecarsMutex_);
    SidecarView& view = sidecars_.at(*member).view_;
    zone = view.zone_;
    earlierService = view.status_.service_;
    view.status_ = aStatus;
  }
  if (!earlierService.empty() && earlierService != aStatus.service_) {
    UpdateShard(
      ShardOf(earlierService),
      [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
        aDispatch.OnStatus(*member,
                           zone,
                           aLink->Serial(),
                           { .service_ = earlierService },
                           aNow,
                           aEffects);
      },
      aNow);
  }
  if (aStatus.service_.empty()) {
    return;
  }
  UpdateShard(
    ShardOf(aStatus.service_),
    [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
      aDispatch.OnStatus(
        *member, zone, aLink->Serial(), aStatus, aNow, aEffects);
    },
    aNow);
}

void
Dispatcher::OnAnswers(const LinkPtr& aLink,
                      const TaskAnswers& aAnswers,
                      MonoTime aNow)
{
  const auto member = FindSidecar(aLink);
  if (!member) {
    return;
  }
  std::string service;
  {
    std::lock_guard lock(sidecarsMutex_);
    SidecarView& view = sidecars_.at(*member).view_;
    service = view.status_.service_;
    view.status_.load_ = aAnswers.load_;
  }
  UpdateShard(
    ShardOf(service),
    [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
      aDispatch.OnAnswers(*member, aAnswers, aNow, aEffects);
    },
    aNow);
}

void
Dispatcher::OnConfigVersion(const LinkPtr& aLink, ConfigVersion aVersion)
{
  std::lock_guard lock(sidecarsMutex_);
  const auto found = sidecarByLink_.find(aLink->Serial());
  if (found != sidecarByLink_.end()) {
    sidecars_.at(found->second).view_.configVersion_ = aVersion;
  }
}

void
Dispatcher::OnLinkEnd(const LinkPtr& aLink, MonoTime aNow)
{
  MemberId member;
  {
    std::lock_guard lock(sidecarsMutex_);
    const auto found = sidecarByLink_.find(aLink->Serial());
    if (found == sidecarByLink_.end()) {
      return;
    }
    member = found->second;
    sidecarByLink_.erase(found);
    sidecars_.erase(member);
  }
  events_.Record(
    EventId::MemberLost, { { "member", ToString(member) } }, WallClock::now());
  for (const ShardPtr& shard : Shards()) {
    UpdateShard(
      shard,
      [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
        aDispatch.OnLinkDown(member, aLink->Serial(), aNow, aEffects);
      },
      aNow);
  }
}

void
Dispatcher::OnConfig(const ConfigState& aState, MonoTime aNow)
{
  OnPolicy(aState.Get("policy"), aNow);
  OnZones(ZonesOut(aState), aNow);
}

/// Applies a new dispatch policy. If it is invalid, the current policy stays in
/// force.
void
Dispatcher::OnPolicy(const ConfigValue& aPolicy, MonoTime aNow)
{
  DispatchPolicy policy;
  try {
    policy = ParseDispatchPolicy(aPolicy.text_);
  } catch (const FileErrors& error) {
    events_.Record(EventId::ConfigInvalid,
                   { { "key", "policy" }, { "error", error.what() } },
                   WallClock::now());
    return;
  }
  {
    std::lock_guard lock(shardsMutex_);
    if (aPolicy.version_.value_ <= policyVersion_.value_) {
      return;
    }
    policyVersion_ = aPolicy.version_;
    policy_ = policy;
  }
  for (const ShardPtr& shard : Shards()) {
    UpdateShard(
      shard,
      [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
        aDispatch.SetPolicy(policy);
        aDispatch.Tick(aNow, aEffects);
      },
      aNow);
  }
}

void
Dispatcher::OnZones(const std::vector<std::string>& aZonesOut, MonoTime aNow)
{
  std::vector<std::string> earlier;
  {
    std::lock_guard lock(shardsMutex_);
    earlier = zonesOut_;
    zonesOut_ = aZonesOut;
  }
  for (const ShardPtr& shard : Shards()) {
    UpdateShard(
      shard,
      [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
        for (const std::string& zone : earlier) {
          if (std::ranges::find(aZonesOut, zone) == aZonesOut.end()) {
            aDispatch.SetZoneEnabled(zone, true, aNow, aEffects);
          }
        }
        for (const std::string& zone : aZonesOut) {
          aDispatch.SetZoneEnabled(zone, false, aNow, aEffects);
        }
      },
      aNow);
  }
}

std::vector<SidecarView>
Dispatcher::Sidecars() const
{
  std::lock_guard lock(sidecarsMutex_);
  std::vector<SidecarView> views;
  for (const auto& [id, member] : sidecars_) {
    views.push_back(member.view_);
  }
  std::ranges::sort(views, {}, &SidecarView::name_);
  return views;
}

size_t
Dispatcher::JobCount() const
{
  size_t count = 0;
  for (const ShardPtr& shard : Shards()) {
    std::lock_guard lock(shard->mutex_);
    count += shard->dispatch_.JobCount();
  }
  return count;
}

void
Dispatcher::Tick()
{
  const MonoTime now = MonoClock::now();
  for (const ShardPtr& shard : Shards()) {
    UpdateShard(
      shard,
      [&](ServiceDispatch& aDispatch, DispatchEffects& aEffects) {
        aDispatch.Tick(now, aEffects);
      },
      now);
  }
}

} // namespace cornelfront
