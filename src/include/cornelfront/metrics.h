#pragma once

/// \file
/// Metrics of one process in the Prometheus text format. docs/OPERATING.md
/// lists them.

#include "cornelfront/clock.h"
#include "cornelfront/dispatcher.h"
#include "cornelfront/messages.h"

#include <cstddef>
#include <memory>
#include <string>

namespace cornelfront {

enum class Direction : uint8_t
{
  Sent,
  Received,
};

enum class LogOperation : uint8_t
{
  Read,
  Append,
};

/// Counters, gauges and histograms of one process. Thread-safe. CountMessage(),
/// CountTask(), CountRetry() and CountUnexpectedAnswer() are intended for the
/// hot path: they take no lock after the first call for a combination of
/// labels. CountRequest() and CountTaskRun() additionally take the lock of a
/// histogram.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts one message of \p aFrameBytes bytes between cornelfront processes.
  void CountMessage(const Message& aMessage,
                    Direction aDirection,
                    size_t aFrameBytes);

  /// Counts one finished request of a caller and the time from its arrival to
  /// its response.
  void CountRequest(Outcome aOutcome, Millis aResponseTime);

  /// Counts the final outcome of one task of this process.
  void CountTask(TaskOutcome aOutcome, TaskReason aReason);

  /// Records the run time of one task at the upstream.
  void CountTaskRun(Millis aRunTime);

  /// Counts a task that was sent again, either because it did not run or, for
  /// repeatable calls, although it may have run.
  void CountRetry(TaskReason aReason);

  /// Counts an answer that was dropped because no task was waiting for it.
  void CountUnexpectedAnswer();

  /// Counts one request to the platform's log.
  void CountLogOperation(LogOperation aOperation, bool aSucceeded);

  /// Counts one link that ended. \p aReason is a constant such as "silent".
  void CountLinkEnd(const std::string& aReason);

  /// Sets the number of tasks that wait in this process for a slot.
  void SetQueueLength(const std::string& aService, size_t aTasks);

  /// Sets the load of the service's upstreams that this process knows.
  void SetLoad(const std::string& aService, const LoadReport& aLoad);

  /// Sets the number of established links to peers of a role.
  void SetLinks(Role aPeer, size_t aLinks);

  void SetConfigVersion(ConfigVersion aVersion);
  void SetReady(bool aReady);

  /// Sets the total number of events dropped from the event buffer.
  void SetEventsDropped(uint64_t aEvents);

  /// Returns the response body of /metrics, with the current processor time and
  /// resident memory of the process.
  std::string Serialize();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
