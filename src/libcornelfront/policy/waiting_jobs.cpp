#include "cornelfront/waiting_jobs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelfront {
namespace {

/// Number of needs for which a pass looks at all upstreams.
constexpr size_t kMaxNeeds = 64;
/// Number of jobs of a need that return to its queue in one pass once another
/// upstream has room.
constexpr size_t kMaxReturning = 64;

bool
Contains(const std::vector<MemberId>& aSorted, MemberId aId)
{
  return std::binary_search(aSorted.begin(), aSorted.end(), aId);
}

} // namespace

void
WaitingJobs::Queue::Erase(const WaitRank& aRank)
{
  onTime_.erase(aRank);
  late_.erase(aRank);
  const auto number = apartNumbers_.find(aRank);
  if (number != apartNumbers_.end()) {
    apart_.erase(number->second);
    apartNumbers_.erase(number);
  }
}

WaitingJobs::Queues::iterator
WaitingJobs::Place(const PlacementNeed& aNeed, const WaitRank& aRank)
{
  const auto [queue, isNew] = queues_.try_emplace(aNeed);
  if (isNew) {
    served_.insert(aNeed);
  }
  queue->second.Erase(aRank);
  std::vector<Queues::iterator>& places = places_[aRank];
  if (std::find(places.begin(), places.end(), queue) == places.end()) {
    places.push_back(queue);
  }
  return queue;
}

void
WaitingJobs::Add(const PlacementNeed& aNeed, const WaitRank& aRank)
{
  const auto queue = Place(aNeed, aRank);
  queue->second.onTime_.insert(aRank);
  // Whatever has room next has it again.
  queue->second.open_.clear();
  std::erase(pass_, queue);
}

void
WaitingJobs::SetApart(const PlacementNeed& aNeed,
                      const WaitRank& aRank,
                      const std::vector<MemberId>& aOpen)
{
  Queue& queue = Place(aNeed, aRank)->second;
  const uint64_t number = ++apartNumber_;
  queue.apart_.emplace(number,
                       ApartJob{ .rank_ = aRank, .epoch_ = queue.epoch_ });
  queue.apartNumbers_.emplace(aRank, number);
  // An upstream without room now may have it at the next pass; the job has not
  // been tried there.
  std::erase_if(queue.open_,
                [&](MemberId aId) { return !Contains(aOpen, aId); });
}

void
WaitingJobs::Wake(const WaitRank& aRank)
{
  const auto found = places_.find(aRank);
  if (found == places_.end()) {
    return;
  }
  for (const auto queue : found->second) {
    if (queue->second.apartNumbers_.contains(aRank)) {
      queue->second.Erase(aRank);
      queue->second.onTime_.insert(aRank);
    }
  }
}

void
WaitingJobs::Erase(const WaitRank& aRank)
{
  const auto found = places_.extract(aRank);
  if (found.empty()) {
    return;
  }
  for (const auto queue : found.mapped()) {
    queue->second.Erase(aRank);
    if (queue->second.Empty()) {
      Remove(queue);
    }
  }
}

void
WaitingJobs::Remove(Queues::iterator aQueue)
{
  std::erase(pass_, aQueue);
  served_.erase(aQueue->first);
  queues_.erase(aQueue);
}

void
WaitingJobs::OnUpstreamsChanged()
{
  for (const auto& [need, queue] : queues_) {
    served_.insert(need);
  }
}

std::vector<WaitingJobs::Waiting>
WaitingJobs::FirstOfServices() const
{
  std::vector<Waiting> firsts;
  // The needs of a service follow each other.
  for (const PlacementNeed& need : served_) {
    const Queue& queue = queues_.at(need);
    for (const std::set<WaitRank>* jobs : { &queue.onTime_, &queue.late_ }) {
      if (jobs->empty()) {
        continue;
      }
      if (firsts.empty() || firsts.back().need_.service_ != need.service_) {
        firsts.push_back({ need, *jobs->begin() });
      } else if (*jobs->begin() < firsts.back().rank_) {
        firsts.back() = { need, *jobs->begin() };
      }
    }
  }
  return firsts;
}

void
WaitingJobs::BeginPass(const FindOpenings& aFindOpenings)
{
  pass_.clear();
  std::vector<PlacementNeed> needs;
  auto at = served_.lower_bound(next_);
  for (size_t i = 0; i < std::min(kMaxNeeds, served_.size()); ++i) {
    at = at == served_.end() ? served_.begin() : at;
    needs.push_back(*at);
    ++at;
  }
  next_ = at == served_.end() ? PlacementNeed{} : *at;
  for (const PlacementNeed& need : needs) {
    const auto queue = queues_.find(need);
    Openings openings = aFindOpenings(need);
    if (!openings.anyUpstream_) {
      served_.erase(need);
    }
    if (openings.open_.empty()) {
      queue->second.open_.clear();
    } else {
      Open(queue, std::move(openings.open_));
    }
  }
}

void
WaitingJobs::Open(Queues::iterator aQueue, std::vector<MemberId> aOpen)
{
  pass_.push_back(aQueue);
  Queue& queue = aQueue->second;
  const bool another =
    std::any_of(aOpen.begin(), aOpen.end(), [&](MemberId aId) {
      return !Contains(queue.open_, aId);
    });
  queue.epoch_ += another ? 1 : 0;
  queue.open_ = std::move(aOpen);
  for (size_t i = 0; i < kMaxReturning && !queue.apart_.empty(); ++i) {
    const ApartJob job = queue.apart_.begin()->second;
    if (job.epoch_ == queue.epoch_) {
      return;
    }
    queue.Erase(job.rank_);
    queue.onTime_.insert(job.rank_);
  }
}

bool
WaitingJobs::IsInPass(const WaitRank& aRank) const
{
  const auto found = places_.find(aRank);
  return found != places_.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const auto& aQueue) {
             return std::find(pass_.begin(), pass_.end(), aQueue) !=
                    pass_.end();
           });
}

std::optional<WaitRank>
WaitingJobs::Next(bool aLate, MonoTime aNow)
{
  std::optional<WaitRank> best;
  for (const auto at : pass_) {
    Queue& queue = at->second;
    while (!queue.onTime_.empty() &&
           queue.onTime_.begin()->latestStart_ < aNow) {
      queue.late_.insert(queue.onTime_.extract(queue.onTime_.begin()));
    }
    const std::set<WaitRank>& jobs = aLate ? queue.late_ : queue.onTime_;
    if (!jobs.empty() && (!best || *jobs.begin() < *best)) {
      best = *jobs.begin();
    }
  }
  return best;
}

} // namespace cornelfront
