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
constexpr uint64_t kTieMask = (uint64_t{ 1 } << kZoneShift) - 1;
constexpr uint64_t kLoadUnit = 65536;
constexpr uint64_t kHighestLoad = (uint64_t{ 1 } << 32U) - 1;

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
    if (!excluded && entry.zoneIn_ && HasRoom(entry)) {
      return item;
    }
  }
  return std::nullopt;
}

std::optional<Router::Item>
Router::Pick(const RouteRequest& aRequest)
{
  std::vector<Item> hidden;
  for (MemberId id : aRequest.exclude_) {
    auto found = index_.find(id);
    if (found != index_.end()) {
      choices_->Remove(found->second);
      hidden.push_back(found->second);
    }
  }
  std::optional<Item> picked;
  if (!choices_->empty()) {
    picked = std::visit([&](const auto& aRule) { return PickBy(aRule); },
                        options_.rule_);
  }
  for (Item item : hidden) {
    Refresh(item);
  }
  return picked;
}

Router::Item
Router::PickBy(const LeastLoaded& /*aRule*/)
{
  return choices_->Top();
}

Router::Item
Router::PickBy(const ZoneFirst& /*aRule*/)
{
  return choices_->Top();
}

Router::Item
Router::PickBy(const StaleLeastLoaded& /*aRule*/)
{
  return choices_->Top();
}

Router::Item
Router::PickBy(const Random& /*aRule*/)
{
  return choices_->At(random_() % choices_->size());
}

Router::Item
Router::PickBy(const RoundRobin& /*aRule*/)
{
  return choices_->Top();
}

Router::Item
Router::PickBy(const PowerOfTwo& /*aRule*/)
{
  const Item first = choices_->At(random_() % choices_->size());
  const Item second = choices_->At(random_() % choices_->size());
  const uint64_t firstLoad = LoadOf(entries_[first], Tasks(entries_[first]));
  const uint64_t secondLoad = LoadOf(entries_[second], Tasks(entries_[second]));
  return secondLoad < firstLoad ? second : first;
}

bool
Router::IsForeign(const Entry& aEntry) const
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
Router::Key(const Entry& aEntry, uint64_t aLoad)
{
  const uint64_t foreign = IsForeign(aEntry) ? 1 : 0;
  return (std::min(aLoad, kHighestLoad) << kLoadShift) |
         (foreign << kZoneShift) | (random_() & kTieMask);
}

uint64_t
Router::KeyBy(const LeastLoaded& /*aRule*/, const Entry& aEntry)
{
  return Key(aEntry, LoadOf(aEntry, Tasks(aEntry)));
}

uint64_t
Router::KeyBy(const ZoneFirst& /*aRule*/, const Entry& aEntry)
{
  const uint64_t load = LoadOf(aEntry, Tasks(aEntry));
  // Free slots of other zones rank after all free slots of the own zone, but
  // before all full sidecars.
  const bool ownAndFree = !IsForeign(aEntry) && load < kLoadUnit;
  return Key(aEntry, ownAndFree ? load : load + kLoadUnit);
}

uint64_t
Router::KeyBy(const StaleLeastLoaded& /*aRule*/, const Entry& aEntry)
{
  const LoadReport& load = aEntry.candidate_.load_;
  return Key(aEntry, LoadOf(aEntry, load.running_ + load.queued_));
}

uint64_t
Router::KeyBy(const Random& /*aRule*/, const Entry& /*aEntry*/)
{
  return 0;
}

uint64_t
Router::KeyBy(const RoundRobin& /*aRule*/, const Entry& aEntry)
{
  return aEntry.lastChosen_;
}

uint64_t
Router::KeyBy(const PowerOfTwo& /*aRule*/, const Entry& /*aEntry*/)
{
  return 0;
}

} // namespace cornelfront
