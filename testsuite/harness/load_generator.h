#pragma once

/// \file
/// Callers that keep a cluster busy while faults are injected.

#include "cluster.h"

#include <atomic>
#include <thread>

namespace cornelfront::harness {

struct LoadGeneratorOptions
{
  unsigned callers_ = 8;
  /// Requests of each caller; 0 continues until Stop.
  unsigned requests_ = 0;
  /// One in this many requests is a job of \c jobTasks_ tasks; 0 sends only
  /// calls.
  unsigned jobEvery_ = 4;
  unsigned jobTasks_ = 5;
  Millis run_{ 40 };
  std::string call_ = "match";
  /// Resubmits a request once under its id, to another entry, after an answer
  /// that leaves its outcome unknown.
  bool resubmit_ = true;
};

/// Each caller sends its requests one after the other, as behind a load
/// balancer: after a refusal or without a connection it switches to the next
/// entry and uses a new id, which is safe because the request was not run. Each
/// id ends in "-" and the time of its first use in milliseconds since 1970.
class LoadGenerator
{
public:
  LoadGenerator(const Cluster& aCluster,
                HistoryChecker& aChecker,
                LoadGeneratorOptions aOptions = {});
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /// Waits for the requests in flight and sends no more.
  void Stop();
  /// Waits until every caller has sent its \c requests_ requests.
  void Finish();

  unsigned Completed() const { return completed_; }
  /// Number of requests without a completed answer.
  unsigned Lost() const { return lost_; }

private:
  void RunCaller(unsigned aCaller);
  bool RunRequest(unsigned aCaller, unsigned aRequest);
  AnswerOutcome SubmitOnce(unsigned aEntry,
                           const std::string& aSuffix,
                           bool aIsJob);
  unsigned EntryFor(unsigned aChoice) const;

  const Cluster& cluster_;
  HistoryChecker& checker_;
  LoadGeneratorOptions options_;
  std::atomic<bool> stopping_ = false;
  std::atomic<unsigned> completed_ = 0;
  std::atomic<unsigned> lost_ = 0;
  std::vector<std::jthread> threads_;
};

} // namespace cornelfront::harness
