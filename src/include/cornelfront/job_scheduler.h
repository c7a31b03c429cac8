#pragma once

/// \file
/// Scheduling of the jobs of an entry: admission, placement of tasks on
/// upstreams, restart of tasks, and the answer to the client.

#include "cornelfront/admission_control.h"
#include "cornelfront/clock.h"
#include "cornelfront/crash_ledger.h"
#include "cornelfront/ids.h"
#include "cornelfront/job.h"
#include "cornelfront/late_order_ledger.h"
#include "cornelfront/run_messages.h"
#include "cornelfront/standstill.h"
#include "cornelfront/waiting_jobs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cornelfront {

/// The settings of a configured queue that scheduling needs.
struct JobQueue
{
  std::string name_;
  std::string service_;
  uint8_t priority_ = 0;
  /// Number of failed runs of one task after which its job fails.
  uint32_t attempts_ = 1;
  /// Objective for the response time of a job: stretch_ times its work, plus
  /// slo_.
  double stretch_ = 1.0;
  Millis slo_{ 0 };

  bool operator==(const JobQueue&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(name_, service_, priority_, attempts_, stretch_, slo_);
  }
};

/// A queue as a version of the configuration has it.
struct ConfiguredQueue
{
  JobQueue queue_;
  /// 0 if no version is known that has the queue.
  int64_t version_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(queue_, version_);
  }
};

/// The result of a job, as its client sees it.
enum class JobOutcome : uint8_t
{
  Completed,
  /// A task has used up its attempts.
  Failed,
  /// No task has run, and none will for this submission.
  Refused,
  /// Ended early; tasks may have run.
  GivenUp,
};

std::string_view
ToString(JobOutcome aOutcome);

/// Durable progress of one task of a stored job.
struct TaskProgress
{
  bool done_ = false;
  /// Numbers of the failed runs. A set, since successive leaders may learn of
  /// them in any order and more than once.
  std::set<uint32_t> failedRuns_;
  /// Highest run number that is known to have ended.
  uint32_t endedRun_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(done_, failedRuns_, endedRun_);
  }
};

/// By step and task index; empty until the first run has ended.
using JobProgress = std::vector<std::vector<TaskProgress>>;

/// The end of a run that the sidecar reports until it is acknowledged.
struct UnacknowledgedEnd
{
  MemberId sidecar_;
  RunKey key_;
};

/// Distinguishes several submissions of the same job.
using JobSubmissionId = uint64_t;

struct SendRuns
{
  MemberId sidecar_;
  StartRuns orders_;
  /// The inputs of the placement decision: the predicted wait at this upstream,
  /// and the age of the sidecar's last report.
  Millis predictedWait_{ 0 };
  Millis reportAge_{ 0 };
};

/// For the log: a run ended in another way than success.
struct RunEndEvent
{
  MemberId sidecar_;
  RunReport report_;
  /// Number of failed runs of the task so far.
  size_t failures_ = 0;
};

/// For the log: a stalled run is stopped.
struct StallEvent
{
  MemberId sidecar_;
  StalledRun stalled_;
  /// Slowness of the upstream before this stall.
  double slowness_ = 1.0;
};

/// For the log: an upstream is avoided for some time because most of its runs
/// fail.
struct EjectionEvent
{
  MemberId sidecar_;
  double failedShare_ = 0.0;
  Millis duration_{ 0 };
};

/// For the log: a job is given up, since one of its tasks crashes its
/// upstreams.
struct CrashingTaskEvent
{
  JobTaskId task_;
  std::string queue_;
  /// Number of upstreams that have crashed under it.
  size_t crashes_ = 0;
};

struct SendStops
{
  MemberId sidecar_;
  StopRuns stops_;
};

struct AnswerJob
{
  JobSubmissionId submissionId_ = 0;
  JobOutcome outcome_ = JobOutcome::Refused;
  /// Explanation for the log and the client.
  std::string reason_;
  /// For Refused and GivenUp: time after which the client may submit again.
  Millis retryAfter_{ 0 };
};

/// Progress of a stored job that must be written to the store before the ends
/// that it includes may be acknowledged.
struct SaveJob
{
  JobInstance instance_;
  JobProgress progress_;
  /// Set once the instance has ended.
  std::optional<JobOutcome> outcome_;
  std::string reason_;
  std::vector<UnacknowledgedEnd> ends_;
};

/// Acknowledges ends that are stored or not needed, so that the sidecar can
/// discard them.
struct SendAcknowledgement
{
  MemberId sidecar_;
  AcknowledgeEnds ends_;
};

