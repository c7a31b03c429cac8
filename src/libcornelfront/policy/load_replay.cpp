#include "cornelfront/load_replay.h"

#include "cornelfront/job_scheduler.h"
#include "cornelfront/report_schedule.h"
#include "cornelfront/run_table.h"
#include "cornelfront/visitor.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace cornelfront {
namespace {

constexpr Millis kEntryTick{ 25 };
constexpr Millis kSidecarTick{ 50 };
constexpr Millis kWindow{ 2000 };
/// Time until the loss of a process is noticed on its links.
constexpr Millis kLossNotice{ 1000 };
/// One-way delay between a sidecar and its upstream.
constexpr Millis kUpstreamDelay{ 1 };
/// Share of the worth of a late job.
constexpr double kLateWorth = 0.2;

const MonoTime kOrigin{ std::chrono::hours(1) };

/// Discrete events in order of time, then of insertion.
class EventQueue
{
public:
  using Action = std::function<void()>;

  void At(MonoTime aTime, Action aAction)
  {
    events_.push({ aTime, next_++, std::move(aAction) });
  }
  void After(Millis aDelay, Action aAction)
  {
    At(now_ + aDelay, std::move(aAction));
  }
  MonoTime Now() const { return now_; }
  /// Runs all events before \p aEnd.
  void RunUntil(MonoTime aEnd)
  {
    while (!events_.empty() && events_.top().time_ < aEnd) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.action_();
    }
    now_ = aEnd;
  }

private:
  struct Event
  {
    MonoTime time_;
    uint64_t number_ = 0;
    Action action_;

    bool operator<(const Event& aOther) const
    {
      return std::tie(time_, number_) > std::tie(aOther.time_, aOther.number_);
    }
  };

  MonoTime now_ = kOrigin;
  uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

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
  bool returned_ = false;
};
using ClientJobPtr = std::shared_ptr<ClientJob>;

struct SimulatedEntry
{
  MemberId id_;
  std::string zone_;
  bool up_ = true;
  std::unique_ptr<JobScheduler> scheduler_;
  std::map<JobSubmissionId, ClientJobPtr> open_;
};

struct SimulatedSidecar
{
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
  std::vector<EndedEntry> ended_;
  uint64_t nextEnd_ = 1;
};

class Replay
{
public:
  explicit Replay(const LoadPattern& aPattern)
    : pattern_(aPattern)
    , random_(aPattern.seed_)
  {
    result_.kinds_.resize(aPattern.kinds_.size());
    for (size_t i = 0; i < aPattern.kinds_.size(); ++i) {
      result_.kinds_[i].kind_ = aPattern.kinds_[i].name_;
    }
    result_.windows_.resize(static_cast<size_t>(
      (aPattern.duration_ + kWindow - Millis(1)) / kWindow));
  }

  LoadReplayResult Run()
  {
    for (uint32_t i = 0; i < pattern_.upstreams_; ++i) {
      AddSidecar(i);
    }
    for (uint32_t i = 0; i < pattern_.entries_; ++i) {
      AddEntry(i);
    }
    for (const LoadFault& fault : pattern_.faults_) {
      Schedule(fault);
    }
    for (size_t i = 0; i < pattern_.kinds_.size(); ++i) {
      ScheduleArrival(i);
    }
    Millis longest{ 0 };
    for (const LoadKind& kind : pattern_.kinds_) {
      longest = std::max(longest, kind.clientTimeout_);
    }
    events_.RunUntil(kOrigin + pattern_.duration_ + 2 * longest);
    return std::move(result_);
  }

private:
  std::string ZoneOf(uint32_t aIndex) const
  {
    return "zone-" + std::to_string(aIndex % pattern_.zones_);
  }

  void AddSidecar(uint32_t aIndex)
  {
    auto sidecar = std::make_unique<SimulatedSidecar>();
    sidecar->id_ = MemberId{ random_() };
    sidecar->zone_ = ZoneOf(aIndex);
    sidecar->speed_ = pattern_.speeds_[aIndex % pattern_.speeds_.size()];
    StartSidecar(*sidecar);
    sidecars_.push_back(std::move(sidecar));
    SimulatedSidecar* added = sidecars_.back().get();
    events_.At(kOrigin + RandomOffset(kSidecarTick),
               [this, added] { TickSidecar(*added); });
  }

