#pragma once

/// \file
/// Metrics of one process in Prometheus' text format; docs/OPERATING.md lists
/// them.

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

/// Counters, gauges and histograms of one process. Thread-safe. The Count
/// functions are meant for the hot path: after the first call for a label they
/// take no lock, save for the histogram's in CountRequest and CountTaskRun.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// One message between cornelfront processes of \p aFrameBytes bytes.
  void CountMessage(const Message& aMessage,
                    Direction aDirection,
                    size_t aFrameBytes);

  /// One finished request of a caller and the time from its arrival to its
  /// answer.
  void CountRequest(Outcome aOutcome, Millis aResponseTime);

  /// The final outcome of one task of this process.
  void CountTask(TaskOutcome aOutcome, TaskReason aReason);

  /// The run time of one task at the upstream.
  void CountTaskRun(Millis aRunTime);

  /// A task sent again: because it certainly was not run, or, for repeatable
  /// calls, although it may have run.
  void CountRetry(TaskReason aReason);

  /// An answer that nobody waited for and that was dropped.
  void CountStrayAnswer();

  /// One exchange with the platform's log.
  void CountLogOperation(LogOperation aOperation, bool aSucceeded);

  /// One link that ended; \p aReason is a constant such as "silent".
  void CountLinkEnd(const std::string& aReason);

  /// Tasks that wait in this process for a slot.
  void SetQueueLength(const std::string& aService, size_t aTasks);

  /// Load of the service's upstreams, as far as this process knows them.
  void SetLoad(const std::string& aService, const LoadReport& aLoad);

  /// Links that are up, by the role of the other side.
  void SetLinks(Role aPeer, size_t aLinks);

  void SetConfigVersion(ConfigVersion aVersion);
  void SetReady(bool aReady);

  /// Events dropped from the buffer of the time line so far.
  void SetEventsDropped(uint64_t aEvents);

  /// The text that /metrics serves; reads the process's processor time and
  /// resident memory anew.
  std::string Serialize();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
