#include "cornelfront/router.h"

#include "policy/indexed_heap_pvt.h"

#include <algorithm>
#include <map>

namespace cornelfront {

namespace {

/// A key consists of, from the most significant bit: tasks per slot in units of
/// 1/65,536, one bit for a remote zone, and a random number that breaks ties.
constexpr unsigned kZoneShift = 31;
constexpr unsigned kLoadShift = 32;
constexpr uint64_t kTieBreakMask = (uint64_t{ 1 } << kZoneShift) - 1;
constexpr uint64_t kLoadUnit = 65536;
constexpr uint64_t kMaxLoad = (uint64_t{ 1 } << 32U) - 1;

} // namespace

std::optional<RouteRule>
ParseRouteRule(std::string_view aName)
{
  static const std::map<std::string_view, RouteRule> sRules = {
    { "least_loaded", LeastLoaded{} },
    { "zone_first", ZoneFirst{} },
    { "stale_least_loaded", StaleLeastLoaded{} },
    { "random", Random{} },
    { "round_robin", RoundRobin{} },
    { "power_of_two", PowerOfTwo{} },
  };
  auto found = sRules.find(aName);
  if (found == sRules.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<Router::Item>
Router::PickProbe(const RouteRequest& aRequest, MonoTime aNow)
{
  const auto& exclude = aRequest.exclude_;
  while (auto id = ejection_.NextProbe(aRequest.repeatable_, aNow)) {
    const Item item = index_.at(*id);
    const Entry& entry = entries_[item];
    const bool excluded =
      std::find(exclude.begin(), exclude.end(), *id) != exclude.end();
    if (!excluded && entry.zoneEnabled_ && HasFreeCapacity(entry)) {
      return item;
    }
  }
  return std::nullopt;
}

std::optional<Router::Item>
Router::Pick(const RouteRequest& aRequest)
{
  std::vector<Item> removed;
  for (MemberId id : aRequest.exclude_) {
    auto found = index_.find(id);
    if (found != index_.end()) {
      candidates_->Remove(found->second);
      removed.push_back(found->second);
    }
  }
  std::optional<Item> picked;
  if (!candidates_->empty()) {
    picked = std::visit([&](const auto& aRule) { return PickBy(aRule); },
                        options_.rule_);
  }
  for (Item item : removed) {
    Refresh(item);
  }
  return picked;
}

Router::Item
Router::PickBy(const LeastLoaded& /*aRule*/)
{
  return candidates_->Top();
}

Router::Item
Router::PickBy(const ZoneFirst& /*aRule*/)
{
  return candidates_->Top();
}

Router::Item
Router::PickBy(const StaleLeastLoaded& /*aRule*/)
{
  return candidates_->Top();
}

Router::Item
Router::PickBy(const Random& /*aRule*/)
{
  return candidates_->At(random_() % candidates_->size());
}

Router::Item
Router::PickBy(const RoundRobin& /*aRule*/)
{
  return candidates_->Top();
}

Router::Item
Router::PickBy(const PowerOfTwo& /*aRule*/)
{
  const Item first = candidates_->At(random_() % candidates_->size());
  const Item second = candidates_->At(random_() % candidates_->size());
  const uint64_t firstLoad = LoadOf(entries_[first], Tasks(entries_[first]));
  const uint64_t secondLoad = LoadOf(entries_[second], Tasks(entries_[second]));
  return secondLoad < firstLoad ? second : first;
}

bool
Router::IsRemote(const Entry& aEntry) const
{
  return aEntry.candidate_.zone_ != options_.zone_;
}

uint64_t
Router::LoadOf(const Entry& aEntry, uint32_t aTasks) const
{
  const uint32_t slots = std::max(aEntry.candidate_.load_.slots_, 1U);
  // A slow sidecar ranks as if each of its slots had one more task.
  return aTasks * kLoadUnit / slots + (aEntry.slow_ ? kLoadUnit : 0);
}

uint64_t
Router::MakeRank(const Entry& aEntry, uint64_t aLoad)
{
  const uint64_t remote = IsRemote(aEntry) ? 1 : 0;
  return (std::min(aLoad, kMaxLoad) << kLoadShift) | (remote << kZoneShift) |
         (random_() & kTieBreakMask);
}

uint64_t
Router::RankBy(const LeastLoaded& /*aRule*/, const Entry& aEntry)
{
  return MakeRank(aEntry, LoadOf(aEntry, Tasks(aEntry)));
}

uint64_t
Router::RankBy(const ZoneFirst& /*aRule*/, const Entry& aEntry)
{
  const uint64_t load = LoadOf(aEntry, Tasks(aEntry));
  // Free slots of other zones rank after all free slots of the own zone, but
  // before all full sidecars.
  const bool ownAndFree = !IsRemote(aEntry) && load < kLoadUnit;
  return MakeRank(aEntry, ownAndFree ? load : load + kLoadUnit);
}

uint64_t
Router::RankBy(const StaleLeastLoaded& /*aRule*/, const Entry& aEntry)
{
  const LoadReport& load = aEntry.candidate_.load_;
  return MakeRank(aEntry, LoadOf(aEntry, load.running_ + load.queued_));
}

uint64_t
Router::RankBy(const Random& /*aRule*/, const Entry& /*aEntry*/)
{
  return 0;
}

uint64_t
Router::RankBy(const RoundRobin& /*aRule*/, const Entry& aEntry)
{
  return aEntry.lastChosen_;
}

uint64_t
Router::RankBy(const PowerOfTwo& /*aRule*/, const Entry& /*aEntry*/)
{
  return 0;
}

} // namespace cornelfront