  void StartSidecar(SimulatedSidecar& aSidecar)
  {
    aSidecar.up_ = true;
    aSidecar.upstream_ = "upstream-" + std::to_string(random_());
    aSidecar.table_ = std::make_unique<RunTable>(RunTableOptions{});
    aSidecar.table_->OnUpstream(
      { .id_ = aSidecar.upstream_,
        .startedMs_ = static_cast<int64_t>(random_() >> 1U),
        .service_ = "service",
        .capacity_ = { .cpu_ = pattern_.upstreamCpu_ } },
      events_.Now());
    aSidecar.owners_.clear();
    aSidecar.running_.clear();
    aSidecar.ended_.clear();
    aSidecar.nextEnd_ = 1;
  }

  void AddEntry(uint32_t aIndex)
  {
    auto entry = std::make_unique<SimulatedEntry>();
    entry->zone_ = ZoneOf(aIndex);
    entries_.push_back(std::move(entry));
    StartEntry(*entries_.back());
    SimulatedEntry* added = entries_.back().get();
    events_.At(kOrigin + RandomOffset(kEntryTick),
               [this, added] { TickEntry(*added); });
  }

  void StartEntry(SimulatedEntry& aEntry)
  {
    aEntry.id_ = MemberId{ random_() };
    aEntry.up_ = true;
    JobSchedulerOptions options = pattern_.scheduler_;
    options.self_ = aEntry.id_;
    options.zone_ = aEntry.zone_;
    aEntry.scheduler_ = std::make_unique<JobScheduler>(std::move(options));
    for (const auto& sidecar : sidecars_) {
      if (sidecar->up_) {
        Link(aEntry, *sidecar);
      }
    }
  }

  void Link(SimulatedEntry& aEntry, SimulatedSidecar& aSidecar)
  {
    const MonoTime now = events_.Now();
    aSidecar.owners_.insert_or_assign(
      aEntry.id_,
      SimulatedSidecar::Owner{ .schedule_ =
                                 ReportSchedule(pattern_.reports_) });
    aSidecar.table_->OnOwnerLinked(aEntry.id_, now);
    aEntry.scheduler_->OnSidecarLinked(aSidecar.id_, aSidecar.zone_, now);
    aEntry.scheduler_->OnHeldRuns(aSidecar.id_,
                                  aSidecar.table_->MakeHeldRuns(aEntry.id_),
                                  RunEnd::Lost,
                                  now);
    Report(aSidecar, aEntry.id_, {});
  }

  Millis RandomOffset(Millis aMax)
  {
    return Millis(std::uniform_int_distribution<int64_t>(
      0, std::max<int64_t>(aMax.count() - 1, 0))(random_));
  }

  double LogNormal(double aSpread)
  {
    return std::exp(std::normal_distribution<double>(0.0, 1.0)(random_) *
                      aSpread -
                    aSpread * aSpread / 2);
  }

  // Arrivals.

  double RateFactor(const LoadKind& aKind) const
  {
    double factor = 1.0;
    for (const LoadFault& fault : pattern_.faults_) {
      const MonoTime begin = kOrigin + fault.at_;
      const bool active =
        events_.Now() >= begin && events_.Now() < begin + fault.duration_;
      if (fault.kind_ == LoadFaultKind::Burst && active &&
          (fault.job_.empty() || fault.job_ == aKind.name_)) {
        factor *= fault.factor_;
      }
    }
    return factor;
  }

  void ScheduleArrival(size_t aKind)
  {
    const LoadKind& kind = pattern_.kinds_[aKind];
    if (kind.jobsPerSecond_ <= 0) {
      return;
    }
    const double rate = kind.jobsPerSecond_ * RateFactor(kind);
    const double seconds = std::exponential_distribution<double>(rate)(random_);
    const auto delay = std::chrono::duration_cast<MonoClock::duration>(
      std::chrono::duration<double>(seconds));
    const MonoTime at = events_.Now() + delay;
    if (at >= kOrigin + pattern_.duration_) {
      return;
    }
    events_.At(at, [this, aKind] {
      Submit(MakeJob(aKind));
      ScheduleArrival(aKind);
    });
  }

