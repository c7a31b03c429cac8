#pragma once

/// \file
/// Choice of the sidecar that gets the next task.

#include "cornelfront/clock.h"
#include "cornelfront/ejection.h"
#include "cornelfront/ids.h"
#include "cornelfront/ramp.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace cornelfront {

class IndexedHeap;

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
  /// Whether the task may run again; such tasks are preferred as probes of
  /// ejected sidecars.
  bool repeatable_ = false;
};

/// Fewest outstanding tasks per slot, own zone first among equals.
struct LeastLoaded
{};

/// Sidecars of the own zone while they have free slots, then those of other
/// zones, each by fewest tasks per slot. While every entry finds room in its
/// own zone, no two entries choose the same slot on old reports, and no task
/// crosses zones.
struct ZoneFirst
{};

/// Baseline: least loaded by the last reports alone, without the tasks sent
/// since.
struct StaleLeastLoaded
{};

/// Baseline: any candidate with room.
struct Random
{};

/// Baseline: the candidate with room that was chosen longest ago.
struct RoundRobin
{};

/// Baseline: the less loaded of two random candidates with room.
/// Source: Mitzenmacher, "The power of two choices", 2001.
struct PowerOfTwo
{};

/// How a router ranks candidates.
using RouteRule = std::variant<LeastLoaded,
                               ZoneFirst,
                               StaleLeastLoaded,
                               Random,
                               RoundRobin,
                               PowerOfTwo>;

/// Returns the rule named "least_loaded", "zone_first", "stale_least_loaded",
/// "random", "round_robin" or "power_of_two"; nullopt for anything else.
std::optional<RouteRule>
ParseRouteRule(std::string_view aName);

struct RouterOptions
{
  RouteRule rule_ = LeastLoaded{};
  /// Availability zone of this entry.
  std::string zone_;
  /// Tasks that may wait at a sidecar beyond its slots before the entry holds
  /// further ones in its own queue.
  uint32_t queuePerSidecar_ = 2;
  /// Orders equals; give each entry its own.
  uint64_t seed_ = 1;
  EjectionOptions ejection_;
  /// Time in which the slots of a new or returned sidecar come into use.
  Millis rampTime_{ 3000 };
  /// Time after which the reported tasks of other entries are halved if no
  /// newer report came.
  Millis reportLifetime_{ 500 };
};

/// Slots that a router may use now and what is outstanding on them.
struct RouterCapacity
{
  uint64_t slots_ = 0;
  /// Running and waiting tasks of all entries, as far as known.
  uint64_t tasks_ = 0;
};

/// Candidates of one service with this entry's view of their load. A choice
/// takes time logarithmic in the number of candidates. Not thread-safe: the
/// dispatcher holds one per service under its lock.
///
/// Sidecars whose upstream fails more often than the others' are ejected (see
/// EjectionPolicy). New ones and those of a returned zone are ramped up,
/// except while there is no other to use and while the router itself is new.
class Router
{
public:
  explicit Router(RouterOptions aOptions);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Adds a candidate or replaces its zone and load.
  void Upsert(const Candidate& aCandidate);
  void Erase(MemberId aId);
  /// Takes zones out of and back into use.
  void SetZoneIn(const std::string& aZone, bool aIn);
  /// Marks a sidecar whose upstream runs tasks much slower than the others; it
  /// is used only when the others' slots are full.
  void SetSlow(MemberId aId, bool aSlow);

  /// Changes the options that take effect at once.
  void SetRule(RouteRule aRule);
  void SetEjection(bool aEnabled);
  void SetQueuePerSidecar(uint32_t aTasks);
  void SetRampTime(Millis aTime) { options_.rampTime_ = aTime; }

  /// Returns where the next task goes, or nullopt if no candidate has room.
  /// Counts the task as outstanding there.
  std::optional<MemberId> Choose(const RouteRequest& aRequest, MonoTime aNow);

