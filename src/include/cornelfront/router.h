#pragma once

/// \file
/// Choice of the sidecar that gets the next task.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cornelfront {

/// What a sidecar says of its upstream with every answer.
struct LoadReport
{
  uint32_t slots_ = 0;
  /// Tasks that run now, of all entries.
  uint32_t running_ = 0;
  /// Tasks that wait at the sidecar, of all entries.
  uint32_t queued_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(slots_, running_, queued_);
  }
};

/// A sidecar that serves one service.
struct Candidate
{
  MemberId id_;
  std::string zone_;
  LoadReport load_;
};

struct RouteRequest
{
  /// Sidecars that already refused the task.
  std::vector<MemberId> exclude_;
};

/// How a router ranks candidates; the non-default ones are baselines for
/// comparison.
enum class RouteRule
{
  /// Fewest outstanding tasks per slot, own zone first among equals.
  LeastLoaded,
  Random,
  RoundRobin,
  /// Better of two random candidates.
  PowerOfTwo,
};

struct RouterOptions
{
  RouteRule rule_ = RouteRule::LeastLoaded;
  /// Availability zone of this entry.
  std::string zone_;
  /// Tasks that may wait at a sidecar beyond its slots before the entry holds
  /// further ones in its own queue.
  uint32_t queuePerSidecar_ = 2;
  uint64_t seed_ = 1;
};

/// Candidates of one service with this entry's view of their load. Not
/// thread-safe: the dispatcher holds one per service under its lock.
class Router
{
public:
  explicit Router(RouterOptions aOptions);

  /// Adds a candidate or replaces its zone and load.
  void Upsert(const Candidate& aCandidate);
  void Erase(MemberId aId);
  /// Takes zones out of and back into use.
  void SetZoneIn(const std::string& aZone, bool aIn);

  /// Returns where the next task goes, or nullopt if no candidate has room.
  /// Counts the task as outstanding there.
  std::optional<MemberId> Choose(const RouteRequest& aRequest, MonoTime aNow);

  /// Takes note of an answer: one task fewer is outstanding. \p aFailed says
  /// that the upstream, not the task's caller, caused a failure.
  void OnAnswer(MemberId aId,
                const LoadReport& aLoad,
                bool aFailed,
                MonoTime aNow);

  size_t size() const { return entries_.size(); }

private:
  struct Entry
  {
    Candidate candidate_;
    /// Tasks of this entry that are not answered yet.
    uint32_t outstanding_ = 0;
    /// Tasks of other entries by the newest report.
    uint32_t others_ = 0;
  };

  Entry* Find(MemberId aId);
  void NoteLoad(Entry& aEntry, const LoadReport& aLoad) const;
  bool HasRoom(const Entry& aEntry) const;
  bool MayChoose(const Entry& aEntry, const RouteRequest& aRequest) const;
  bool IsBetter(const Entry& aLeft, const Entry& aRight) const;
  std::vector<Entry*> Choices(const RouteRequest& aRequest);
  Entry* Pick(const std::vector<Entry*>& aChoices);
  Entry* PickLeastLoaded(const std::vector<Entry*>& aChoices);
  Entry* PickRandom(const std::vector<Entry*>& aChoices);
  Entry* PickPowerOfTwo(const std::vector<Entry*>& aChoices);

  RouterOptions options_;
  std::vector<Entry> entries_;
  std::set<std::string> zonesOut_;
  size_t nextRoundRobin_ = 0;
  std::mt19937_64 random_;
};

} // namespace cornelfront
