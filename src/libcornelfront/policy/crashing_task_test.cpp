#include "cornelfront/job_scheduler.h"
#include "cornelfront/run_table.h"
#include "cornelfront/visitor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cornelfront {
namespace {

constexpr Millis kStep{ 10 };
constexpr Millis kDownTime{ 3200 };
/// In thousandths of a core.
constexpr int64_t kUpstreamCpu = 8000;
constexpr int64_t kTaskCpu = 1000;
/// Crashes after which a task may be started only so many times more.
constexpr size_t kCrashes = 3;
constexpr size_t kStartsAfterCrashes = 3;

const std::string kCrashingJob = "00000000000000dd";
const std::string kOtherJob = "00000000000000aa";

/// An upstream that ends as soon as it starts a task of the crashing job, and
/// its sidecar.
struct Upstream
{
  MemberId sidecar_;
  std::unique_ptr<RunTable> table_;
  int64_t started_ = 1;
  bool up_ = true;
  MonoTime returns_;
  std::map<RunKey, MonoTime> running_;
  std::vector<EndedEntry> ended_;
  uint64_t ends_ = 0;
};

/// One entry at a time, and upstreams with their sidecars, in simulated time.
/// Messages arrive at once.
class CrashingTaskTest : public testing::Test
{
protected:
  CrashingTaskTest()
  {
    constexpr uint64_t kUpstreams = 6;
    for (uint64_t i = 0; i < kUpstreams; ++i) {
      auto upstream = std::make_unique<Upstream>();
      upstream->sidecar_ = MemberId{ 100 + i };
      upstream->table_ = std::make_unique<RunTable>(RunTableOptions{});
      upstream->table_->SetRegistered();
      Announce(*upstream);
      upstreams_.push_back(std::move(upstream));
    }
    StartEntry();
  }

  void Announce(Upstream& aUpstream) const
  {
    aUpstream.table_->OnUpstream({ .id_ = ToString(aUpstream.sidecar_),
                                   .startedMs_ = aUpstream.started_,
                                   .service_ = "service",
                                   .capacity_ = { .cpu_ = kUpstreamCpu } },
                                 now_);
  }

  /// Replaces the entry by a new one that knows nothing.
  void StartEntry()
  {
    ++entryId_.value_;
    entry_ = std::make_unique<JobScheduler>(
      JobSchedulerOptions{ .self_ = entryId_, .zone_ = "z" });
    std::set<MemberId> sidecars;
    for (const auto& upstream : upstreams_) {
      sidecars.insert(upstream->sidecar_);
      upstream->table_->OnOwnerLinked(entryId_, now_);
      entry_->OnSidecarLinked(upstream->sidecar_, "z", now_);
      entry_->OnUpstreamCrashes(
        upstream->sidecar_, { upstream->table_->KnownCrashes() }, now_);
      entry_->OnHeldRuns(upstream->sidecar_,
                         upstream->table_->MakeHeldRuns(entryId_),
                         RunEnd::Lost,
                         now_);
      Report(*upstream, {});
    }
    entry_->SetRegisteredSidecars(sidecars);
  }

  void Lead(uint64_t aTerm)
  {
    entry_->BecomeLeader(aTerm, now_);
    entry_->SetAuthority(MonoTime::max(), now_);
    entry_->SetTakingOver(false, now_);
  }

  static JobDescription Job(const std::string& aId, uint32_t aTasks)
  {
    return { .id_ = aId,
             .steps_ = { { .count_ = aTasks,
                           .resources_ = { .cpu_ = kTaskCpu },
                           .estimate_ = Millis(300) } } };
  }

  static JobQueue Queue()
  {
    return {
      .name_ = "queue", .service_ = "service", .attempts_ = 3, .stretch_ = 20
    };
  }

  void Store(const std::string& aId, uint32_t aTasks)
  {
    entry_->Restore(
      Job(aId, aTasks), 0, Queue(), progress_[aId], Millis(0), false, now_);
    Perform();
  }

  void Submit(const std::string& aId, uint32_t aTasks)
  {
    JobDescription job = Job(aId, aTasks);
    job.bestEffort_ = true;
    entry_->Submit(
      ++submission_, job, Queue(), now_ + std::chrono::hours(1), now_);
    Perform();
  }