  /// Takes note of an answer: one task fewer is outstanding. \p aFailed says
  /// that the upstream or its sidecar, not the task's caller, caused a failure
  /// or a refusal.
  void OnAnswer(MemberId aId,
                const LoadReport& aLoad,
                bool aFailed,
                MonoTime aNow);

  size_t size() const { return index_.size(); }
  /// The slots that may be used at \p aNow and their tasks.
  RouterCapacity Capacity(MonoTime aNow);
  size_t EjectedCount() const { return ejection_.EjectedCount(); }

private:
  using Item = uint32_t;

  struct Entry
  {
    Candidate candidate_;
    /// Tasks of this entry that are not answered yet.
    uint32_t outstanding_ = 0;
    /// Tasks of other entries by the newest report.
    uint32_t others_ = 0;
    MonoTime reportedAt_;
    Ramp ramp_;
    /// Slots that may be used now.
    uint32_t usableSlots_ = 0;
    bool zoneIn_ = true;
    bool slow_ = false;
    uint64_t lastChosen_ = 0;
    MonoTime timerAt_ = MonoTime::max();
    /// This candidate's part of capacity_.
    RouterCapacity counted_;
  };

  /// A candidate that was changed by a function without a time.
  struct Unstamped
  {
    MemberId id_;
    bool ramp_ = false;
  };

  using Timer = std::pair<MonoTime, Item>;
  using Timers = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

  Entry* Find(MemberId aId);
  Item Allocate();
  void NoteLoad(Entry& aEntry, const LoadReport& aLoad) const;
  uint32_t Tasks(const Entry& aEntry) const;
  bool InUse(const Entry& aEntry) const;
  bool HasRoom(const Entry& aEntry) const;
  /// Brings the heap and the capacity up to date with one candidate.
  void Refresh(Item aItem);
  void RefreshAll();
  void Assign(Item aItem);

  void Advance(MonoTime aNow);
  void Stamp(const Unstamped& aUnstamped, MonoTime aNow);
  void RunTimer(Item aItem, MonoTime aNow);
  void Schedule(Item aItem, MonoTime aNow);
  bool MayRamp(MonoTime aNow) const;

  std::optional<Item> PickProbe(const RouteRequest& aRequest, MonoTime aNow);
  std::optional<Item> Pick(const RouteRequest& aRequest);
  Item PickBy(const LeastLoaded& aRule);
  Item PickBy(const ZoneFirst& aRule);
  Item PickBy(const StaleLeastLoaded& aRule);
  Item PickBy(const Random& aRule);
  Item PickBy(const RoundRobin& aRule);
  Item PickBy(const PowerOfTwo& aRule);

  bool IsForeign(const Entry& aEntry) const;
  /// Tasks per slot in units of kLoadUnit.
  uint64_t LoadOf(const Entry& aEntry, uint32_t aTasks) const;
  uint64_t Key(const Entry& aEntry, uint64_t aLoad);
  uint64_t KeyBy(const LeastLoaded& aRule, const Entry& aEntry);
  uint64_t KeyBy(const ZoneFirst& aRule, const Entry& aEntry);
  uint64_t KeyBy(const StaleLeastLoaded& aRule, const Entry& aEntry);
  uint64_t KeyBy(const Random& aRule, const Entry& aEntry);
  uint64_t KeyBy(const RoundRobin& aRule, const Entry& aEntry);
  uint64_t KeyBy(const PowerOfTwo& aRule, const Entry& aEntry);

  RouterOptions options_;
  std::vector<Entry> entries_;
  std::vector<Item> freeItems_;
  std::unordered_map<MemberId, Item> index_;
  /// The candidates with room, ranked by the rule.
  std::unique_ptr<IndexedHeap> choices_;
  EjectionPolicy ejection_;
  std::set<std::string> zonesOut_;
  std::vector<Unstamped> unstamped_;
  Timers timers_;
  RouterCapacity capacity_;
  std::optional<MonoTime> firstUse_;
  uint64_t choiceCount_ = 0;
  std::mt19937_64 random_;
};

} // namespace cornelfront
