#pragma once

/// \file
/// Implementation class of ReplayLoad; one file each implements arrivals and
/// entries, sidecars with their upstreams, and faults.

#include "cornelfront/job_scheduler.h"
#include "cornelfront/load_replay.h"
#include "cornelfront/report_schedule.h"
#include "cornelfront/run_table.h"
#include "policy/event_queue_pvt.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cornelfront {

/// Intervals of the periodic work of the processes.
inline constexpr Millis kReplayEntryTick{ 25 };
inline constexpr Millis kReplaySidecarTick{ 50 };
/// Interval in which the outcomes of jobs are summed up.
inline constexpr Millis kReplayWindow{ 2000 };

/// A job as its client knows it.
struct ClientJob
{
  size_t kind_ = 0;
  std::string id_;
  MonoTime submitted_;
  /// True run times of the tasks at speed 1.
  std::vector<Millis> runTimes_;
  Millis estimate_{ 0 };
  int64_t cpu_ = 0;
  /// The caller has submitted it again after a refusal.
  bool returned_ = false;
};
using ClientJobPtr = std::shared_ptr<ClientJob>;

/// The scheduler of an entry and the jobs that it has not answered.
struct SimulatedEntry
{
  MemberId id_;
  std::string zone_;
  bool up_ = true;
  std::unique_ptr<JobScheduler> scheduler_;
  std::map<JobSubmissionId, ClientJobPtr> open_;
};

/// The run table of a sidecar, and its upstream with what runs there.
struct SimulatedSidecar
{
  /// A linked entry.
  struct Owner
  {
    uint64_t ordersReceived_ = 0;
    ReportSchedule schedule_{ ReportScheduleOptions{} };
  };
  struct RunningTask
  {
    MonoTime start_;
    Millis time_{ 1 };
  };

  MemberId id_;
  std::string zone_;
  std::string upstream_;
  bool up_ = true;
  double speed_ = 1.0;
  double slowness_ = 1.0;
  std::unique_ptr<RunTable> table_;
  std::map<MemberId, Owner> owners_;
  std::map<RunKey, RunningTask> running_;
  /// Ends that the sidecar has not acknowledged.
  std::vector<EndedEntry> ended_;
  uint64_t nextEnd_ = 1;
};

/// Plays one pattern. Owns all simulated processes; a restarted one gets a new
/// identity.
class LoadReplayer
{
public:
  explicit LoadReplayer(const LoadPattern& aPattern);

  LoadReplayResult Run();

private:
  std::string ZoneOf(uint32_t aIndex) const;
  void AddSidecar(uint32_t aIndex);
  void StartSidecar(SimulatedSidecar& aSidecar);
  void AddEntry(uint32_t aIndex);
  void StartEntry(SimulatedEntry& aEntry);
  void Link(SimulatedEntry& aEntry, SimulatedSidecar& aSidecar);
  Millis RandomOffset(Millis aMax);
  double LogNormal(double aSpread);

  // Arrivals.
  double RateFactor(const LoadKind& aKind) const;
  void ScheduleArrival(size_t aKind);
  ClientJobPtr MakeJob(size_t aKind);
  static double ToMs(Millis aTime);
  static Millis RoundMs(double aMs);
  LoadOutcomes& WindowOf(const ClientJob& aJob);
  void Submit(const ClientJobPtr& aJob);
  void SubmitTo(SimulatedEntry& aEntry, const ClientJobPtr& aJob);

  // Entries.
  void TickEntry(SimulatedEntry& aEntry);
  void Perform(SimulatedEntry& aEntry);
  SimulatedSidecar* FindSidecar(MemberId aId);
  void SendOrders(SimulatedEntry& aEntry, SendRuns& aSend);
  static SimulatedSidecar::Owner* FindOwner(SimulatedSidecar& aSidecar,
                                            MemberId aId);
  void OnOrders(MemberId aFrom,
                SimulatedSidecar* aSidecar,
                const StartRuns& aOrders);
  void SendStop(const SimulatedEntry& aEntry, const SendStops& aSend);
  void OnAnswer(SimulatedEntry& aEntry, const AnswerJob& aAnswer);
  static Millis ObjectiveOf(const ClientJob& aJob, const LoadKind& aKind);
  void Count(const ClientJob& aJob, uint64_t LoadOutcomes::*aOutcome);

  // Sidecars and upstreams.
  void TickSidecar(SimulatedSidecar& aSidecar);
  void ReportChanges(SimulatedSidecar& aSidecar);
  void Report(SimulatedSidecar& aSidecar,
              MemberId aEntry,
              RunTable::Updates aUpdates);
  void OnReport(MemberId aEntry, MemberId aFrom, const RunReports& aMessage);
  /// Sends all pending starts, stops and reports of the table.
  void SendPending(SimulatedSidecar& aSidecar);
  void StartTask(SimulatedSidecar& aSidecar, const StartRequest& aStart);
  void EndTask(SimulatedSidecar& aSidecar, const RunKey& aKey, RunEnd aEnd);
  void Poll(SimulatedSidecar& aSidecar);

  // Faults.
  void Schedule(const LoadFault& aFault);
  void Apply(const LoadFault& aFault, bool aBegin);
  void LoseSidecar(SimulatedSidecar& aSidecar);
  void ReturnSidecar(SimulatedSidecar& aSidecar);
  void LoseEntry(SimulatedEntry& aEntry);

  const LoadPattern& pattern_;
  std::mt19937_64 random_;
  EventQueue events_;
  std::vector<std::unique_ptr<SimulatedEntry>> entries_;
  std::vector<std::unique_ptr<SimulatedSidecar>> sidecars_;
  /// Open jobs by id.
  std::map<std::string, ClientJobPtr> jobs_;
  uint64_t lastJob_ = 0;
  JobSubmissionId lastSubmission_ = 0;
  LoadReplayResult result_;
};

} // namespace cornelfront
