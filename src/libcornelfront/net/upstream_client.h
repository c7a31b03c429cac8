#pragma once

/// \file
/// Client for the protocol between a sidecar and its upstream, HTTP over
/// loopback:
///   POST /tasks/<task id>?call=&submission=&index=&start_by_ms=
///        &run_limit_ms=   runs the task; request and response bodies are
///        opaque
///     -> 200 completed; 429 refused before the start; 409 stopped;
///        any other status: the task ran and failed
///     start_by_ms is a time on the worker's CLOCK_MONOTONIC, in milliseconds,
///     which both processes share. The upstream must refuse a request that it
///     reads later than that with 429; this happens when either process was
///     suspended.
///   DELETE /tasks/<task id>   stops the task

#include "cornelfront/clock.h"
#include "cornelfront/http_client.h"
#include "cornelfront/messages.h"

#include <atomic>
#include <cstdint>

namespace cornelfront {

/// Not thread-safe: use one object per thread.
class UpstreamClient
{
public:
  /// Runs the task on the upstream at \p aPort and waits until it ends. The
  /// upstream refuses to start it after \p aStartBy. Setting \p aAbort from
  /// another thread stops the task.
  TaskAnswer Run(uint16_t aPort,
                 const StartTask& aTask,
                 MonoTime aStartBy,
                 const std::atomic<bool>& aAbort);

private:
  void StopTask(uint16_t aPort, TaskId aId);

  HttpClient http_;
};

} // namespace cornelfront
