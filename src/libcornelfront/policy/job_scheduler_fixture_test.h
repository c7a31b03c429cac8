#pragma once

/// \file
/// Fixtures of the tests of JobScheduler: a scheduler with two sidecars, and
/// one that leads.

#include "cornelfront/job_scheduler.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cornelfront::job_scheduler_test {

inline const std::string kJob = "00000000000000a1";
inline constexpr MemberId kFirst{ 1 };
inline constexpr MemberId kSecond{ 2 };
/// Two seconds of work for one of the upstreams, in thousandths of a core times
/// milliseconds.
inline constexpr int64_t kTwoSecondsOfWork = 8000000;

inline MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

inline JobQueue
Queue()
{
  return { .name_ = "q",
           .service_ = "desk",
           .attempts_ = 2,
           .stretch_ = 2.0,
           .slo_ = Millis(100) };
}

inline JobDescription
Job(uint32_t aCount = 1, const std::string& aId = kJob)
{
  return { .id_ = aId,
           .payload_ = "p",
           .steps_ = { { .count_ = aCount,
                         .resources_ = { .cpu_ = 1000 },
                         .estimate_ = Millis(100) } },
           .bestEffort_ = true };
}

inline UpstreamReport
Idle(const std::string& aUpstream, int64_t aCpu = 4000)
{
  return { .service_ = "desk",
           .upstream_ = aUpstream,
           .ready_ = true,
           .capacity_ = { .cpu_ = aCpu },
           .labels_ = { "a", "rack-" + aUpstream } };
}

/// A report of an upstream whose resources are all committed, with this much
/// queued work of priority 0 and 1.
inline UpstreamReport
Full(const std::string& aUpstream, int64_t aUrgentWork, int64_t aOtherWork)
{
  UpstreamReport report = Idle(aUpstream);
  report.committed_ = report.capacity_;
  report.backlog_[0] = aUrgentWork;
  report.backlog_[1] = aOtherWork;
  return report;
}

/// The scheduler's actions, sorted by kind.
struct SortedActions
{
  std::vector<SendRuns> runs_;
  std::vector<SendStops> stops_;
  std::vector<AnswerJob> answers_;

  size_t Runs() const
  {
    size_t count = 0;
    for (const SendRuns& send : runs_) {
      count += send.orders_.runs_.size();
    }
    return count;
  }
};

/// A scheduler with two sidecars, each with an idle upstream.
class JobSchedulerTest : public testing::Test
{
protected:
  JobSchedulerTest()
  {
    Link(kFirst, Idle("u1"));
    Link(kSecond, Idle("u2"));
  }

  void Link(MemberId aSidecar, const UpstreamReport& aReport, int aMs = 0)
  {
    scheduler_.OnSidecarLinked(aSidecar, "zone-" + ToString(aSidecar), At(aMs));
    scheduler_.OnHeldRuns(aSidecar, {}, RunEnd::NotStarted, At(aMs));
    scheduler_.OnReports(aSidecar, { .upstream_ = aReport }, At(aMs));
  }

  void Submit(const JobDescription& aJob,
              int aMs = 0,
              JobSubmissionId aSubmissionId = 1)
  {
    scheduler_.Submit(aSubmissionId, aJob, Queue(), At(aMs + 5000), At(aMs));
  }

  SortedActions Take()
  {
    SortedActions sorted;
    for (JobAction& action : scheduler_.TakeActions()) {
      if (auto* runs = std::get_if<SendRuns>(&action)) {
        sorted.runs_.push_back(std::move(*runs));
      } else if (auto* stops = std::get_if<SendStops>(&action)) {
        sorted.stops_.push_back(std::move(*stops));
      } else if (auto* answer = std::get_if<AnswerJob>(&action)) {
        sorted.answers_.push_back(std::move(*answer));
      }
    }
    return sorted;
  }

  void End(const SendRuns& aSend, RunEnd aEnd, int aMs, size_t aIndex = 0)
  {
    UpstreamReport report = Idle(aSend.sidecar_ == kFirst ? "u1" : "u2");
    report.ordersReceived_ = 1000;
    scheduler_.OnReports(
      aSend.sidecar_,
      { .reports_ = { { .key_ = { aSend.orders_.Task(
                                    aSend.orders_.runs_.at(aIndex)),
                                  aSend.orders_.runs_.at(aIndex).run_ },
                        .end_ = aEnd,
                        .runTime_ = Millis(100) } },
        .upstream_ = report },
      At(aMs));
  }

  JobScheduler scheduler_{ JobSchedulerOptions{ .zone_ = "z" } };
};

/// The scheduler of a leader, which restores stored jobs.
class StoredJobTest : public JobSchedulerTest
{
protected:
  StoredJobTest()
  {
    scheduler_.BecomeLeader(1, At(0));
    scheduler_.SetAuthority(At(100000), At(0));
    scheduler_.SetRegisteredSidecars({ kFirst, kSecond });
    scheduler_.SetTakingOver(false, At(0));
  }

  void Restore(const JobDescription& aJob,
               const JobProgress& aProgress = {},
               bool aFromEarlierLeader = false,
               int aMs = 0)
  {
    scheduler_.Restore(
      aJob, 0, Queue(), aProgress, Millis(0), aFromEarlierLeader, At(aMs));
  }

  std::vector<SaveJob> Saves()
  {
    std::vector<SaveJob> saves;
    for (JobAction& action : scheduler_.TakeActions()) {
      if (auto* save = std::get_if<SaveJob>(&action)) {
        saves.push_back(std::move(*save));
      }
    }
    return saves;
  }

  void Report(MemberId aSidecar, const RunKey& aKey, RunEnd aEnd, int aMs)
  {
    scheduler_.OnReports(
      aSidecar,
      { .reports_ = { { .key_ = aKey, .end_ = aEnd, .unacknowledged_ = true } },
        .upstream_ = Idle(aSidecar == kFirst ? "u1" : "u2") },
      At(aMs));
  }

  const RunKey key_{ { kJob, 0, 0, 0 }, 1 };
};

} // namespace cornelfront::job_scheduler_test