  void Report(Upstream& aUpstream, RunTable::Updates aUpdates)
  {
    RunReports message{ .reports_ = std::move(aUpdates.reports_),
                        .stalled_ = std::move(aUpdates.stalled_),
                        .started_ = std::move(aUpdates.started_),
                        .upstream_ =
                          aUpstream.table_->MakeUpstreamReport(now_) };
    message.upstream_.ordersReceived_ = 1U << 30U;
    entry_->OnReports(aUpstream.sidecar_, message, now_);
  }

  Upstream& Of(MemberId aSidecar)
  {
    return **std::find_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& aUpstream) {
        return aUpstream->sidecar_ == aSidecar;
      });
  }

  void Perform()
  {
    for (JobAction& action : entry_->TakeActions()) {
      std::visit(
        Visitor{
          [&](SendRuns& aSend) {
            int64_t& cpu = orderedCpu_[aSend.orders_.job_];
            cpu = std::max(cpu, aSend.orders_.resources_.cpu_);
            Of(aSend.sidecar_).table_->OnOrders(entryId_, aSend.orders_, now_);
          },
          [&](SendStops& aSend) {
            Of(aSend.sidecar_).table_->OnStop(entryId_, aSend.stops_, now_);
          },
          [&](const SendAcknowledgement& aSend) {
            Of(aSend.sidecar_).table_->OnAcknowledgeEnds(aSend.ends_);
          },
          [&](const SaveJob& aSave) {
            progress_[aSave.instance_.job_] = aSave.progress_;
            if (aSave.outcome_) {
              outcomes_[aSave.instance_.job_] = *aSave.outcome_;
            }
            entry_->OnSaved(aSave.ends_);
          },
          [&](const AnswerJob& aAnswer) {
            outcomes_[kCrashingJob] = aAnswer.outcome_;
          },
          [](const auto&) {} },
        action);
    }
  }

  void Crash(Upstream& aUpstream)
  {
    ++crashes_;
    aUpstream.up_ = false;
    aUpstream.returns_ = now_ + kDownTime;
    aUpstream.running_.clear();
    aUpstream.ended_.clear();
    aUpstream.ends_ = 0;
  }

  void StartTask(Upstream& aUpstream, const StartRequest& aStart)
  {
    const bool crashing = aStart.key_.task_.job_ == kCrashingJob;
    if (crashing && aUpstream.up_) {
      startsAfterCrashes_ += crashes_ >= kCrashes ? 1 : 0;
      Crash(aUpstream);
    }
    if (!aUpstream.up_) {
      aUpstream.table_->OnStartAnswer(
        aStart.key_, StartAnswer::Unknown, UpstreamTime{}, now_);
      return;
    }
    aUpstream.running_[{ aStart.key_.task_, aStart.upstreamRunNumber_ }] = now_;
    aUpstream.table_->OnStartAnswer(
      aStart.key_, StartAnswer::Started, UpstreamTime{}, now_);
  }

  void Poll(Upstream& aUpstream)
  {
    constexpr Millis kRunTime{ 300 };
    for (auto run = aUpstream.running_.begin();
         run != aUpstream.running_.end();) {
      if (now_ - run->second < kRunTime) {
        ++run;
        continue;
      }
      aUpstream.ended_.push_back(
        { .number_ = ++aUpstream.ends_, .key_ = run->first });
      run = aUpstream.running_.erase(run);
    }
    UpstreamPollResult result{ .clock_ = { std::chrono::duration_cast<Millis>(
                                 now_.time_since_epoch()) },
                               .ended_ = aUpstream.ended_ };
    for (const auto& [key, since] : aUpstream.running_) {
      result.running_.push_back({ .key_ = key });
    }
    aUpstream.table_->OnPollResult(aUpstream.table_->BeginPoll(), result, now_);
  }

  void Step(Upstream& aUpstream)
  {
    RunTable& table = *aUpstream.table_;
    if (!aUpstream.up_ && now_ >= aUpstream.returns_) {
      aUpstream.up_ = true;
      ++aUpstream.started_;
      Announce(aUpstream);
    }
    table.OnOwnerHeard(entryId_, now_);
    if (aUpstream.up_) {
      Poll(aUpstream);
    }
    table.Tick(now_);
    entry_->OnUpstreamCrashes(
      aUpstream.sidecar_, { table.TakeCrashes() }, now_);
    for (const StartRequest& start : table.TakeStarts(now_)) {
      StartTask(aUpstream, start);
    }
    for (auto& [owner, updates] : table.TakeUpdates()) {
      if (owner == entryId_) {
        Report(aUpstream, std::move(updates));
      }
    }
    Report(aUpstream, {});
  }

  void RunFor(Millis aTime)
  {
    const MonoTime end = now_ + aTime;
    while (now_ < end) {
      now_ += kStep;
      for (const auto& upstream : upstreams_) {
        Step(*upstream);
      }
      entry_->Tick(now_);
      Perform();
    }
  }

  MonoTime now_{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  MemberId entryId_{ 1 };
  std::unique_ptr<JobScheduler> entry_;
  JobSubmissionId submission_ = 0;
  std::map<std::string, JobProgress> progress_;
  std::map<std::string, JobOutcome> outcomes_;
  /// Largest order of each job.
  std::map<std::string, int64_t> orderedCpu_;
  size_t crashes_ = 0;
  size_t startsAfterCrashes_ = 0;
};