using JobAction = std::variant<SendRuns,
                               SendStops,
                               AnswerJob,
                               SaveJob,
                               SendAcknowledgement,
                               RunEndEvent,
                               StallEvent,
                               EjectionEvent,
                               CrashingTaskEvent>;

struct JobSchedulerOptions
{
  /// Identity of this entry; determines its order of preference among
  /// upstreams.
  MemberId self_;
  std::string zone_;
  /// A gap between calls longer than this means that the process was suspended;
  /// clients may have submitted their jobs elsewhere meanwhile.
  Millis suspensionThreshold_{ 600 };
  /// A request that may have waited for longer than this is not taken: if its
  /// client left right after it had sent it, it returns 1,300 ms later, and a
  /// run that starts now may go on for RunTableOptions::ownerLease_.
  Millis maxRequestAge_{ 80 };
  /// Time after the loss of a sidecar's link after which its runs of
  /// best-effort jobs are known to have ended: the age at which the sidecar
  /// still accepts a message of this entry, RunTableOptions::ownerLease_ on a
  /// clock that is 2 % slow, and an end that is noticed late (docs/BOUNDS.md).
  Millis lostRunTimeout_{ 2320 };
  /// The same for runs of stored jobs, which a sidecar keeps for longer. The
  /// sidecar may be replaced within a second, then waits
  /// RunTableOptions::firstLeaderTimeout_, then lets the lease lapse.
  Millis lostStoredRunTimeout_{ 6500 };
  /// How long the run numbers of a best-effort job that is gone are remembered;
  /// longer than any of its runs can go on, and than
  /// RunTableOptions::reportRetention_.
  Millis usedRunRetention_{ 10000 };
  /// Maximum time that a task waits in a sidecar; after that it is placed
  /// again.
  Millis startTimeout_{ 1500 };
  /// Added to the cost of an upstream in another zone.
  Millis otherZonePenalty_{ 2 };
  /// Range of a cost that differs for each pair of entry and upstream, so that
  /// entries with the same view of the upstreams choose different ones.
  Millis preferenceRange_{ 20 };
  Millis refusalRetryAfter_{ 1000 };
  /// Factor on the expected run time of a task away from its preferred rack.
  double otherRackFactor_ = 1.5;
  /// Slowness that is assumed of an upstream on which a run stalled.
  double stalledSlowness_ = 4.0;
  /// A stall is attributed to the upstream if the run will take this many times
  /// as long as other runs of its step, or if the upstream's slowness is at
  /// least this factor.
  double slowRunFactor_ = 2.5;
  /// A task that has been stopped this often because of a stall is left
  /// running.
  int maxStalls_ = 2;
  /// Time constant of the decay of an upstream's slowness: after this time what
  /// is known of it has lost most of its weight (63 %).
  Millis slownessDecay_{ 4000 };
  /// Stored jobs wait in the scheduler while every upstream has a longer
  /// predicted wait than this, so that the order can still change.
  Millis maxStoredWait_{ 100 };
  /// Minimum time between two placement attempts for waiting jobs.
  Millis placeInterval_{ 5 };
  /// A stored job that has waited for longer has an upstream reserved, on which
  /// later jobs start nothing: smaller tasks would fill it again and again.
  Millis reserveAfter_{ 1000 };
  /// Longest time of a reservation, and time until the next one for the same
  /// job: what runs there may never end, and other jobs may need the upstream.
  Millis reserveTime_{ 2000 };
  /// Minimum time between two looks at the reservations.
  Millis reserveInterval_{ 100 };
  /// The same for jobs whose tasks wait for one upstream, or for the end of a
  /// limit.
  Millis placeLimitedInterval_{ 50 };
  AdmissionOptions admission_;
  /// A task whose orders were returned this often is queued in a sidecar; if it
  /// may start at one upstream only, it waits for the end of that.
  int maxReturned_ = 3;
  /// Time for which an upstream is avoided once most of its runs fail.
  Millis ejectionTime_{ 2000 };
  CrashLedgerOptions crashes_;
  /// An order of a run that was lost with its sidecar may be carried out this
  /// long after it was sent; as RunTableOptions::maxOrderDelay_.
  Millis maxOrderDelay_{ 12000 };
  /// The same for stored jobs; as RunTableOptions::maxStoredOrderDelay_.
  Millis maxStoredOrderDelay_{ 6000 };
  /// Share of the upstreams on which tasks are tried alone that other upstreams
  /// have crashed under.
  double isolationShare_ = 0.15;
  /// Tasks with a longer estimate are not tried alone, since they would keep an
  /// upstream to themselves for too long.
  Millis maxIsolatedRun_{ 2000 };
};

