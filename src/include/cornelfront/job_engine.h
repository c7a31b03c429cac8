#pragma once

/// \file
/// What an entry decides about the best-effort jobs that it has taken from
/// clients: whether a job is taken, on which upstream each task starts, when a
/// task starts again, and what the client is told.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/job.h"
#include "cornelfront/run_messages.h"

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

/// A queue of the configuration, as far as jobs are concerned.
struct JobQueue
{
  std::string name_;
  std::string service_;
  uint8_t priority_ = 0;
  /// A task whose runs have failed this often fails its job.
  uint32_t attempts_ = 1;
  /// Objective: stretch times the work of a job, and slo more.
  double stretch_ = 1.0;
  Millis slo_{ 0 };
};

/// How a job ends for its client.
enum class JobOutcome : uint8_t
{
  Completed,
  /// A task has used up its attempts.
  Failed,
  /// Not run, and never will be on this submission.
  Refused,
  /// Given up; tasks may have run.
  GivenUp,
};

std::string_view
ToString(JobOutcome aOutcome);

/// What is known for good of one task of a stored job.
struct TaskProgress
{
  bool done_ = false;
  /// Runs that failed; several leaders may learn of them in any order.
  std::set<uint32_t> failedRuns_;
  /// Highest run that is known to have ended.
  uint32_t endedRun_ = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(done_, failedRuns_, endedRun_);
  }
};

/// By step and index; empty before the first end.
using JobProgress = std::vector<std::vector<TaskProgress>>;

/// One time that the steps of a job run; scheduled jobs have several.
struct JobInstance
{
  std::string job_;
  uint32_t occurrence_ = 0;

  auto operator<=>(const JobInstance&) const = default;
};

/// An end that a sidecar keeps until it is in the store.
struct KeptEnd
{
  MemberId sidecar_;
  RunKey key_;
};

/// Tells one submission from another of the same job.
using JobTicket = uint64_t;

struct SendRuns
{
  MemberId sidecar_;
  StartRuns orders_;
  /// What the choice rests on: the predicted wait there, and the age of the
  /// sidecar's report.
  Millis predictedWait_{ 0 };
  Millis reportAge_{ 0 };
};

/// For the log: a run ended otherwise than well.
struct NoteRunEnd
{
  MemberId sidecar_;
  RunReport report_;
  /// Failed runs of the task so far.
  size_t failures_ = 0;
};

/// For the log: a run is stopped because it stalls.
struct NoteStall
{
  MemberId sidecar_;
  StalledRun stalled_;
  /// Slowness of the upstream, as known before.
  double slowness_ = 1.0;
};

/// For the log: an upstream is avoided for a while, as most runs fail there.
struct NoteAvoided
{
  MemberId sidecar_;
  double failedShare_ = 0.0;
  Millis for_{ 0 };
};

struct SendStops
{
  MemberId sidecar_;
  StopRuns stops_;
};

struct AnswerJob
{
  JobTicket ticket_ = 0;
  JobOutcome outcome_ = JobOutcome::Refused;
  /// Why, for the log and the client.
  std::string reason_;
  /// With Refused and GivenUp: when to come back.
  Millis retryAfter_{ 0 };
};

/// Progress of a stored job that must be written to the store; only then may
/// its ends be forgotten.
struct SaveJob
{
  JobInstance instance_;
  JobProgress progress_;
  /// Set once the instance has ended.
  std::optional<JobOutcome> outcome_;
  std::string reason_;
  std::vector<KeptEnd> ends_;
};

/// Ends that are of no interest.
struct SendForget
{
  MemberId sidecar_;
  ForgetEnds ends_;
};

using JobAction = std::variant<SendRuns,
                               SendStops,
                               AnswerJob,
                               SaveJob,
                               SendForget,
                               NoteRunEnd,
                               NoteStall,
                               NoteAvoided>;

