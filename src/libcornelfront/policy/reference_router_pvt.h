#pragma once

/// \file
/// Simple implementation of the least-loaded rule, with which tests and
/// benchmarks compare the indexed Router.

#include "cornelfront/router.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelfront {

/// Sort key of the least-loaded rule; the candidate with the smallest one is
/// chosen.
struct LoadRank
{
  double tasksPerSlot_ = 0;
  bool remoteZone_ = false;

  bool operator==(const LoadRank&) const = default;
  bool operator<(const LoadRank& aOther) const
  {
    return std::tie(tasksPerSlot_, remoteZone_) <
           std::tie(aOther.tasksPerSlot_, aOther.remoteZone_);
  }
};

/// Implements the least-loaded rule by linear search, without ejection and
/// ramps.
class ReferenceRouter
{
public:
  explicit ReferenceRouter(RouterOptions aOptions)
    : options_(std::move(aOptions))
  {
  }

  void Upsert(const Candidate& aCandidate)
  {
    Entry& entry = entries_[aCandidate.id_];
    entry.candidate_ = aCandidate;
    UpdateLoad(entry, aCandidate.load_);
  }

  void Erase(MemberId aId) { entries_.erase(aId); }

  void SetZoneEnabled(const std::string& aZone, bool aEnabled)
  {
    if (aEnabled) {
      zonesOut_.erase(aZone);
    } else {
      zonesOut_.insert(aZone);
    }
  }

  /// Returns the rank of a candidate; nullopt if it must not be chosen.
  std::optional<LoadRank> RankOf(MemberId aId, const RouteRequest& aRequest)
  {
    auto found = entries_.find(aId);
    const auto& exclude = aRequest.exclude_;
    if (found == entries_.end() ||
        std::find(exclude.begin(), exclude.end(), aId) != exclude.end()) {
      return std::nullopt;
    }
    const Candidate& candidate = found->second.candidate_;
    const uint32_t slots = candidate.load_.slots_;
    const uint32_t tasks =
      found->second.outstanding_ + found->second.otherTasks_;
    if (slots == 0 || tasks >= slots + options_.queuePerSidecar_ ||
        zonesOut_.contains(candidate.zone_)) {
      return std::nullopt;
    }
    return LoadRank{ .tasksPerSlot_ = static_cast<double>(tasks) / slots,
                     .remoteZone_ = candidate.zone_ != options_.zone_ };
  }

  /// Returns the least-loaded candidate; nullopt if none has free capacity.
  std::optional<MemberId> ChooseBest(const RouteRequest& aRequest)
  {
    std::optional<MemberId> best;
    std::optional<LoadRank> bestRank;
    for (const auto& [id, entry] : entries_) {
      auto rank = RankOf(id, aRequest);
      if (rank && (!bestRank || *rank < *bestRank)) {
        best = id;
        bestRank = rank;
      }
    }
    return best;
  }

  void Assign(MemberId aId) { ++entries_.at(aId).outstanding_; }

  void OnAnswer(MemberId aId, const LoadReport& aLoad)
  {
    auto found = entries_.find(aId);
    if (found != entries_.end()) {
      Entry& entry = found->second;
      entry.outstanding_ -= std::min(entry.outstanding_, 1U);
      UpdateLoad(entry, aLoad);
    }
  }

private:
  struct Entry
  {
    Candidate candidate_;
    uint32_t outstanding_ = 0;
    uint32_t otherTasks_ = 0;
  };

  static void UpdateLoad(Entry& aEntry, const LoadReport& aLoad)
  {
    const uint32_t reported = aLoad.running_ + aLoad.queued_;
    aEntry.candidate_.load_ = aLoad;
    aEntry.otherTasks_ = reported - std::min(reported, aEntry.outstanding_);
  }

  RouterOptions options_;
  std::unordered_map<MemberId, Entry> entries_;
  std::set<std::string> zonesOut_;
};

} // namespace cornelfront