  ClientJobPtr MakeJob(size_t aKind)
  {
    const LoadKind& kind = pattern_.kinds_[aKind];
    auto job = std::make_shared<ClientJob>();
    job->kind_ = aKind;
    std::array<char, 17> id{};
    std::snprintf(id.data(),
                  id.size(),
                  "%016llx",
                  static_cast<unsigned long long>(++lastJob_));
    job->id_ = id.data();
    job->submitted_ = events_.Now();
    job->cpu_ = kind.cpu_;
    const double mean = ToMs(kind.runTime_) * LogNormal(kind.jobSpread_);
    constexpr double kWidthSpread = 0.4;
    const auto tasks =
      std::max<int64_t>(1, std::llround(kind.tasks_ * LogNormal(kWidthSpread)));
    for (int64_t i = 0; i < tasks; ++i) {
      job->runTimes_.push_back(RoundMs(mean * LogNormal(kind.taskSpread_)));
    }
    job->estimate_ = RoundMs(mean * LogNormal(kind.estimateSpread_));
    LoadOutcomes& window = WindowOf(*job);
    ++window.submitted_;
    ++result_.kinds_[aKind].outcomes_.submitted_;
    ++result_.total_.submitted_;
    return job;
  }

  static double ToMs(Millis aTime)
  {
    return static_cast<double>(aTime.count());
  }
  static Millis RoundMs(double aMs)
  {
    return Millis(std::max<int64_t>(1, std::llround(aMs)));
  }

  LoadOutcomes& WindowOf(const ClientJob& aJob)
  {
    const auto index =
      static_cast<size_t>((aJob.submitted_ - kOrigin) / kWindow);
    return result_.windows_[std::min(index, result_.windows_.size() - 1)];
  }

  void Submit(const ClientJobPtr& aJob)
  {
    const size_t first =
      std::uniform_int_distribution<size_t>(0, entries_.size() - 1)(random_);
    for (size_t i = 0; i < entries_.size(); ++i) {
      SimulatedEntry& entry = *entries_[(first + i) % entries_.size()];
      if (entry.up_) {
        SubmitTo(entry, aJob);
        return;
      }
    }
    Count(*aJob, &LoadOutcomes::failed_);
  }

  void SubmitTo(SimulatedEntry& aEntry, const ClientJobPtr& aJob)
  {
    const LoadKind& kind = pattern_.kinds_[aJob->kind_];
    const JobDescription description{
      .id_ = aJob->id_,
      .steps_ = { { .count_ = static_cast<uint32_t>(aJob->runTimes_.size()),
                    .resources_ = { .cpu_ = aJob->cpu_ },
                    .estimate_ = aJob->estimate_ } },
      .bestEffort_ = true
    };
    const JobQueue queue{ .name_ = kind.name_,
                          .service_ = "service",
                          .priority_ = kind.priority_,
                          .attempts_ = kind.attempts_,
                          .stretch_ = kind.stretch_,
                          .slo_ = kind.slo_ };
    const JobSubmissionId submission = ++lastSubmission_;
    aEntry.open_[submission] = aJob;
    jobs_[aJob->id_] = aJob;
    aEntry.scheduler_->Submit(submission,
                              description,
                              queue,
                              aJob->submitted_ + kind.clientTimeout_,
                              events_.Now());
    Perform(aEntry);
  }

  // Entries.

  void TickEntry(SimulatedEntry& aEntry)
  {
    if (aEntry.up_) {
      aEntry.scheduler_->Tick(events_.Now());
      Perform(aEntry);
    }
    events_.After(kEntryTick, [this, &aEntry] { TickEntry(aEntry); });
  }

  void Perform(SimulatedEntry& aEntry)
  {
    for (JobAction& action : aEntry.scheduler_->TakeActions()) {
      std::visit(
        Visitor{ [&](SendRuns& aSend) { SendOrders(aEntry, aSend); },
                 [&](SendStops& aSend) { SendStop(aEntry, aSend); },
                 [&](const AnswerJob& aAnswer) { OnAnswer(aEntry, aAnswer); },
                 [](const auto&) {} },
        action);
    }
  }

  SimulatedSidecar* FindSidecar(MemberId aId)
  {
    const auto found =
      std::find_if(sidecars_.begin(),
                   sidecars_.end(),
                   [&](const auto& aSidecar) { return aSidecar->id_ == aId; });
    return found == sidecars_.end() ? nullptr : found->get();
  }