struct JobEngineOptions
{
  std::string zone_;
  /// A pause in calls longer than this means that the process was suspended;
  /// clients may have submitted their jobs elsewhere meanwhile.
  Millis longestPause_{ 600 };
  /// Time after the loss of a sidecar's link after which its runs have ended.
  Millis lostRunsEnd_{ 1000 };
  /// The same for stored jobs, whose runs and ends a sidecar keeps for a while:
  /// it may be replaced within a second, waits RunTableOptions::unknownLeader_,
  /// then lets the lease end.
  Millis lostStoredRunsEnd_{ 6500 };
  /// A task waits no longer than this in a sidecar before it is placed anew.
  Millis startWithin_{ 1500 };
  /// Added to the predicted wait of an upstream in another zone.
  Millis otherZone_{ 2 };
  Millis refusalRetry_{ 1000 };
  /// Factor on the run time of a task away from its preferred rack.
  double otherRackFactor_ = 1.5;
  /// Slowness assumed of an upstream on which a run stalled, and the time in
  /// which what is known of slowness loses most of its weight.
  double stalledSlowness_ = 4.0;
  /// A stalled run is blamed on its upstream if it will take this many times
  /// as long as others of its step, or the upstream is as slow on the whole.
  double blameFactor_ = 2.5;
  /// A task that stalls wherever it runs is left alone after this many stops.
  int mostStalls_ = 2;
  Millis slownessMemory_{ 4000 };
  /// Stored jobs wait here while every upstream has more work than this ahead
  /// of them, so that the most useful one can start next.
  Millis longestQueue_{ 100 };
  /// Waiting jobs are looked through no more often than this.
  Millis placeInterval_{ 5 };
  /// A job is refused if its predicted wait exceeds this share of what its
  /// objective leaves beyond its work.
  double admittedWait_ = 0.6;
  /// An upstream is avoided for this long once most of its runs fail.
  Millis ejection_{ 2000 };
};

/// Not thread-safe. Times are BootNow. Every call may leave actions.
class JobEngine
{
public:
  explicit JobEngine(JobEngineOptions aOptions);

  /// Takes a job or answers it at once. \p aDeadline is when its client stops
  /// waiting.
  void Submit(JobTicket aTicket,
              const JobDescription& aJob,
              const JobQueue& aQueue,
              MonoTime aDeadline,
              MonoTime aNow);
  /// The client has gone; the job is not answered.
  void Abandon(JobTicket aTicket, MonoTime aNow);
  /// Ends the job with this id, if there is one, as given up. A stored job is
  /// dropped with all its instances.
  bool Cancel(const std::string& aJob, MonoTime aNow);

  /// From now on this process is the leader of the stored jobs.
  void Lead(uint64_t aTerm, MonoTime aNow);
  /// Another process is; the stored jobs are dropped and their runs left to it.
  void Follow(MonoTime aNow);
  /// Without authority nothing starts for stored jobs, and what runs for them
  /// is stopped.
  void SetAuthority(bool aHasAuthority, MonoTime aNow);
  /// Runs of an earlier leader may still be found, so jobs that it may have
  /// started wait.
  void SetTakingOver(bool aTakingOver, MonoTime aNow);
  /// Takes a stored job. \p aProgress is empty if nothing is known;
  /// \p aAge: time since it was due; \p aFromEarlierLeader: it may have runs
  /// that this process doesn't know.
  void Restore(const JobDescription& aJob,
               uint32_t aOccurrence,
               const JobQueue& aQueue,
               const JobProgress& aProgress,
               Millis aAge,
               bool aFromEarlierLeader,
               MonoTime aNow);
  /// The ends of a SaveJob are in the store.
  void OnSaved(const std::vector<KeptEnd>& aEnds);
  bool HoldsInstance(const JobInstance& aInstance) const
  {
    return jobs_.contains(aInstance);
  }

  void SetZonesOut(std::set<std::string> aZones, MonoTime aNow);
  /// A link to a sidecar has begun, perhaps in place of an older one.
  void OnSidecar(MemberId aSidecar, const std::string& aZone, MonoTime aNow);
  /// \p aSidecar has been replaced by a new incarnation, which will say what
  /// it knows of the runs in OnHeld.
  void OnSuccessor(MemberId aSidecar, MemberId aSuccessor, MonoTime aNow);
  /// Runs that are not among those held ended as \p aMissing.
  void OnHeld(MemberId aSidecar,
              const HeldRuns& aHeld,
              RunEnd aMissing,
              MonoTime aNow);
  /// A sidecar has handed over the runs of earlier leaders.
  void OnTakenOver(MemberId aSidecar, const HeldRuns& aHeld, MonoTime aNow);
  void OnReports(MemberId aSidecar, const RunReports& aReports, MonoTime aNow);
  /// The link to a sidecar has ended; it may still hold runs.
  void OnSidecarLost(MemberId aSidecar, MonoTime aNow);

  void Tick(MonoTime aNow);

  std::vector<JobAction> TakeActions();

