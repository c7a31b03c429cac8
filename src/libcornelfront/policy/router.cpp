#include "cornelfront/router.h"

#include "policy/indexed_heap_pvt.h"

#include <algorithm>

namespace cornelfront {

Router::Router(RouterOptions aOptions)
  : options_(std::move(aOptions))
  , candidates_(std::make_unique<IndexedHeap>())
  , ejection_(options_.ejection_)
  , random_(options_.seed_)
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router&
Router::operator=(Router&&) noexcept = default;

void
Router::Upsert(const Candidate& aCandidate)
{
  const auto [found, isNew] = index_.try_emplace(aCandidate.id_, 0);
  if (isNew) {
    found->second = Allocate();
    ejection_.Add(aCandidate.id_);
  }
  Entry& entry = entries_[found->second];
  entry.candidate_ = aCandidate;
  entry.zoneEnabled_ = !zonesOut_.contains(aCandidate.zone_);
  UpdateLoad(entry, aCandidate.load_);
  pendingUpdates_.push_back({ .id_ = aCandidate.id_, .ramp_ = isNew });
}

void
Router::Erase(MemberId aId)
{
  auto found = index_.find(aId);
  if (found == index_.end()) {
    return;
  }
  const Item item = found->second;
  index_.erase(found);
  ejection_.Erase(aId);
  entries_[item].zoneEnabled_ = false;
  Refresh(item);
  freeItems_.push_back(item);
}

void
Router::SetZoneEnabled(const std::string& aZone, bool aEnabled)
{
  const bool changed =
    aEnabled ? zonesOut_.erase(aZone) > 0 : zonesOut_.insert(aZone).second;
  if (!changed) {
    return;
  }
  for (const auto& [id, item] : index_) {
    if (entries_[item].candidate_.zone_ == aZone) {
      entries_[item].zoneEnabled_ = aEnabled;
      pendingUpdates_.push_back({ .id_ = id, .ramp_ = aEnabled });
      Refresh(item);
    }
  }
}

void
Router::SetSlow(MemberId aId, bool aSlow)
{
  auto found = index_.find(aId);
  if (found != index_.end()) {
    entries_[found->second].slow_ = aSlow;
    Refresh(found->second);
  }
}

void
Router::SetRule(RouteRule aRule)
{
  options_.rule_ = aRule;
  RefreshAll();
}

void
Router::SetEjection(bool aEnabled)
{
  if (options_.ejection_.enabled_ == aEnabled) {
    return;
  }
  options_.ejection_.enabled_ = aEnabled;
  ejection_ = EjectionPolicy(options_.ejection_);
  for (const auto& [id, item] : index_) {
    ejection_.Add(id);
  }
  RefreshAll();
}

void
Router::SetQueuePerSidecar(uint32_t aTasks)
{
  options_.queuePerSidecar_ = aTasks;
  RefreshAll();
}

std::optional<MemberId>
Router::Choose(const RouteRequest& aRequest, MonoTime aNow)
{
  Advance(aNow);
  std::optional<Item> chosen = PickProbe(aRequest, aNow);
  if (!chosen) {
    chosen = Pick(aRequest);
  }
  if (!chosen) {
    return std::nullopt;
  }
  Assign(*chosen);
  return entries_[*chosen].candidate_.id_;
}

void
Router::OnAnswer(MemberId aId,
                 const LoadReport& aLoad,
                 bool aFailed,
                 MonoTime aNow)
{
  Advance(aNow);
  auto found = index_.find(aId);
  if (found == index_.end()) {
    return;
  }
  Entry& entry = entries_[found->second];
  entry.outstanding_ -= std::min(entry.outstanding_, 1U);
  entry.reportedAt_ = aNow;
  UpdateLoad(entry, aLoad);
  const auto change = ejection_.OnAnswer(aId, aFailed, aNow);
  if (change == EjectionPolicy::Change::Returned && MayRamp(aNow)) {
    entry.ramp_ = StartRamp(aId, options_.rampTime_, aNow);
  }
  RunTimer(found->second, aNow);
  if (change == EjectionPolicy::Change::Suspended ||
      change == EjectionPolicy::Change::Resumed) {
    RefreshAll();
  }
}

RouterCapacity
Router::Capacity(MonoTime aNow)
{
  Advance(aNow);
  return capacity_;
}

Router::Item
Router::Allocate()
{
  if (freeItems_.empty()) {
    entries_.emplace_back();
    return static_cast<Item>(entries_.size() - 1);
  }
  const Item item = freeItems_.back();
  freeItems_.pop_back();
  entries_[item] = Entry{};
  return item;
}

void
Router::UpdateLoad(Entry& aEntry, const LoadReport& aLoad) const
{
  aEntry.candidate_.load_ = aLoad;
  const uint32_t reported = aLoad.running_ + aLoad.queued_;
  // A report may be older than the newest tasks of this entry but already
  // excludes the answered one. So the tasks in excess of this entry's own count
  // belong to other entries.
  aEntry.otherTasks_ =
    reported > aEntry.outstanding_ ? reported - aEntry.outstanding_ : 0;
}

uint32_t
Router::Tasks(const Entry& aEntry) const
{
  return aEntry.outstanding_ + aEntry.otherTasks_;
}

bool
Router::IsUsable(const Entry& aEntry) const
{
  return aEntry.zoneEnabled_ && aEntry.usableSlots_ > 0 &&
         !ejection_.IsEjected(aEntry.candidate_.id_);
}

bool
Router::HasFreeCapacity(const Entry& aEntry) const
{
  const uint32_t slots = aEntry.candidate_.load_.slots_;
  const bool ramping = aEntry.usableSlots_ < slots;
  const uint32_t queue = ramping ? 0 : options_.queuePerSidecar_;
  return Tasks(aEntry) < aEntry.usableSlots_ + queue;
}

void
Router::Refresh(Item aItem)
{
  Entry& entry = entries_[aItem];
  const bool usable = IsUsable(entry);
  const RouterCapacity now =
    usable
      ? RouterCapacity{ .slots_ = entry.usableSlots_, .tasks_ = Tasks(entry) }
      : RouterCapacity{};
  capacity_.slots_ += now.slots_ - entry.contribution_.slots_;
  capacity_.tasks_ += now.tasks_ - entry.contribution_.tasks_;
  entry.contribution_ = now;
  if (!usable || !HasFreeCapacity(entry)) {
    candidates_->Remove(aItem);
    return;
  }
  candidates_->Set(
    aItem,
    std::visit([&](const auto& aRule) { return RankBy(aRule, entry); },
               options_.rule_));
}

void
Router::RefreshAll()
{
  for (const auto& [id, item] : index_) {
    Refresh(item);
  }
}

void
Router::Assign(Item aItem)
{
  Entry& entry = entries_[aItem];
  ++entry.outstanding_;
  entry.lastChosen_ = ++choiceCount_;
  Refresh(aItem);
}

} // namespace cornelfront
