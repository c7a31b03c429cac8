#include "cornelfront/router.h"

#include <algorithm>
#include <utility>

namespace cornelfront {

Router::Router(RouterOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
{
}

void
Router::Upsert(const Candidate& aCandidate)
{
  Entry* entry = Find(aCandidate.id_);
  if (entry == nullptr) {
    entry = &entries_.emplace_back();
  }
  entry->candidate_ = aCandidate;
  NoteLoad(*entry, aCandidate.load_);
}

void
Router::Erase(MemberId aId)
{
  std::erase_if(entries_, [aId](const Entry& aEntry) {
    return aEntry.candidate_.id_ == aId;
  });
}

void
Router::SetZoneIn(const std::string& aZone, bool aIn)
{
  if (aIn) {
    zonesOut_.erase(aZone);
  } else {
    zonesOut_.insert(aZone);
  }
}

std::optional<MemberId>
Router::Choose(const RouteRequest& aRequest, MonoTime /*aNow*/)
{
  Entry* chosen = Pick(Choices(aRequest));
  if (chosen == nullptr) {
    return std::nullopt;
  }
  ++chosen->outstanding_;
  return chosen->candidate_.id_;
}

void
Router::OnAnswer(MemberId aId,
                 const LoadReport& aLoad,
                 bool /*aFailed*/,
                 MonoTime /*aNow*/)
{
  Entry* entry = Find(aId);
  if (entry == nullptr) {
    return;
  }
  if (entry->outstanding_ > 0) {
    --entry->outstanding_;
  }
  NoteLoad(*entry, aLoad);
}

Router::Entry*
Router::Find(MemberId aId)
{
  auto found =
    std::find_if(entries_.begin(), entries_.end(), [aId](const Entry& aEntry) {
      return aEntry.candidate_.id_ == aId;
    });
  return found == entries_.end() ? nullptr : &*found;
}

void
Router::NoteLoad(Entry& aEntry, const LoadReport& aLoad) const
{
  aEntry.candidate_.load_ = aLoad;
  const uint32_t reported = aLoad.running_ + aLoad.queued_;
  // A report may be older than this entry's newest tasks, never than its own
  // answer, so what exceeds this entry's count belongs to others.
  aEntry.others_ =
    reported > aEntry.outstanding_ ? reported - aEntry.outstanding_ : 0;
}

bool
Router::HasRoom(const Entry& aEntry) const
{
  const uint32_t slots = aEntry.candidate_.load_.slots_;
  return slots > 0 && aEntry.outstanding_ + aEntry.others_ <
                        slots + options_.queuePerSidecar_;
}

bool
Router::MayChoose(const Entry& aEntry, const RouteRequest& aRequest) const
{
  const auto& exclude = aRequest.exclude_;
  return HasRoom(aEntry) && !zonesOut_.contains(aEntry.candidate_.zone_) &&
         std::find(exclude.begin(), exclude.end(), aEntry.candidate_.id_) ==
           exclude.end();
}

bool
Router::IsBetter(const Entry& aLeft, const Entry& aRight) const
{
  const uint64_t left = uint64_t{ aLeft.outstanding_ + aLeft.others_ } *
                        aRight.candidate_.load_.slots_;
  const uint64_t right = uint64_t{ aRight.outstanding_ + aRight.others_ } *
                         aLeft.candidate_.load_.slots_;
  if (left != right) {
    return left < right;
  }
  return aLeft.candidate_.zone_ == options_.zone_ &&
         aRight.candidate_.zone_ != options_.zone_;
}

std::vector<Router::Entry*>
Router::Choices(const RouteRequest& aRequest)
{
  std::vector<Entry*> choices;
  for (Entry& entry : entries_) {
    if (MayChoose(entry, aRequest)) {
      choices.push_back(&entry);
    }
  }
  return choices;
}

Router::Entry*
Router::Pick(const std::vector<Entry*>& aChoices)
{
  if (aChoices.empty()) {
    return nullptr;
  }
  switch (options_.rule_) {
    case RouteRule::Random:
      return PickRandom(aChoices);
    case RouteRule::RoundRobin:
      return aChoices[nextRoundRobin_++ % aChoices.size()];
    case RouteRule::PowerOfTwo:
      return PickPowerOfTwo(aChoices);
    case RouteRule::LeastLoaded:
      break;
  }
  return PickLeastLoaded(aChoices);
}

Router::Entry*
Router::PickLeastLoaded(const std::vector<Entry*>& aChoices)
{
  // Starting at a random place keeps entries with the same view from all
  // choosing the same one among equals.
  const size_t offset = random_() % aChoices.size();
  Entry* best = aChoices[offset];
  for (size_t i = 1; i < aChoices.size(); ++i) {
    Entry* other = aChoices[(offset + i) % aChoices.size()];
    best = IsBetter(*other, *best) ? other : best;
  }
  return best;
}

Router::Entry*
Router::PickRandom(const std::vector<Entry*>& aChoices)
{
  return aChoices[random_() % aChoices.size()];
}

Router::Entry*
Router::PickPowerOfTwo(const std::vector<Entry*>& aChoices)
{
  Entry* first = PickRandom(aChoices);
  Entry* second = PickRandom(aChoices);
  return IsBetter(*second, *first) ? second : first;
}

} // namespace cornelfront
