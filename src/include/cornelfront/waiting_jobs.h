#pragma once

/// \file
/// Jobs that wait until an upstream has room for their tasks.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/job.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelfront {

/// One execution of a job's steps; a scheduled job has several.
struct JobInstance
{
  std::string job_;
  uint32_t occurrence_ = 0;

  auto operator<=>(const JobInstance&) const = default;
};

/// All that decides on which upstreams a task could start now, apart from what
/// its own job runs there.
struct PlacementNeed
{
  std::string service_;
  std::string requiredLabel_;
  Resources resources_;
  uint8_t priority_ = 0;
  bool stored_ = false;
  /// The task has to be the only one on its upstream.
  bool alone_ = false;

  auto operator<=>(const PlacementNeed&) const = default;
};

/// Order in which waiting jobs are tried.
struct WaitRank
{
  uint8_t priority_ = 0;
  MonoTime submitted_;
  JobInstance instance_;
  /// Latest start that still meets the job's objective.
  MonoTime latestStart_;

  auto operator<=>(const WaitRank&) const = default;
};

/// The upstreams for a need.
struct Openings
{
  /// An upstream could run such a task, now or later.
  bool anyUpstream_ = false;
  /// Upstreams that have room for it now, in ascending order.
  std::vector<MemberId> open_;
};

/// Jobs in queues by what their tasks need, so that no job is tried while there
/// is no room for it, and none hides another one. A job that can't be placed
/// although there is room, since it may not have more tasks there, is set apart
/// until other upstreams have room. Not thread-safe.
class WaitingJobs
{
public:
  using FindOpenings = std::function<Openings(const PlacementNeed&)>;

  bool Empty() const { return places_.empty(); }
  bool Holds(const WaitRank& aRank) const { return places_.contains(aRank); }
  /// Number of jobs.
  size_t Size() const { return places_.size(); }

  /// The job waits for an upstream with room; at the moment there is none. A
  /// job may wait for several needs.
  void Add(const PlacementNeed& aNeed, const WaitRank& aRank);
  /// The job can't use the upstreams \p aOpen, which have room.
  void SetApart(const PlacementNeed& aNeed,
                const WaitRank& aRank,
                const std::vector<MemberId>& aOpen);
  /// The job may be able to use upstreams again that it could not use.
  void Wake(const WaitRank& aRank);
  void Erase(const WaitRank& aRank);
  /// Upstreams may run other tasks than before.
  void OnUpstreamsChanged();

  /// A job that waits and one of its needs.
  struct Waiting
  {
    PlacementNeed need_;
    WaitRank rank_;
  };
  /// Returns for each service the first job that is not set apart, in the order
  /// of their rank.
  std::vector<Waiting> FirstOfServices() const;

  /// Begins a pass over the jobs whose needs have room. Looks at a bounded
  /// number of needs; those that are left out come first next time.
  void BeginPass(const FindOpenings& aFindOpenings);
  /// True if an upstream has room for a need of the job.
  bool IsInPass(const WaitRank& aRank) const;
  /// Returns the first job of those that can still meet their objective, or of
  /// the others if \p aLate. The caller tries to place it and, if it still
  /// waits, says so before the next call.
  std::optional<WaitRank> Next(bool aLate, MonoTime aNow);

private:
  /// A job that could not use the upstreams with room when it was tried.
  struct ApartJob
  {
    WaitRank rank_;
    uint64_t epoch_ = 0;
  };

  struct Queue
  {
    std::set<WaitRank> onTime_;
    std::set<WaitRank> late_;
    /// In the order in which they were tried.
    std::map<uint64_t, ApartJob> apart_;
    std::map<WaitRank, uint64_t> apartNumbers_;
    /// Upstreams with room since all jobs that are set apart were tried.
    std::vector<MemberId> open_;
    /// Incremented each time another upstream has room.
    uint64_t epoch_ = 0;

    bool Empty() const
    {
      return onTime_.empty() && late_.empty() && apart_.empty();
    }
    void Erase(const WaitRank& aRank);
  };
  using Queues = std::map<PlacementNeed, Queue>;

  /// Returns the queue of the need, without the job.
  Queues::iterator Place(const PlacementNeed& aNeed, const WaitRank& aRank);
  void Remove(Queues::iterator aQueue);
  /// Takes the queue into the present pass, with the jobs that were not tried
  /// on all of the upstreams \p aOpen.
  void Open(Queues::iterator aQueue, std::vector<MemberId> aOpen);

  Queues queues_;
  /// The queues in which each job is.
  std::map<WaitRank, std::vector<Queues::iterator>> places_;
  /// Needs that an upstream may be able to serve. The others are not looked at
  /// until upstreams change.
  std::set<PlacementNeed> served_;
  std::vector<Queues::iterator> pass_;
  /// The need with which the next pass begins.
  PlacementNeed next_;
  uint64_t apartNumber_ = 0;
};

} // namespace cornelfront