  /// Best-effort jobs of a queue that are taken and of which no task has been
  /// sent.
  size_t Pending(const std::string& aQueue) const;
  /// True if a task of the stored instance has begun to run.
  bool HasBegun(const JobInstance& aInstance) const;
  /// Empty if the instance is not here.
  JobProgress Progress(const JobInstance& aInstance) const;
  size_t Jobs() const { return jobs_.size(); }
  /// True if some upstream can be sent work.
  bool HasReadyUpstream() const;
  /// True if runs are outstanding at this sidecar.
  bool Owes(MemberId aSidecar) const;

private:
  enum class TaskState : uint8_t
  {
    /// Earlier steps have not finished.
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
    /// Highest run that is known to have ended; stored jobs only.
    uint32_t endedRun_ = 0;
    MemberId sidecar_;
    MonoTime sent_;
    bool stopSent_ = false;
    /// Runs that were stopped because they stalled.
    int stalls_ = 0;
    /// Upstreams on which a run of this task did not go well.
    std::set<MemberId> avoid_;
  };

  struct Step
  {
    std::vector<Task> tasks_;
    uint32_t open_ = 0;
    /// Longest run time of the tasks that are done; 0 if none is.
    Millis longestRun_{ 0 };
  };

  struct Job
  {
    JobTicket ticket_ = 0;
    uint32_t occurrence_ = 0;
    bool stored_ = false;
    /// Runs of an earlier leader may exist.
    bool fromEarlierLeader_ = false;
    /// Ends to be saved.
    std::vector<KeptEnd> unsaved_;
    JobDescription spec_;
    JobQueue queue_;
    MonoTime submitted_;
    /// Latest start of the present steps that meets the objective.
    MonoTime goal_;
    MonoTime deadline_;
    std::vector<Step> steps_;
    bool anySent_ = false;
    bool begun_ = false;
    /// Some run may have begun, so the job can no longer be refused.
    bool mayHaveRun_ = false;
  };

  struct Sidecar
  {
    std::string zone_;
    bool linked_ = false;
    MonoTime lostAt_;
    UpstreamReport report_;
    MonoTime reported_;
    /// Orders sent on the present link.
    uint64_t ordersSent_ = 0;
    struct Order
    {
      uint64_t number_;
      Room room_;
      int64_t work_;
    };
    /// Orders that the last report does not count yet.
    std::deque<Order> unreported_;
    std::set<RunKey> runs_;
    /// Smoothed run time of all tasks here.
    double runMs_ = 200.0;
    /// Ratio of run times here to those elsewhere, smoothed.
    double slowness_ = 1.0;
    /// Recent share of failed runs, smoothed.
    double failures_ = 0.0;
    /// Nothing is sent before this time unless there is no other.
    MonoTime avoidUntil_;
  };
  using Sidecars = std::map<MemberId, Sidecar>;

  /// Expected durations of a queue's tasks, from its own runs.
  struct Durations
  {
    double meanMs_ = 0.0;
    bool known_ = false;
  };

  struct WaitRank
  {
    uint8_t priority_ = 0;
    MonoTime submitted_;
    JobInstance instance_;
    /// Latest start that meets the job's objective.
    MonoTime goal_;

    auto operator<=>(const WaitRank&) const = default;
  };