  void SendOrders(SimulatedEntry& aEntry, SendRuns& aSend)
  {
    events_.After(
      pattern_.linkDelay_,
      [this,
       from = aEntry.id_,
       sidecar = FindSidecar(aSend.sidecar_),
       orders = std::move(aSend.orders_)] { OnOrders(from, sidecar, orders); });
  }

  static SimulatedSidecar::Owner* FindOwner(SimulatedSidecar& aSidecar,
                                            MemberId aId)
  {
    const auto found = aSidecar.owners_.find(aId);
    return found == aSidecar.owners_.end() ? nullptr : &found->second;
  }

  void OnOrders(MemberId aFrom,
                SimulatedSidecar* aSidecar,
                const StartRuns& aOrders)
  {
    const auto owner =
      aSidecar == nullptr ? nullptr : FindOwner(*aSidecar, aFrom);
    if (owner == nullptr || !aSidecar->up_) {
      return;
    }
    owner->ordersReceived_ += aOrders.runs_.size();
    owner->schedule_.OnOrders(events_.Now());
    aSidecar->table_->OnOrders(aFrom, aOrders, events_.Now());
    Pump(*aSidecar);
  }

  void SendStop(SimulatedEntry& aEntry, const SendStops& aSend)
  {
    events_.After(pattern_.linkDelay_,
                  [this,
                   from = aEntry.id_,
                   sidecar = FindSidecar(aSend.sidecar_),
                   stops = aSend.stops_] {
                    if (sidecar != nullptr && sidecar->up_) {
                      sidecar->table_->OnStop(from, stops, events_.Now());
                      Pump(*sidecar);
                    }
                  });
  }

  void OnAnswer(SimulatedEntry& aEntry, const AnswerJob& aAnswer)
  {
    const auto found = aEntry.open_.find(aAnswer.submissionId_);
    if (found == aEntry.open_.end()) {
      return;
    }
    const ClientJobPtr job = found->second;
    aEntry.open_.erase(found);
    const LoadKind& kind = pattern_.kinds_[job->kind_];
    const Millis time =
      std::chrono::duration_cast<Millis>(events_.Now() - job->submitted_);
    switch (aAnswer.outcome_) {
      case JobOutcome::Completed:
        Count(*job,
              time <= ObjectiveOf(*job, kind) ? &LoadOutcomes::inTime_
                                              : &LoadOutcomes::late_);
        return;
      case JobOutcome::Refused:
        if (pattern_.refusedReturn_ && !job->returned_ &&
            time + aAnswer.retryAfter_ < kind.clientTimeout_) {
          job->returned_ = true;
          events_.After(aAnswer.retryAfter_, [this, job] { Submit(job); });
          return;
        }
        Count(*job, &LoadOutcomes::refused_);
        return;
      default:
        Count(*job, &LoadOutcomes::failed_);
        return;
    }
  }

  static Millis ObjectiveOf(const ClientJob& aJob, const LoadKind& aKind)
  {
    const Millis longest =
      *std::max_element(aJob.runTimes_.begin(), aJob.runTimes_.end());
    return RoundMs(ToMs(longest) * aKind.stretch_) + aKind.slo_;
  }

  void Count(const ClientJob& aJob, uint64_t LoadOutcomes::*aOutcome)
  {
    jobs_.erase(aJob.id_);
    ++(WindowOf(aJob).*aOutcome);
    ++(result_.kinds_[aJob.kind_].outcomes_.*aOutcome);
    ++(result_.total_.*aOutcome);
  }

  // Sidecars and upstreams.

  void TickSidecar(SimulatedSidecar& aSidecar)
  {
    if (aSidecar.up_) {
      for (const auto& entry : entries_) {
        if (entry->up_) {
          aSidecar.table_->OnOwnerHeard(entry->id_, events_.Now());
        }
      }
      Poll(aSidecar);
      aSidecar.table_->Tick(events_.Now());
      Pump(aSidecar);
      ReportChanges(aSidecar);
    }
    events_.After(kSidecarTick, [this, &aSidecar] { TickSidecar(aSidecar); });
  }