/// Schedules the best-effort jobs of this entry and, on the leader, the stored
/// jobs. Performs no I/O: each call may queue actions, which the caller takes
/// with TakeActions. Not thread-safe. All times are from BootNow.
class JobScheduler
{
public:
  explicit JobScheduler(JobSchedulerOptions aOptions);

  /// Accepts a job or answers it at once. \p aDeadline is the time at which its
  /// client stops waiting, \p aAge the longest time for which the request can
  /// have waited here.
  void Submit(JobSubmissionId aSubmissionId,
              const JobDescription& aJob,
              const JobQueue& aQueue,
              MonoTime aDeadline,
              MonoTime aNow,
              Millis aAge = Millis(0));
  /// The client has disconnected; the job is dropped without an answer.
  void OnClientDisconnected(JobSubmissionId aSubmissionId, MonoTime aNow);
  /// Cancels the job with this id and returns whether there is one. A
  /// best-effort job is answered as given up; a stored job is dropped with all
  /// its instances.
  bool Cancel(const std::string& aJob, MonoTime aNow);

  /// This process has become the leader of the stored jobs. It has no authority
  /// until SetAuthority grants it.
  void BecomeLeader(uint64_t aTerm, MonoTime aNow);
  /// Another process leads: drops the stored jobs and leaves their runs to it.
  void BecomeFollower(MonoTime aNow);
  /// Runs of stored jobs start only before \p aUntil; from then on, those that
  /// run are stopped.
  void SetAuthority(MonoTime aUntil, MonoTime aNow);
  /// Runs of stored jobs are placed only on these sidecars. A leader that has
  /// read a registration has read all claims before it, and a later leader
  /// finds the registration before its own claim.
  void SetRegisteredSidecars(std::set<MemberId> aSidecars);
  /// While true, runs of an earlier leader may still be discovered, so jobs
  /// that it may have started are not placed.
  void SetTakingOver(bool aTakingOver, MonoTime aNow);
  /// Adds a stored job. \p aProgress is empty if nothing is known; \p aAge is
  /// the time since the job was due; \p aFromEarlierLeader says that there may
  /// be runs that this process does not know.
  void Restore(const JobDescription& aJob,
               uint32_t aOccurrence,
               const JobQueue& aQueue,
               const JobProgress& aProgress,
               Millis aAge,
               bool aFromEarlierLeader,
               MonoTime aNow);
  /// The configuration of the queue of a stored instance has changed. Runs go
  /// on; what starts from now on follows the new one.
  void SetQueue(const JobInstance& aInstance,
                const JobQueue& aQueue,
                MonoTime aNow);
  /// Called once the ends of a SaveJob are in the store.
  void OnSaved(const std::vector<UnacknowledgedEnd>& aEnds);
  /// Instances that the scheduler does not hold, but of which sidecars have
  /// reported ends. These are kept without acknowledgement until the instance
  /// is restored, or until they are known not to be needed.
  std::vector<JobInstance> InstancesOfKeptEnds() const;
  /// Keeps ends of an instance that is being closed or cancelled.
  void KeepEnds(const JobInstance& aInstance,
                const std::vector<UnacknowledgedEnd>& aEnds);
  /// Acknowledges the kept ends of an instance that is closed in the store.
  void AcknowledgeKeptEnds(const JobInstance& aInstance);
  bool HoldsInstance(const JobInstance& aInstance) const
  {
    return jobs_.contains(aInstance);
  }

  void SetZonesOut(std::set<std::string> aZones, MonoTime aNow);
  /// A link to a sidecar has been established; it may replace an older one.
  void OnSidecarLinked(MemberId aSidecar,
                       const std::string& aZone,
                       MonoTime aNow);
  /// \p aSidecar has been replaced by a new incarnation, which reports the runs
  /// that it knows through OnHeldRuns.
  void OnSidecarReplaced(MemberId aSidecar,
                         MemberId aReplacement,
                         MonoTime aNow);
  /// Processes the runs that a sidecar holds. Runs expected there but not
  /// listed have ended as \p aMissingEnd.
  void OnHeldRuns(MemberId aSidecar,
                  const HeldRuns& aHeld,
                  RunEnd aMissingEnd,
                  MonoTime aNow);
  /// A sidecar has reported the runs of earlier leaders to this leader.
  void OnTakenOver(MemberId aSidecar, const HeldRuns& aHeld, MonoTime aNow);
  void OnReports(MemberId aSidecar, const RunReports& aReports, MonoTime aNow);
  /// Upstreams have crashed, under runs of this entry or of others. Jobs with a
  /// task that crashes its upstreams are answered as failed.
  void OnUpstreamCrashes(MemberId aSidecar,
                         const UpstreamCrashes& aCrashes,
                         MonoTime aNow);
  /// Orders without an answer that may still be carried out; they limit where
  /// their tasks may be started.
  void OnLateOrders(MemberId aSidecar,
                    const LateOrders& aOrders,
                    MonoTime aNow);
  /// The link to a sidecar has ended; the sidecar may still hold runs.
  void OnSidecarLost(MemberId aSidecar, MonoTime aNow);
  /// Number of tasks of which a late order is known.
  size_t LimitedTasks() const { return lateOrders_.Size(); }

