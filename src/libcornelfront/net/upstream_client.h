#pragma once

/// \file
/// The sidecar's side of the protocol with its upstream, over loopback HTTP:
///   POST /tasks/<task id>?call=&submission=&index=&start_by_ms=
///        &run_limit_ms=   runs the task; the bodies are opaque.
///     -> 200 completed; 429 refused before the start; 409 stopped;
///        any other status: the task ran and failed
///     start_by_ms is a time of the worker's CLOCK_MONOTONIC, in milliseconds,
///     which both processes share: a request that is read later, because
///     either process was suspended, must be refused with 429.
///   DELETE /tasks/<task id>   stops the task

#include "cornelfront/clock.h"
#include "cornelfront/http_client.h"
#include "cornelfront/messages.h"

#include <atomic>
#include <cstdint>

namespace cornelfront {

/// Use one object per thread.
class UpstreamClient
{
public:
  /// Runs the task at the upstream on \p aPort and waits for its end.
  /// The upstream refuses to start it after \p aStartBy. Setting
  /// \p aAbort stops the task.
  TaskAnswer Run(uint16_t aPort,
                 const StartTask& aTask,
                 MonoTime aStartBy,
                 const std::atomic<bool>& aAbort);

private:
  void StopTask(uint16_t aPort, TaskId aId);

  HttpClient http_;
};

} // namespace cornelfront
