#pragma once

/// \file
/// Load balancing: chooses the sidecar that gets the next task.

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

/// Load of an upstream, which its sidecar reports with every answer.
struct LoadReport
{
  uint32_t slots_ = 0;
  /// Tasks that are running, of all entries.
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
  /// Whether the task may run more than once. Such tasks are preferred as
  /// probes of ejected sidecars.
  bool repeatable_ = false;
};

/// Fewest outstanding tasks per slot; among equals, sidecars of the own zone
/// first.
struct LeastLoaded
{};

/// Sidecars of the own zone while they have free slots, then those of other
/// zones, in each case by fewest tasks per slot. While every entry finds free
/// slots in its own zone, entries of different zones do not choose the same
/// slot because of outdated reports, and no task crosses zones.
struct ZoneFirst
{};

/// Baseline: least loaded by the last reports only, ignoring the tasks sent
/// since.
struct StaleLeastLoaded
{};

/// Baseline: a random candidate with free capacity.
struct Random
{};

/// Baseline: the candidate with free capacity that was chosen longest ago.
struct RoundRobin
{};

/// Baseline: the less loaded of two random candidates with free capacity. See
/// Mitzenmacher, "The power of two choices", 2001.
struct PowerOfTwo
{};

/// Rule by which a router ranks the candidates.
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
  /// Number of tasks that may wait at a sidecar in addition to those in its
  /// slots. Further tasks stay in the queue of the entry.
  uint32_t queuePerSidecar_ = 2;
  /// Seed of the random order of equally ranked candidates; must differ between
  /// entries.
  uint64_t seed_ = 1;
  EjectionOptions ejection_;
  /// Time over which the slots of a new or returned sidecar come into use.
  Millis rampTime_{ 3000 };
  /// Time after which the reported number of tasks of other entries is halved
  /// if no newer report has arrived.
  Millis reportLifetime_{ 500 };
};

/// Slots that a router may currently use and the tasks outstanding on them.
struct RouterCapacity
{
  uint64_t slots_ = 0;
  /// Running and waiting tasks of all entries, as far as known.
  uint64_t tasks_ = 0;
};

/// The candidates of one service and their load as known to this entry.
/// Choosing one takes time logarithmic in the number of candidates. Not
/// thread-safe: the dispatcher holds one router per service and guards it with
/// its lock.
///
/// Sidecars whose upstream fails more often than the others are ejected (see
/// EjectionPolicy). New sidecars and those of a returned zone are ramped up,
/// except while there is no other sidecar to use or while the router itself is
/// new.
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
  /// Takes a zone out of use or puts it back into use.
  void SetZoneEnabled(const std::string& aZone, bool aEnabled);
  /// Marks a sidecar whose upstream runs tasks much more slowly than the
  /// others. It is used only when the slots of the others are full.
  void SetSlow(MemberId aId, bool aSlow);

  /// Each of the following changes one option with immediate effect.
  void SetRule(RouteRule aRule);
  void SetEjection(bool aEnabled);
  void SetQueuePerSidecar(uint32_t aTasks);
  void SetRampTime(Millis aTime) { options_.rampTime_ = aTime; }

  /// Returns the sidecar for the next task, or nullopt if no candidate has free
  /// capacity. Counts the task as outstanding at that sidecar.
  std::optional<MemberId> Choose(const RouteRequest& aRequest, MonoTime aNow);

  /// Records an answer, after which one task fewer is outstanding. \p aFailed
  /// is true if the upstream or its sidecar, not the caller of the task, caused
  /// a failure or a refusal.
  void OnAnswer(MemberId aId,
                const LoadReport& aLoad,
                bool aFailed,
                MonoTime aNow);

  size_t size() const { return index_.size(); }
  /// Returns the slots that may be used at \p aNow and their tasks.
  RouterCapacity Capacity(MonoTime aNow);
  size_t EjectedCount() const { return ejection_.EjectedCount(); }

private:
  using Item = uint32_t;

  struct Entry
  {
    Candidate candidate_;
    /// Tasks of this entry that have not been answered yet.
    uint32_t outstanding_ = 0;
    /// Tasks of other entries, from the newest report.
    uint32_t otherTasks_ = 0;
    MonoTime reportedAt_;
    Ramp ramp_;
    /// Slots that may currently be used.
    uint32_t usableSlots_ = 0;
    bool zoneEnabled_ = true;
    bool slow_ = false;
    uint64_t lastChosen_ = 0;
    MonoTime timerAt_ = MonoTime::max();
    /// The part of capacity_ that this candidate contributes.
    RouterCapacity contribution_;
  };

  /// A change made by a function that takes no time; it is completed at the
  /// next call that does.
  struct PendingUpdate
  {
    MemberId id_;
    bool ramp_ = false;
  };

  using Timer = std::pair<MonoTime, Item>;
  using Timers = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

  Entry* Find(MemberId aId);
  Item Allocate();
  void UpdateLoad(Entry& aEntry, const LoadReport& aLoad) const;
  uint32_t Tasks(const Entry& aEntry) const;
  bool IsUsable(const Entry& aEntry) const;
  bool HasFreeCapacity(const Entry& aEntry) const;
  /// Updates the heap and the capacity after a change of one candidate.
  void Refresh(Item aItem);
  void RefreshAll();
  void Assign(Item aItem);

  void Advance(MonoTime aNow);
  void ApplyUpdate(const PendingUpdate& aUpdate, MonoTime aNow);
  void RunTimer(Item aItem, MonoTime aNow);
  void ScheduleTimer(Item aItem, MonoTime aNow);
  bool MayRamp(MonoTime aNow) const;

  std::optional<Item> PickProbe(const RouteRequest& aRequest, MonoTime aNow);
  std::optional<Item> Pick(const RouteRequest& aRequest);
  Item PickBy(const LeastLoaded& aRule);
  Item PickBy(const ZoneFirst& aRule);
  Item PickBy(const StaleLeastLoaded& aRule);
  Item PickBy(const Random& aRule);
  Item PickBy(const RoundRobin& aRule);
  Item PickBy(const PowerOfTwo& aRule);

  bool IsRemote(const Entry& aEntry) const;
  /// Tasks per slot in units of kLoadUnit.
  uint64_t LoadOf(const Entry& aEntry, uint32_t aTasks) const;
  uint64_t MakeRank(const Entry& aEntry, uint64_t aLoad);
  uint64_t RankBy(const LeastLoaded& aRule, const Entry& aEntry);
  uint64_t RankBy(const ZoneFirst& aRule, const Entry& aEntry);
  uint64_t RankBy(const StaleLeastLoaded& aRule, const Entry& aEntry);
  uint64_t RankBy(const Random& aRule, const Entry& aEntry);
  uint64_t RankBy(const RoundRobin& aRule, const Entry& aEntry);
  uint64_t RankBy(const PowerOfTwo& aRule, const Entry& aEntry);

  RouterOptions options_;
  std::vector<Entry> entries_;
  std::vector<Item> freeItems_;
  std::unordered_map<MemberId, Item> index_;
  /// The candidates with free capacity, ranked by the rule.
  std::unique_ptr<IndexedHeap> candidates_;
  EjectionPolicy ejection_;
  std::set<std::string> zonesOut_;
  std::vector<PendingUpdate> pendingUpdates_;
  Timers timers_;
  RouterCapacity capacity_;
  std::optional<MonoTime> firstUse_;
  uint64_t choiceCount_ = 0;
  std::mt19937_64 random_;
};

} // namespace cornelfront