  void Tick(MonoTime aNow);

  std::vector<JobAction> TakeActions();

  /// Number of accepted best-effort jobs of a queue of which no task has been
  /// sent.
  size_t Pending(const std::string& aQueue) const;
  /// True if a task of the stored instance has started.
  bool HasStarted(const JobInstance& aInstance) const;
  /// Empty if the scheduler does not hold the instance.
  JobProgress Progress(const JobInstance& aInstance) const;
  size_t Jobs() const { return jobs_.size(); }
  /// True if at least one upstream can be sent work.
  bool HasReadyUpstream() const;
  /// True if runs at this sidecar have not ended yet.
  bool HasOpenRuns(MemberId aSidecar) const;

private:
  enum class TaskState : uint8_t
  {
    /// Steps that this one depends on have not finished.
    Blocked,
    Ready,
    Sent,
    Done,
  };

  struct Task
  {
    TaskState state_ = TaskState::Blocked;
    uint32_t run_ = 0;
    std::set<uint32_t> failedRuns_;
    /// Highest run number that is known to have ended: for a stored job, of its
    /// runs; for others, of those that sidecars found at their upstreams.
    uint32_t endedRun_ = 0;
    MemberId sidecar_;
    MonoTime sentAt_;
    bool stopSent_ = false;
    /// Number of orders that a sidecar returned without a start.
    int returned_ = 0;
    /// Number of orders that were returned by the one upstream at which the
    /// task may start.
    int returnedThere_ = 0;
    /// Number of runs that were stopped because they stalled.
    int stalls_ = 0;
    /// Its last order is for a run that has to be alone.
    bool alone_ = false;
    /// It was placed at the one upstream at which it may start.
    bool limited_ = false;
    /// Such an order was returned without a start, since the upstream did not
    /// become empty in time.
    bool couldNotRunAlone_ = false;
    /// Sidecars of the upstreams on which a run of this task did not succeed.
    std::set<MemberId> avoidedSidecars_;
  };

  struct Step
  {
    std::vector<Task> tasks_;
    uint32_t openTasks_ = 0;
    /// Longest run time among the finished tasks; 0 if none has finished.
    Millis longestRun_{ 0 };
  };

  /// A task could not be placed.
  struct BlockedNeed
  {
    PlacementNeed need_;
    /// Upstreams that have room for it, but not for this job.
    std::vector<MemberId> open_;
  };

  struct PlacementObstacles
  {
    /// Why tasks wait that may run on any upstream.
    std::vector<BlockedNeed> blocked_;
    /// No upstream may run a task of a best-effort job, however little it has
    /// to do.
    bool noUpstream_ = false;
    /// A task has to wait for one upstream, or for the end of a limit.
    bool limited_ = false;
  };

  struct Job
  {
    JobSubmissionId submissionId_ = 0;
    uint32_t occurrence_ = 0;
    bool stored_ = false;
    /// Runs that an earlier leader started may exist.
    bool fromEarlierLeader_ = false;
    /// Ends that are not in the store yet.
    std::vector<UnacknowledgedEnd> unsaved_;
    JobDescription spec_;
    JobQueue queue_;
    MonoTime submitted_;
    /// Latest start of the steps that may run now that still meets the
    /// objective.
    MonoTime latestStart_;
    MonoTime deadline_;
    std::vector<Step> steps_;
    bool anySent_ = false;
    /// Why tasks of it could not be placed at its last placement.
    PlacementObstacles obstacles_;
    bool hasStarted_ = false;
    /// A run may have started, so the job can no longer be refused.
    bool mayHaveRun_ = false;
  };