  void CheckPause(MonoTime aNow);
  static JobInstance InstanceOf(const Job& aJob)
  {
    return { aJob.spec_.id_, aJob.occurrence_ };
  }
  static JobInstance InstanceOf(const TaskName& aName)
  {
    return { aName.job_, aName.occurrence_ };
  }
  Job* FindJob(const JobInstance& aInstance);
  Task* FindTask(const TaskName& aName);
  bool MayPlace(const Job& aJob) const;
  void Adopt(MemberId aSidecar, const RunKey& aKey, MonoTime aNow);
  /// Takes the end of a run that an earlier leader may have started.
  void OnStoredEnd(MemberId aSidecar, const RunReport& aReport, MonoTime aNow);
  void NoteUnsaved(Job& aJob,
                   MemberId aSidecar,
                   const RunReport& aReport,
                   Task& aTask);
  static JobProgress ProgressOf(const Job& aJob);
  void Save(Job& aJob, std::optional<JobOutcome> aOutcome, std::string aReason);
  bool Reattach(JobTicket aTicket, const std::string& aJob, MonoTime aDeadline);
  void Place(Job& aJob, MonoTime aNow);
  void PlaceStep(Job& aJob, uint32_t aStep, MonoTime aNow);
  static WaitRank RankOf(const Job& aJob)
  {
    return {
      aJob.queue_.priority_, aJob.submitted_, InstanceOf(aJob), aJob.goal_
    };
  }
  void PlaceWaiting(MonoTime aNow);
  void PlaceWaiting(bool aLate, MonoTime aNow);
  void UnblockSteps(Job& aJob);
  Sidecars::iterator Choose(const Job& aJob,
                            uint32_t aStep,
                            const Task& aTask,
                            MonoTime aNow);
  bool Usable(const Sidecar& aSidecar,
              const Job& aJob,
              const StepSpec& aStep) const;
  bool LeavesNoPlace(MemberId aSidecar, const Job& aJob, uint32_t aStep) const;
  static Room CommittedRoom(const Sidecar& aSidecar);
  /// Tasks of this size that fit beside all that is committed.
  static int64_t FreeSlots(const Sidecar& aSidecar, const Room& aRoom);
  /// Waiting work of this priority and above.
  static int64_t WorkAhead(const Sidecar& aSidecar, uint8_t aPriority);
  double WaitMs(const Sidecar& aSidecar,
                const Job& aJob,
                const StepSpec& aStep) const;
  double CostMs(const Sidecar& aSidecar,
                const Job& aJob,
                const StepSpec& aStep) const;
  double ExpectedRunMs(const Job& aJob, const StepSpec& aStep) const;
  /// Predicted wait for room of the first step's last task.
  double AdmissionWaitMs(const Job& aJob) const;
  /// Longest chain of expected run times from each step to the job's end, the
  /// step's own included.
  std::vector<double> ChainsMs(const Job& aJob) const;
  /// Time that the objective leaves beyond the longest chain of steps.
  double SlackMs(const Job& aJob) const;
  /// Latest start of the steps that may run now that meets the objective.
  MonoTime GoalOf(const Job& aJob) const;
  /// Sets goal_; the job must not be waiting.
  void UpdateGoal(Job& aJob);
  bool RefuseAtOnce(Job& aJob, MonoTime aNow);
  void NoteSent(Sidecar& aSidecar, const StepSpec& aStep, const RunKey& aKey);
  void OnEnd(MemberId aSidecar, const RunReport& aReport, MonoTime aNow);
  void OnTaskDone(Job& aJob, const TaskName& aName, MonoTime aNow);
  /// Counts a failed run; the job fails once the attempts are used up.
  void OnTaskFailed(Job& aJob, const RunKey& aKey, MonoTime aNow);
  void RestartGang(Job& aJob, uint32_t aStep);
  void Learn(MemberId aSidecar,
             const Job& aJob,
             const RunReport& aReport,
             MonoTime aNow);
  /// Takes runs of a sidecar that is out of reach as lost.
  void LoseRuns(MemberId aSidecar, bool aStoredToo, MonoTime aNow);
  void OnStalled(MemberId aSidecar, const StalledRun& aStalled);
  /// True if the upstream, not the task, is the likely cause of a stall.
  bool BlamesUpstream(const Sidecar& aSidecar,
                      const Step& aStep,
                      const StalledRun& aStalled) const;
  void ForgetSlowness(Millis aElapsed);
  void StopRun(const TaskName& aName, Task& aTask);
  void GiveUp(Job& aJob, const std::string& aReason);
  void Finish(Job& aJob,
              JobOutcome aOutcome,
              const std::string& aReason,
              Millis aRetryAfter = Millis(0));
  void Drop(Job& aJob);
  bool CanEverRun(const Job& aJob) const;

  const JobEngineOptions options_;
  std::map<JobInstance, Job> jobs_;
  std::unordered_map<JobTicket, JobInstance> tickets_;
  /// Jobs with tasks that no upstream could take, in the order in which they
  /// are tried: by priority and age.
  std::set<WaitRank> waiting_;
  MonoTime placedAt_;
  /// Stored jobs with ends to be saved.
  std::set<JobInstance> unsaved_;
  /// Ends that are on their way to the store.
  std::set<RunKey> saving_;
  /// 0 while another process leads.
  uint64_t term_ = 0;
  bool hasAuthority_ = false;
  bool takingOver_ = false;
  Sidecars sidecars_;
  std::set<std::string> zonesOut_;
  std::map<std::string, Durations> durations_;
  std::vector<JobAction> actions_;
  MonoTime lastTick_;
  MonoTime lastCall_;
  bool called_ = false;
};

} // namespace cornelfront