TEST_F(CrashingTaskTest, ATaskThatCrashesItsUpstreamsIsNotStartedForEver)
{
  Lead(1);
  Store(kCrashingJob, 1);
  RunFor(Millis(60000));
  EXPECT_LE(startsAfterCrashes_, kStartsAfterCrashes);
  EXPECT_LE(crashes_, kCrashes);
  EXPECT_EQ(outcomes_[kCrashingJob], JobOutcome::Failed);
}

// Each leader counted from the beginning.
TEST_F(CrashingTaskTest, LeadersThatReplaceEachOtherDoNotStartItForEver)
{
  for (uint64_t term = 1; term <= 12; ++term) {
    Lead(term);
    if (outcomes_.count(kCrashingJob) == 0) {
      Store(kCrashingJob, 1);
    }
    RunFor(Millis(5000));
    StartEntry();
  }
  EXPECT_LE(startsAfterCrashes_, kStartsAfterCrashes);
  EXPECT_EQ(outcomes_[kCrashingJob], JobOutcome::Failed);
}

// Its client submits the job again, to another entry each time.
TEST_F(CrashingTaskTest, EntriesDoNotStartASubmissionAgainForEver)
{
  for (int i = 0; i < 12 && outcomes_.count(kCrashingJob) == 0; ++i) {
    Submit(kCrashingJob, 1);
    RunFor(Millis(1300));
    StartEntry();
  }
  RunFor(Millis(10000));
  Submit(kCrashingJob, 1);
  RunFor(Millis(10000));
  EXPECT_LE(startsAfterCrashes_, kStartsAfterCrashes);
  EXPECT_EQ(outcomes_[kCrashingJob], JobOutcome::Failed);
}

// A task that shared its upstreams with a crashing one is not the cause.
TEST_F(CrashingTaskTest, ATaskBesideACrashingOneIsCompleted)
{
  Lead(1);
  Store(kOtherJob, 24);
  Store(kCrashingJob, 1);
  RunFor(Millis(60000));
  EXPECT_EQ(outcomes_[kOtherJob], JobOutcome::Completed);
}

// One that lasts would keep the upstream to itself.
TEST_F(CrashingTaskTest, ALongRunningTaskIsNotTriedAlone)
{
  Lead(1);
  JobDescription job = Job(kOtherJob, 6);
  job.steps_.front().longRunning_ = true;
  entry_->Restore(job, 0, Queue(), {}, Millis(0), false, now_);
  Perform();
  Store(kCrashingJob, 1);
  RunFor(Millis(20000));
  EXPECT_EQ(outcomes_[kCrashingJob], JobOutcome::Failed);
  EXPECT_EQ(orderedCpu_[kCrashingJob], kUpstreamCpu);
  EXPECT_EQ(orderedCpu_[kOtherJob], kTaskCpu);
}

} // namespace
} // namespace cornelfront
