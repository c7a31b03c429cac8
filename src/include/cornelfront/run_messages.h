#pragma once

/// \file
/// Messages between an entry that owns jobs and the sidecars that start their
/// tasks. The sidecar dials; its first messages are Hello and HeldRuns.

#include "cornelfront/job.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelfront {

/// Priorities beyond the last are treated as the last.
constexpr size_t kPriorities = 4;

/// One start of one task; runs of a task are numbered upwards from 1.
struct RunKey
{
  TaskName task_;
  uint32_t run_ = 0;

  auto operator<=>(const RunKey&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(task_, run_);
  }
};

/// "<task>#<run>".
std::string
ToString(const RunKey& aKey);

struct RunOrder
{
  uint32_t index_ = 0;
  uint32_t run_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(index_, run_);
  }
};

/// Starts tasks of one step of a job; each is reported once in RunReports.
struct StartRuns
{
  std::string job_;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  std::string payload_;
  std::string service_;
  Room room_;
  uint8_t priority_ = 0;
  Millis estimate_{ 0 };
  /// A run that starts later misses its job's objective. This and the next are
  /// counted from receipt by the sidecar.
  Millis startGoal_{ 0 };
  Millis startWithin_{ 0 };
  /// Of the leader that owns the stored job; 0 for best-effort jobs.
  uint64_t term_ = 0;
  std::vector<RunOrder> runs_;

  TaskName Task(const RunOrder& aOrder) const
  {
    return { job_, occurrence_, step_, aOrder.index_ };
  }
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(job_,
             occurrence_,
             step_,
             payload_,
             service_,
             room_,
             priority_,
             estimate_,
             startGoal_,
             startWithin_,
             term_,
             runs_);
  }
};

/// Drops runs that wait and stops those that run; each is still reported.
struct StopRuns
{
  std::vector<RunKey> runs_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(runs_);
  }
};

struct RunReport
{
  RunKey key_;
  RunEnd end_ = RunEnd::NotStarted;
  /// From the start's acknowledgement to the end; 0 if it never ran.
  Millis runTime_{ 0 };
  /// Wait in the sidecar before the start.
  Millis waited_{ 0 };
  /// The upstream lists the end until ForgetEnds names it.
  bool kept_ = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(key_, end_, runTime_, waited_, kept_);
  }
};

/// The upstream beside a sidecar and what is committed to it.
struct UpstreamReport
{
  std::string service_;
  /// Name of the upstream's present incarnation.
  std::string upstream_;
  /// False while there is none, it drains, or its zone is out of service.
  bool ready_ = false;
  Room capacity_;
  std::vector<std::string> labels_;
  /// Room of all that runs, is being started or waits, of all owners.
  Room committed_;
  /// Waiting work by priority, in thousandths of a core times milliseconds.
  std::array<int64_t, kPriorities> backlog_{};
  /// Number of orders that arrived on this link so far.
  uint64_t ordersReceived_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_,
             upstream_,
             ready_,
             capacity_,
             labels_,
             committed_,
             backlog_,
             ordersReceived_);
  }
};

/// A run that takes far longer than estimated and won't end soon.
struct StalledRun
{
  RunKey key_;
  Millis age_{ 0 };
  /// Share of the work done, in percent.
  int32_t percent_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(key_, age_, percent_);
  }
};

struct RunReports
{
  std::vector<RunReport> reports_;
  /// Told again from time to time.
  std::vector<StalledRun> stalled_;
  /// Runs of stored jobs that have begun.
  std::vector<RunKey> started_;
  UpstreamReport upstream_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(reports_, stalled_, started_, upstream_);
  }
};

/// The sender has become the leader of the stored jobs: the sidecar hands it
/// their runs, answers with HeldRuns, and takes no orders of lower terms.
struct TakeOver
{
  uint64_t term_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_);
  }
};

/// Ends that are in the store, or of no interest.
struct ForgetEnds
{
  std::vector<RunKey> runs_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(runs_);
  }
};

/// Runs of the receiving entry that the sidecar holds when a link begins. Any
/// other run that the entry ordered earlier is not there and never will be.
struct HeldRuns
{
  /// Of the TakeOver that this answers; 0 when a link begins.
  uint64_t term_ = 0;
  std::vector<RunKey> runs_;
  /// Recent reports, which may have been lost with the link before.
  std::vector<RunReport> reports_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_, runs_, reports_);
  }
};

} // namespace cornelfront
