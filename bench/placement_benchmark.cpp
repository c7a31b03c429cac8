/// \file
/// Time that a leader takes to place stored jobs while many wait: of one pass
/// over them, of the placement of a job that could start, and of one wide job.

#include "cornelfront/job_scheduler.h"

#include <benchmark/benchmark.h>

namespace {

using namespace std::chrono_literals;
using cornelfront::JobAction;
using cornelfront::JobDescription;
using cornelfront::JobQueue;
using cornelfront::JobScheduler;
using cornelfront::JobSchedulerOptions;
using cornelfront::MemberId;
using cornelfront::Millis;
using cornelfront::MonoTime;
using cornelfront::SendRuns;
using cornelfront::UpstreamReport;

constexpr uint64_t kUpstreams = 70;
constexpr uint64_t kServices = 5;
/// Needs of the jobs of a service differ by this many sizes of their tasks.
constexpr int kSizes = 4;
constexpr int64_t kUpstreamCpu = 16000;
/// Of each upstream, in thousandths of a core times milliseconds.
constexpr int64_t kBacklog = 10 * kUpstreamCpu * 1000;
constexpr MonoTime kStart{ 1h };
/// Longer than JobSchedulerOptions::placeInterval_, so that each step of time
/// has a pass.
constexpr Millis kStep{ 6 };

std::string
ServiceOf(uint64_t aNumber)
{
  return "service-" + std::to_string(aNumber % kServices);
}

std::string
JobId(int64_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

UpstreamReport
Report(uint64_t aUpstream, bool aFull)
{
  UpstreamReport report{ .service_ = ServiceOf(aUpstream),
                         .upstream_ = "u-" + std::to_string(aUpstream),
                         .ready_ = true,
                         .capacity_ = { .cpu_ = kUpstreamCpu } };
  if (aFull) {
    report.committed_ = report.capacity_;
    report.backlog_[0] = kBacklog;
  }
  return report;
}

/// A leader beside upstreams that are all full.
struct Leader
{
  Leader()
  {
    for (uint64_t i = 0; i < kUpstreams; ++i) {
      const MemberId id{ i + 1 };
      registered_.insert(id);
      scheduler_.OnSidecarLinked(id, "z", now_);
      scheduler_.OnReports(id, { .upstream_ = Report(i, true) }, now_);
    }
    scheduler_.BecomeLeader(1, now_);
    scheduler_.SetAuthority(MonoTime::max(), now_);
    scheduler_.SetRegisteredSidecars(registered_);
    scheduler_.SetTakingOver(false, now_);
  }

  void Restore(int64_t aNumber,
               uint64_t aService,
               uint32_t aTasks,
               int64_t aCpu,
               uint32_t aMaxPerUpstream,
               bool aTakingOver)
  {
    const JobDescription job{ .id_ = JobId(aNumber),
                              .payload_ = "p",
                              .steps_ = {
                                { .count_ = aTasks,
                                  .resources_ = { .cpu_ = aCpu },
                                  .estimate_ = Millis(200),
                                  .maxPerUpstream_ = aMaxPerUpstream } } };
    const JobQueue queue{ .name_ = "q", .service_ = ServiceOf(aService) };
    scheduler_.Restore(job, 0, queue, {}, Millis(0), aTakingOver, now_);
  }

  /// Restores jobs of all needs, which have to wait.
  void RestoreWaiting(int64_t aJobs)
  {
    for (int64_t i = 0; i < aJobs; ++i) {
      const auto number = static_cast<uint64_t>(i);
      Restore(i, number, 2, 1000 * (1 + i / 5 % kSizes), 0, false);
    }
    scheduler_.TakeActions();
  }

  size_t Tick()
  {
    now_ += kStep;
    scheduler_.Tick(now_);
    size_t sent = 0;
    for (const JobAction& action : scheduler_.TakeActions()) {
      sent += std::holds_alternative<SendRuns>(action) ? 1 : 0;
    }
    return sent;
  }

  std::set<MemberId> registered_;
  JobScheduler scheduler_{ JobSchedulerOptions{ .self_ = MemberId{ 1000 },
                                                .zone_ = "z" } };
  MonoTime now_ = kStart;
};

void
Pass(benchmark::State& aState)
{
  Leader leader;
  leader.RestoreWaiting(aState.range(0));
  for (auto step : aState) {
    leader.Tick();
  }
}

/// A job of another service than those that wait, which was accepted during a
/// takeover. "passes" is the number until it is placed; 1000 if it is not.
void
JobBehindOthers(benchmark::State& aState)
{
  constexpr int kMostPasses = 1000;
  double passes = 0.0;
  for (auto step : aState) {
    aState.PauseTiming();
    Leader leader;
    leader.RestoreWaiting(aState.range(0));
    leader.scheduler_.OnSidecarLinked(MemberId{ 999 }, "z", leader.now_);
    UpstreamReport idle = Report(0, false);
    idle.service_ = "other";
    leader.scheduler_.OnReports(
      MemberId{ 999 }, { .upstream_ = idle }, leader.now_);
    leader.registered_.insert(MemberId{ 999 });
    leader.scheduler_.SetRegisteredSidecars(leader.registered_);
    leader.scheduler_.SetTakingOver(true, leader.now_);
    const JobDescription job{ .id_ = JobId(99999999),
                              .payload_ = "p",
                              .steps_ = { { .count_ = 1,
                                            .resources_ = { .cpu_ = 1000 },
                                            .estimate_ = Millis(200) } } };
    const JobQueue queue{ .name_ = "q2", .service_ = "other" };
    leader.scheduler_.Restore(job, 0, queue, {}, Millis(0), true, leader.now_);
    leader.scheduler_.TakeActions();
    leader.now_ += kStep;
    aState.ResumeTiming();
    leader.scheduler_.SetTakingOver(false, leader.now_);
    int count = 1;
    while (leader.Tick() == 0 && count < kMostPasses) {
      ++count;
    }
    passes += count;
    aState.PauseTiming();
    benchmark::DoNotOptimize(leader.scheduler_.Jobs());
    aState.ResumeTiming();
  }
  aState.counters["passes"] =
    benchmark::Counter(passes, benchmark::Counter::kAvgIterations);
}

/// A job with more tasks than its limit for each upstream allows to run.
void
WideJob(benchmark::State& aState)
{
  int64_t number = 0;
  Leader leader;
  for (uint64_t i = 0; i < kUpstreams; ++i) {
    leader.scheduler_.OnReports(
      MemberId{ i + 1 }, { .upstream_ = Report(i, false) }, leader.now_);
  }
  for (auto step : aState) {
    leader.Restore(
      ++number, 0, static_cast<uint32_t>(aState.range(0)), 1, 1, false);
    aState.PauseTiming();
    leader.scheduler_.Cancel(JobId(number), leader.now_);
    leader.scheduler_.TakeActions();
    aState.ResumeTiming();
  }
}

BENCHMARK(Pass)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);
BENCHMARK(JobBehindOthers)
  ->Arg(100)
  ->Arg(10000)
  ->Iterations(5)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(WideJob)->Arg(100)->Arg(1900)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