  void ReportChanges(SimulatedSidecar& aSidecar)
  {
    const UpstreamReport report =
      aSidecar.table_->MakeUpstreamReport(events_.Now());
    for (const auto& [id, owner] : aSidecar.owners_) {
      if (owner.schedule_.IsDue(
            report, aSidecar.owners_.size(), events_.Now())) {
        Report(aSidecar, id, {});
      }
    }
  }

  void Report(SimulatedSidecar& aSidecar,
              MemberId aEntry,
              RunTable::Updates aUpdates)
  {
    const auto owner = aSidecar.owners_.find(aEntry);
    if (owner == aSidecar.owners_.end()) {
      return;
    }
    RunReports message{ .reports_ = std::move(aUpdates.reports_),
                        .stalled_ = std::move(aUpdates.stalled_),
                        .started_ = std::move(aUpdates.started_),
                        .upstream_ =
                          aSidecar.table_->MakeUpstreamReport(events_.Now()) };
    message.upstream_.ordersReceived_ = owner->second.ordersReceived_;
    owner->second.schedule_.OnSent(message.upstream_, events_.Now());
    ++result_.reports_;
    for (const RunReport& report : message.reports_) {
      result_.returned_ += report.end_ == RunEnd::NotStarted ? 1 : 0;
    }
    events_.After(pattern_.linkDelay_,
                  [this, aEntry, from = aSidecar.id_, message] {
                    OnReport(aEntry, from, message);
                  });
  }

  void OnReport(MemberId aEntry, MemberId aFrom, const RunReports& aMessage)
  {
    const auto entry =
      std::find_if(entries_.begin(), entries_.end(), [&](const auto& aKnown) {
        return aKnown->id_ == aEntry && aKnown->up_;
      });
    if (entry != entries_.end()) {
      (*entry)->scheduler_->OnReports(aFrom, aMessage, events_.Now());
      Perform(**entry);
    }
  }

  void Pump(SimulatedSidecar& aSidecar)
  {
    for (const RunKey& key : aSidecar.table_->TakeStops(events_.Now())) {
      events_.After(kUpstreamDelay, [this, &aSidecar, key] {
        EndTask(aSidecar, key, RunEnd::Stopped);
      });
    }
    for (const StartRequest& start :
         aSidecar.table_->TakeStarts(events_.Now())) {
      events_.After(kUpstreamDelay,
                    [this, &aSidecar, start, upstream = aSidecar.upstream_] {
                      if (aSidecar.up_ && aSidecar.upstream_ == upstream) {
                        StartTask(aSidecar, start);
                      }
                    });
    }
    for (auto& [id, updates] : aSidecar.table_->TakeUpdates()) {
      Report(aSidecar, id, std::move(updates));
    }
  }

  void StartTask(SimulatedSidecar& aSidecar, const StartRequest& aStart)
  {
    ++result_.starts_;
    const auto job = jobs_.find(aStart.key_.task_.job_);
    Millis time{ 1 };
    if (job != jobs_.end()) {
      const double pace = aSidecar.slowness_ / aSidecar.speed_;
      time =
        RoundMs(ToMs(job->second->runTimes_[aStart.key_.task_.index_]) * pace);
    }
    const RunKey key{ aStart.key_.task_, aStart.upstreamRunNumber_ };
    aSidecar.running_[key] = { events_.Now(), time };
    events_.After(time, [this, &aSidecar, key, upstream = aSidecar.upstream_] {
      if (aSidecar.up_ && aSidecar.upstream_ == upstream) {
        EndTask(aSidecar, key, RunEnd::Done);
      }
    });
    events_.After(kUpstreamDelay,
                  [this, &aSidecar, aStart, upstream = aSidecar.upstream_] {
                    if (aSidecar.up_ && aSidecar.upstream_ == upstream) {
                      aSidecar.table_->OnStartAnswer(
                        aStart.key_, StartAnswer::Started, {}, events_.Now());
                      Pump(aSidecar);
                    }
                  });
  }

  void EndTask(SimulatedSidecar& aSidecar, const RunKey& aKey, RunEnd aEnd)
  {
    if (aSidecar.running_.erase(aKey) == 0) {
      return;
    }
    aSidecar.ended_.push_back(
      { .number_ = aSidecar.nextEnd_++, .key_ = aKey, .end_ = aEnd });
    events_.After(kUpstreamDelay, [this, &aSidecar] {
      if (aSidecar.up_) {
        Poll(aSidecar);
        Pump(aSidecar);
      }
    });
  }