  /// A run that was ordered and has not ended.
  struct OrderedRun
  {
    /// Run number that the upstream is given.
    uint32_t upstreamNumber_ = 0;
    /// It was ordered from an earlier process beside the same upstream.
    bool inherited_ = false;
  };
  struct Sidecar
  {
    std::string zone_;
    bool linked_ = false;
    MonoTime lostAt_;
    UpstreamReport report_;
    MonoTime reportedAt_;
    /// Number of orders sent on the current link.
    uint64_t ordersSent_ = 0;
    struct Order
    {
      uint64_t number_;
      Resources resources_;
      int64_t work_;
    };
    /// Orders that the sidecar's last report does not include yet.
    std::deque<Order> unreported_;
    std::map<RunKey, OrderedRun> runs_;
    /// Share of the preference range that this entry adds to the cost of the
    /// upstream.
    double preference_ = 0.0;
    /// Run time of all tasks on this upstream, exponentially smoothed.
    double meanRunMs_ = 200.0;
    /// Ratio of run times on this upstream to those on all, exponentially
    /// smoothed.
    double slowness_ = 1.0;
    /// Share of failed runs, exponentially smoothed.
    double failures_ = 0.0;
    /// Until this time tasks are sent here only if no other upstream is
    /// eligible.
    MonoTime avoidUntil_;
  };
  using Sidecars = std::map<MemberId, Sidecar>;

  /// Run numbers of a best-effort job that upstreams may know.
  struct UsedRuns
  {
    uint32_t highestRun_ = 0;
    MonoTime since_;
  };

  struct KeptEnd
  {
    MemberId sidecar_;
    RunReport report_;
  };

  /// An upstream that may run the tasks of a step, with the costs of the next
  /// one.
  struct Candidate
  {
    Sidecars::iterator sidecar_;
    bool avoided_ = false;
    /// Takes tasks that have to run alone. All entries choose the same
    /// upstreams for that.
    bool isolates_ = false;
    /// Number of tasks of the step that have been sent there.
    uint32_t tasksThere_ = 0;
    double waitMs_ = 0.0;
    double costMs_ = 0.0;
  };

  /// An upstream that is kept for a waiting job.
  struct Reservation
  {
    MemberId sidecar_;
    WaitRank for_;
    MonoTime since_;
    bool active_ = false;
  };

  /// The orders of one placement, by sidecar and by whether the runs have to be
  /// alone there.
  using Sends = std::map<std::pair<MemberId, bool>, SendRuns>;

  /// The placement of the tasks of one step.
  struct StepPlacement
  {
    /// Empty until a task needs them that may run anywhere.
    std::optional<std::vector<Candidate>> candidates_;
    /// No upstream is left for a task that may run anywhere, beside others.
    bool full_ = false;
    Sends sends_;
  };

  /// Mean run time of a queue's tasks, from its own runs.
  struct Durations
  {
    double meanMs_ = 0.0;
    bool known_ = false;
  };

