#pragma once

/// \file
/// Callers that keep a cluster busy while faults happen.

#include "cluster.h"

#include <atomic>
#include <thread>

namespace cornelfront::harness {

struct LoadOptions
{
  unsigned callers_ = 8;
  /// Requests of each caller; 0 goes on until Stop.
  unsigned requests_ = 0;
  /// Every so many requests one is a job of jobTasks_; 0 sends calls only.
  unsigned jobEvery_ = 4;
  unsigned jobTasks_ = 5;
  Millis run_{ 40 };
  std::string call_ = "match";
  /// Sends a request again under its id after an answer that leaves its fate
  /// open.
  bool resubmit_ = true;
};

/// Each caller sends one request after the other, as behind a balancer: it
/// changes the entry when one refuses or can't be reached, and then uses a new
/// id, which it may because the request was not run. Each id ends in "-" and
/// the time of its first use in milliseconds since 1970.
class Load
{
public:
  Load(const Cluster& aCluster, Judge& aJudge, LoadOptions aOptions = {});
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  /// Ends after the requests that are under way.
  void Stop();
  /// Waits until all requests_ have been answered.
  void Finish();

  unsigned Completed() const { return completed_; }
  /// Requests that got no completed answer.
  unsigned Lost() const { return lost_; }

private:
  void RunCaller(unsigned aCaller);
  bool RunRequest(unsigned aCaller, unsigned aRequest);
  Answer SubmitOnce(unsigned aEntry, const std::string& aSuffix, bool aIsJob);
  unsigned EntryFor(unsigned aChoice) const;

  const Cluster& cluster_;
  Judge& judge_;
  LoadOptions options_;
  std::atomic<bool> stopping_ = false;
  std::atomic<unsigned> completed_ = 0;
  std::atomic<unsigned> lost_ = 0;
  std::vector<std::jthread> threads_;
};

} // namespace cornelfront::harness