  void Poll(SimulatedSidecar& aSidecar)
  {
    const uint64_t acknowledged = aSidecar.table_->AcknowledgedEnds();
    std::erase_if(aSidecar.ended_, [&](const EndedEntry& aEntry) {
      return aEntry.number_ <= acknowledged;
    });
    UpstreamPollResult result{ .ended_ = aSidecar.ended_ };
    for (const auto& [key, task] : aSidecar.running_) {
      constexpr int64_t kHundredPercent = 100;
      const auto percent =
        kHundredPercent * (events_.Now() - task.start_) / task.time_;
      result.running_.push_back(
        { .key_ = key, .percent_ = static_cast<int32_t>(percent) });
    }
    aSidecar.table_->OnPollResult(
      aSidecar.table_->BeginPoll(), result, events_.Now());
  }

  // Faults.

  void Schedule(const LoadFault& aFault)
  {
    const MonoTime begin = kOrigin + aFault.at_;
    events_.At(begin, [this, &aFault] { Apply(aFault, true); });
    events_.At(begin + aFault.duration_,
               [this, &aFault] { Apply(aFault, false); });
  }

  void Apply(const LoadFault& aFault, bool aBegin)
  {
    const auto upstreams =
      static_cast<size_t>(std::llround(aFault.share_ * pattern_.upstreams_));
    const auto entries =
      static_cast<size_t>(std::llround(aFault.share_ * pattern_.entries_));
    switch (aFault.kind_) {
      case LoadFaultKind::Burst:
        return;
      case LoadFaultKind::UpstreamsSlow:
        for (size_t i = 0; i < upstreams; ++i) {
          sidecars_[i]->slowness_ = aBegin ? aFault.factor_ : 1.0;
        }
        return;
      case LoadFaultKind::UpstreamsLost:
        for (size_t i = 0; i < upstreams; ++i) {
          aBegin ? LoseSidecar(*sidecars_[i]) : ReturnSidecar(*sidecars_[i]);
        }
        return;
      case LoadFaultKind::EntriesLost:
        for (size_t i = 0; i < entries; ++i) {
          aBegin ? LoseEntry(*entries_[i]) : StartEntry(*entries_[i]);
        }
        return;
    }
  }

  void LoseSidecar(SimulatedSidecar& aSidecar)
  {
    aSidecar.up_ = false;
    events_.After(kLossNotice, [this, id = aSidecar.id_] {
      for (const auto& entry : entries_) {
        if (entry->up_) {
          entry->scheduler_->OnSidecarLost(id, events_.Now());
          Perform(*entry);
        }
      }
    });
  }

  void ReturnSidecar(SimulatedSidecar& aSidecar)
  {
    const MemberId old = aSidecar.id_;
    aSidecar.id_ = MemberId{ random_() };
    StartSidecar(aSidecar);
    for (const auto& entry : entries_) {
      if (entry->up_) {
        entry->scheduler_->OnSidecarReplaced(old, aSidecar.id_, events_.Now());
        Link(*entry, aSidecar);
        Perform(*entry);
      }
    }
  }

  void LoseEntry(SimulatedEntry& aEntry)
  {
    aEntry.up_ = false;
    for (const auto& [submission, job] : aEntry.open_) {
      Count(*job, &LoadOutcomes::failed_);
    }
    aEntry.open_.clear();
    for (const auto& sidecar : sidecars_) {
      sidecar->owners_.erase(aEntry.id_);
    }
  }

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

} // namespace

double
LoadOutcomes::Worth() const
{
  if (submitted_ == 0) {
    return 1.0;
  }
  return (static_cast<double>(inTime_) +
          kLateWorth * static_cast<double>(late_)) /
         static_cast<double>(submitted_);
}

double
LoadReplayResult::WorstWindow() const
{
  double worst = 1.0;
  for (const LoadOutcomes& window : windows_) {
    worst = std::min(worst, window.Worth());
  }
  return worst;
}

LoadReplayResult
ReplayLoad(const LoadPattern& aPattern)
{
  return Replay(aPattern).Run();
}

} // namespace cornelfront