  void DetectSuspension(MonoTime aNow);
  static JobInstance InstanceOf(const Job& aJob)
  {
    return { aJob.spec_.id_, aJob.occurrence_ };
  }
  static JobInstance InstanceOf(const JobTaskId& aTaskId)
  {
    return { aTaskId.job_, aTaskId.occurrence_ };
  }
  Job* FindJob(const JobInstance& aInstance);
  Task* FindTask(const JobTaskId& aTaskId);
  bool HasAuthority(MonoTime aNow) const
  {
    return term_ > 0 && aNow < authorityUntil_;
  }
  bool MayPlace(const Job& aJob, MonoTime aNow) const;
  /// Stops the runs of stored jobs if this process leads without authority.
  void StopRunsWithoutAuthority(MonoTime aNow);
  void AdoptRun(MemberId aSidecar, const RunKey& aKey, MonoTime aNow);
  /// Processes the end of a run that is not current here and that an earlier
  /// leader may have started.
  /// True if the end, which may have been told before, changes what is known of
  /// its task.
  static bool CountsStoredEnd(const Job& aJob, const RunReport& aReport);
  void OnStoredEnd(MemberId aSidecar, const RunReport& aReport, MonoTime aNow);
  void KeepEnd(const JobInstance& aInstance, const KeptEnd& aEnd);
  /// Counts the kept ends of a restored instance, which may end it.
  void ReplayKeptEnds(const JobInstance& aInstance, MonoTime aNow);
  void RecordUnsaved(Job& aJob,
                     MemberId aSidecar,
                     const RunReport& aReport,
                     Task& aTask);
  static JobProgress ProgressOf(const Job& aJob);
  void Save(Job& aJob, std::optional<JobOutcome> aOutcome, std::string aReason);
  /// Answers a submission that may be too old to be taken.
  void RejectOld(JobSubmissionId aSubmissionId, const std::string& aJob);
  bool Reattach(JobSubmissionId aSubmissionId,
                const std::string& aJob,
                MonoTime aDeadline);
  /// Places the tasks that are ready. May end the job and remove it.
  void PlaceJob(Job& aJob, MonoTime aNow);
  /// Fails a job of which a task crashes its upstreams, and returns whether it
  /// did.
  bool FailIfCrashing(Job& aJob);
  /// Fails a stored job of which a task has used up the attempts of its queue,
  /// and returns whether it did.
  bool FailIfOutOfAttempts(Job& aJob);
  /// Returns where the task may be started now: it may crash its upstream, or
  /// an order of it may still be carried out.
  StartLimit LimitOf(const JobTaskId& aTaskId) const;
  /// Records a run that was lost with its sidecar. \p aReplaced says that this
  /// is a new process.
  void RecordLostOrder(MemberId aSidecar,
                       const RunKey& aKey,
                       const OrderedRun& aRun,
                       bool aReplaced,
                       MonoTime aNow);
  /// A sidecar lists a run that it orders under another number than its own.
  void NoteUpstreamNumber(MemberId aSidecar, const LateOrder& aOrder);
  void PlaceJobsOf(const std::vector<JobTaskId>& aTasks, MonoTime aNow);
  /// True if the next run of the task has to be the only one on its upstream.
  bool MustRunAlone(const JobTaskId& aTaskId,
                    const StepSpec& aStep,
                    const Task& aTask) const;
  /// True if tasks may be known that must not be started anywhere, or must be
  /// started alone.
  bool HasLimits() const { return lateOrders_.Size() > 0 || !crashes_.Empty(); }
  /// True if a task of the step may not be started anywhere and under any
  /// number.
  bool HasLimitedTask(const Job& aJob, uint32_t aStep) const;
  void PlaceStep(Job& aJob, uint32_t aStep, MonoTime aNow);
  /// Places a task that may start at one upstream only.
  void PlaceLimitedTask(Job& aJob,
                        const JobTaskId& aTaskId,
                        const StartLimit& aLimit,
                        StepPlacement& aPlacement,
                        MonoTime aNow);
  /// Places a task that may start at any upstream.
  void PlaceFreeTask(Job& aJob,
                     const JobTaskId& aTaskId,
                     const StartLimit& aLimit,
                     StepPlacement& aPlacement,
                     MonoTime aNow);
  /// Raises the run numbers of the tasks that are ready to those that are known
  /// to have ended, and those of a gang to its highest one.
  static void AlignRunNumbers(Step& aStep, bool aGang);
  /// Adds the next run of a task to the orders of the chosen sidecar. A run
  /// that has to be alone takes all resources of its upstream.
  void PlaceTask(Job& aJob,
                 const JobTaskId& aTaskId,
                 Candidate& aChosen,
                 const PlacementNeed& aNeed,
                 const StartLimit& aLimit,
                 Sends& aSends,
                 MonoTime aNow);
  /// Fills in what the orders for all tasks of a step have in common.
  void DescribeStep(const Job& aJob,
                    uint32_t aStep,
                    StartRuns& aOrders,
                    MonoTime aNow) const;
  static WaitRank RankOf(const Job& aJob)
  {
    return { aJob.queue_.priority_,
             aJob.submitted_,
             InstanceOf(aJob),
             aJob.latestStart_ };
  }
  void PlaceWaiting(MonoTime aNow);
  void PlaceWaiting(bool aLate, MonoTime aNow);
  void PlaceAll(const std::set<WaitRank>& aJobs, MonoTime aNow);
  /// Reserves an upstream of each service for the first of its stored jobs, if
  /// that has waited for long.
  void UpdateReservations(MonoTime aNow);
  void PlaceReserved(MonoTime aNow);
  /// Returns the upstream with the shortest predicted wait, or nullopt if none
  /// may run such tasks.
  std::optional<MemberId> FindSoonest(const PlacementNeed& aNeed) const;
  /// True if the upstream is reserved for a job that goes before this one.
  bool IsReservedForOther(MemberId aSidecar, const Job& aJob) const;
  /// Puts the job, which was tried, into the queues of jobs to place.
  void Enqueue(Job& aJob);
  /// Removes the job from the queues of jobs to place.
  void Unqueue(const Job& aJob);
  /// Jobs that no upstream could run are tried again, as an upstream has
  /// changed.
  void RetryParked();
  /// Jobs that were not to be placed may be placed now.
  void ReleaseHeld();
  void PlaceLimited(MonoTime aNow);
  static PlacementNeed NeedOf(const Job& aJob,
                              const StepSpec& aStep,
                              bool aAlone = false);
  /// Returns the upstreams for tasks with this need.
  Openings FindOpenings(const PlacementNeed& aNeed, MonoTime aNow) const;
  /// True if the predicted wait is short enough for a task with this need to be
  /// sent.
  bool HasRoom(const PlacementNeed& aNeed, double aWaitMs) const;
  /// Records that a task could not be placed on any of the candidates.
  void RecordBlocked(Job& aJob,
                     const PlacementNeed& aNeed,
                     const std::vector<Candidate>& aCandidates) const;
  static void CountTasksThere(std::vector<Candidate>& aCandidates,
                              const Job& aJob,
                              uint32_t aStep);
  void UnblockSteps(Job& aJob);
  std::vector<Candidate> FindCandidates(const Job& aJob,
                                        const StepSpec& aStep,
                                        MonoTime aNow);
  /// Adds the sidecar if its upstream may run a task of the step.
  void AddCandidate(std::vector<Candidate>& aCandidates,
                    Sidecars::iterator aSidecar,
                    const PlacementNeed& aNeed,
                    const StepSpec& aStep,
                    double aRunMs,
                    MonoTime aNow);
  void UpdateCosts(Candidate& aCandidate,
                   const PlacementNeed& aNeed,
                   const StepSpec& aStep,
                   double aRunMs) const;
  /// Returns the candidate with the least cost, or nullptr if none may run the
  /// task now. \p aIsolatingOnly leaves out those that take no runs alone.
  Candidate* ChooseCandidate(std::vector<Candidate>& aCandidates,
                             const Job& aJob,
                             const JobTaskId& aTaskId,
                             bool aIsolatingOnly,
                             const PlacementNeed& aNeed) const;
  /// Marks the candidates that take tasks which have to run alone.
  void ChooseIsolating(std::vector<Candidate>& aCandidates) const;
  /// True if the upstream is of the kind that runs such tasks, ready or not.
  static bool Suits(const Sidecar& aSidecar, const PlacementNeed& aNeed);
  /// True if the upstream could run such tasks, leaving aside zones that are
  /// out of service.
  static bool CanRun(const Sidecar& aSidecar, const PlacementNeed& aNeed);
  bool IsEligible(const Sidecar& aSidecar, const PlacementNeed& aNeed) const;
  /// As IsEligible; stored jobs run beside registered sidecars only.
  bool MayBeSent(MemberId aId, const PlacementNeed& aNeed) const;
  static Resources CommittedResources(const Sidecar& aSidecar);
  /// Number of tasks of this size that fit beside all committed work.
  static int64_t FreeSlots(const Sidecar& aSidecar,
                           const Resources& aResources);
  /// Queued work of this and more urgent priorities, in thousandths of a core
  /// times milliseconds.
  static int64_t WorkAhead(const Sidecar& aSidecar, uint8_t aPriority);
  static double PredictedWaitMs(const Sidecar& aSidecar,
                                const PlacementNeed& aNeed);
  /// Cost of a task with expected run time \p aRunMs, besides its wait.
  double PlacementCostMs(const Sidecar& aSidecar,
                         const StepSpec& aStep,
                         double aRunMs) const;
  double ExpectedRunMs(const Job& aJob, const StepSpec& aStep) const;
  /// Predicted time until the last task of the first step can start.
  double AdmissionWaitMs(const Job& aJob) const;
  /// For each step, the length of the critical path from its start to the end
  /// of the job, the step included.
  std::vector<double> CriticalPathsMs(const Job& aJob) const;
  /// Time that the objective leaves beyond the critical path of the job.
  double SlackMs(const Job& aJob) const;
  /// Latest start of the steps that may run now that still meets the objective.
  MonoTime LatestStartOf(const Job& aJob) const;
  /// Recomputes latestStart_. Removes the job from waiting_, whose order
  /// depends on it.
  void UpdateLatestStart(Job& aJob);
  bool RefuseIfInfeasible(Job& aJob, MonoTime aNow);
  static void RecordSent(Sidecar& aSidecar,
                         const Resources& aResources,
                         Millis aEstimate);
  void OnRunEnd(MemberId aSidecar, const RunReport& aReport, MonoTime aNow);
  /// Removes the run that the report is about from those ordered from the
  /// sidecar. Returns false if this entry has not ordered it.
  static bool EraseOrdered(Sidecar& aSidecar, const RunReport& aReport);
  void OnTaskDone(Job& aJob, const JobTaskId& aTaskId, MonoTime aNow);
  /// Returns the highest number that this entry has given to a run of the job
  /// of late, or that a sidecar has found at its upstream; 0 if none.
  uint32_t HighestUsedRun(const std::string& aJob) const;
  void RaiseUsedRuns(const std::string& aJob, uint32_t aRun, MonoTime aNow);
  /// A sidecar has found an end that may be told again by its successor. No
  /// order may get its name from now on.
  void NoteFoundEnd(const RunKey& aKey, MonoTime aNow);
  /// Counts a failed run; fails the job once the attempts are used up.
  void OnTaskFailed(Job& aJob, const RunKey& aKey, MonoTime aNow);
  void RestartGang(Job& aJob, uint32_t aStep);
  void UpdateStatistics(MemberId aSidecar,
                        const Job& aJob,
                        const RunReport& aReport,
                        MonoTime aNow);
  /// Treats the runs of an unreachable sidecar as lost; those of stored jobs
  /// only if \p aStoredToo.
  void MarkRunsLost(MemberId aSidecar, bool aStoredToo, MonoTime aNow);
  void OnStalled(MemberId aSidecar, const StalledRun& aStalled);
  /// True if the upstream rather than the task is the likely cause of a stall.
  bool IsUpstreamSlow(const Sidecar& aSidecar,
                      const Step& aStep,
                      const StalledRun& aStalled) const;
  void DecaySlowness(Millis aElapsed);
  void StopRun(const JobTaskId& aTaskId, Task& aTask);
  void GiveUp(Job& aJob, const std::string& aReason);
  void Finish(Job& aJob,
              JobOutcome aOutcome,
              const std::string& aReason,
              Millis aRetryAfter = Millis(0));
  void RemoveJob(Job& aJob);
  void RecordIfUnlinked(MemberId aSidecar, const RunKey& aKey);
  bool IsFeasible(const Job& aJob) const;
  /// True if upstreams could run the job, but only in zones that the operator
  /// has taken out of service.
  bool IsTakenOut(const Job& aJob) const;
  /// True if no task has started, and none can by an order that was sent.
  static bool HasNotRun(const Job& aJob);

