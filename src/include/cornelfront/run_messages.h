#pragma once

/// \file
/// Messages between an entry that owns jobs and the sidecars that start their
/// tasks. The sidecar opens the connection; its first messages are Hello and
/// HeldRuns.

#include "cornelfront/job.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelfront {

/// Number of priorities, 0 being the most urgent; higher values are treated as
/// the last one.
constexpr size_t kPriorities = 4;

/// Identifies one run of a task. The runs of a task are numbered from 1.
struct RunKey
{
  JobTaskId task_;
  uint32_t run_ = 0;

  auto operator<=>(const RunKey&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(task_, run_);
  }
};

/// Formats as "<task>#<run>".
std::string
ToString(const RunKey& aKey);

struct RunOrder
{
  uint32_t index_ = 0;
  uint32_t run_ = 0;
  /// The run is returned as not started if it would have to wait in the
  /// sidecar, so that the entry can place it elsewhere.
  bool onlyIfFree_ = false;
  /// Run number that the upstream must be given, because an order under it may
  /// still be carried out there; 0 if it may be any. The run is returned as not
  /// started if the upstream refuses this number.
  uint32_t upstreamNumber_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(index_, run_, onlyIfFree_, upstreamNumber_);
  }
};

/// Starts tasks of one step of a job; RunReports reports the end of each run
/// once.
struct StartRuns
{
  std::string job_;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  std::string payload_;
  std::string service_;
  Resources resources_;
  uint8_t priority_ = 0;
  Millis estimate_{ 0 };
  /// Latest start that still meets the job's objective. This and the next field
  /// are counted from receipt by the sidecar.
  Millis timeToLatestStart_{ 0 };
  Millis startTimeout_{ 0 };
  /// Term of the leader that owns the stored job; 0 for best-effort jobs.
  uint64_t term_ = 0;
  std::vector<RunOrder> runs_;

  JobTaskId Task(const RunOrder& aOrder) const
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
             resources_,
             priority_,
             estimate_,
             timeToLatestStart_,
             startTimeout_,
             term_,
             runs_);
  }
};

/// Drops waiting runs and stops running ones; the end of each is still
/// reported.
struct StopRuns
{
  std::vector<RunKey> runs_;
  /// The sender does not wait for the ends: the job may be submitted again, to
  /// any entry, while the runs go on.
  bool abandoned_ = false;
  /// For how long the client may have been gone when this was sent.
  Millis age_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(runs_, abandoned_, age_);
  }
};

struct RunReport
{
  RunKey key_;
  RunEnd end_ = RunEnd::NotStarted;
  /// Time from the acknowledgement of the start to the end; 0 if it never ran.
  Millis runTime_{ 0 };
  /// Time that the run waited in the sidecar.
  Millis waited_{ 0 };
  /// The upstream lists the end until AcknowledgeEnds acknowledges it.
  bool unacknowledged_ = false;
  /// The sidecar found the end at its upstream and holds no such run: an
  /// earlier process beside the upstream may have ordered it, for any entry.
  /// The number in the key is the upstream's.
  bool found_ = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(key_, end_, runTime_, waited_, unacknowledged_, found_);
  }
};

/// State of a sidecar's upstream and the resources committed on it.
struct UpstreamReport
{
  std::string service_;
  /// Name of the upstream's current incarnation.
  std::string upstream_;
  /// False while there is no upstream, it drains, or its zone is out of
  /// service.
  bool ready_ = false;
  Resources capacity_;
  std::vector<std::string> labels_;
  /// Resources of all runs that run, are being started or wait, of all owners.
  Resources committed_;
  /// Queued work by priority, in thousandths of a core times milliseconds.
  std::array<int64_t, kPriorities> backlog_{};
  /// Number of orders received on this link so far.
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

/// A run that takes far longer than estimated and is not about to end.
struct StalledRun
{
  RunKey key_;
  Millis age_{ 0 };
  /// Completed share of the work, in percent.
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
  /// Repeated at intervals while the stall lasts.
  std::vector<StalledRun> stalled_;
  /// Runs of stored jobs that have started.
  std::vector<RunKey> started_;
  UpstreamReport upstream_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(reports_, stalled_, started_, upstream_);
  }
};

/// The sender has become the leader of the stored jobs. The sidecar makes it
/// the owner of their runs, answers with HeldRuns, and rejects orders of lower
/// terms.
struct TakeOver
{
  uint64_t term_ = 0;
  /// As LeaderAuthority::left_.
  Millis authority_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_, authority_);
  }
};

/// How long the sender may still act as the leader of this term. Sent whenever
/// the store has confirmed it again. A leader that only stays linked, without
/// the store, keeps nothing alive beyond this time.
struct LeaderAuthority
{
  uint64_t term_ = 0;
  /// Counted from the sending.
  Millis left_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_, left_);
  }
};

/// Acknowledges ends that are in the store or not needed.
struct AcknowledgeEnds
{
  std::vector<RunKey> runs_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(runs_);
  }
};

/// Runs of the receiving entry that the sidecar holds when a link is
/// established. Any other run that the entry ordered earlier is not there and
/// will never start.
struct HeldRuns
{
  /// Term of the TakeOver that this answers; 0 when a link is established.
  uint64_t term_ = 0;
  std::vector<RunKey> runs_;
  /// Recent reports, which may have been lost with the previous link.
  std::vector<RunReport> reports_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_, runs_, reports_);
  }
};

/// How certain it is that an upstream has crashed.
enum class CrashState : uint8_t
{
  /// It does not answer.
  Suspected,
  /// Another incarnation has taken its place, although it had not announced its
  /// end.
  Proven,
  /// It answers again, or has announced its end.
  Withdrawn,
};

std::string_view
ToString(CrashState aState);

struct UpstreamCrash
{
  /// Identifies the crash among those of one sidecar.
  uint64_t number_ = 0;
  CrashState state_ = CrashState::Suspected;
  /// The tasks that ran there or were being started.
  std::vector<JobTaskId> tasks_;
  /// Those of them that are not known to have begun: their orders had no
  /// answer, and no poll has listed them.
  std::vector<JobTaskId> unanswered_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(number_, state_, tasks_, unanswered_);
  }
};

/// Crashes of a sidecar's upstream. A sidecar sends new ones to all entries,
/// and all that it remembers when a link is established, before the ends of the
/// runs that the upstream had.
struct UpstreamCrashes
{
  std::vector<UpstreamCrash> crashes_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(crashes_);
  }
};

/// Where a task may be started of which an order may still be carried out.
enum class LateOrderState : uint8_t
{
  /// Nowhere: the sender can't tell whether the task runs on its upstream.
  Held,
  /// At the sender only, under the number of the order: a restart of its
  /// upstream, which would let the order begin a run, also ends the run that
  /// the task has there, and orders with one number begin one run.
  OnlyHere,
  /// Anywhere; the order is not carried out any more.
  Settled,
};

std::string_view
ToString(LateOrderState aState);

struct LateOrder
{
  JobTaskId task_;
  LateOrderState state_ = LateOrderState::Held;
  /// Time after which the order is not carried out any more.
  Millis left_{ 0 };
  /// Run number that the upstream was given; 0 with Settled.
  uint32_t upstreamNumber_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(task_, state_, left_, upstreamNumber_);
  }
};

/// Orders without an answer that the sender's upstream, or a later incarnation
/// of it with the same id, may still carry out.
struct LateOrders
{
  /// True if these are all of the sender's, false if they are what has changed.
  bool all_ = false;
  std::vector<LateOrder> orders_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(all_, orders_);
  }
};

} // namespace cornelfront