  const JobSchedulerOptions options_;
  std::map<JobInstance, Job> jobs_;
  std::unordered_map<JobSubmissionId, JobInstance> submissions_;
  /// Jobs with tasks that no upstream has room for.
  WaitingJobs waiting_;
  /// Best-effort jobs with tasks that no upstream may run, until an upstream
  /// changes.
  std::set<WaitRank> parked_;
  /// Those of which an upstream has changed.
  std::set<WaitRank> unparked_;
  /// Stored jobs that must not be placed yet: this process has no authority, or
  /// runs of an earlier leader may exist.
  std::set<WaitRank> held_;
  /// Jobs whose tasks wait for one upstream, or for the end of a limit.
  std::set<WaitRank> limited_;
  MonoTime limitedPlacedAt_;
  MonoTime placedAt_;
  /// By service.
  std::map<std::string, Reservation> reservations_;
  MonoTime reservedAt_;
  /// Stored instances with progress that is not in the store yet.
  std::set<JobInstance> unsaved_;
  /// Ends that are being written to the store.
  std::set<RunKey> saving_;
  std::map<JobInstance, std::vector<KeptEnd>> keptEnds_;
  /// Nothing is placed while some kept ends have not been counted yet.
  bool replayingEnds_ = false;
  /// Term of this process as leader; 0 while another process leads.
  uint64_t term_ = 0;
  MonoTime authorityUntil_;
  bool takingOver_ = false;
  std::set<MemberId> registeredSidecars_;
  Sidecars sidecars_;
  /// By id of best-effort jobs, also of those that are not here. The runs of
  /// one that is submitted get higher numbers, so that the end of an earlier
  /// run is not taken for theirs.
  std::map<std::string, UsedRuns> usedRuns_;
  std::set<std::string> zonesOut_;
  std::map<std::string, Durations> durations_;
  CrashLedger crashes_;
  LateOrderLedger lateOrders_;
  MonoTime expiredAt_;
  std::vector<JobAction> actions_;
  MonoTime lastTick_;
  Standstill standstill_;
};

} // namespace cornelfront
