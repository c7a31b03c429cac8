#pragma once

/// \file
/// Client of the executor that is the upstream beside a sidecar.

#include "cornelfront/async_http_client.h"
#include "cornelfront/run_table.h"
#include "cornelfront/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront::platform {

/// A heartbeat, decoded.
struct Heartbeat
{
  UpstreamInfo info_;
  /// Rises with each heartbeat of one incarnation.
  int64_t sequence_ = 0;
  std::optional<UpstreamClock> clock_;
};

/// Reads the heartbeat of the executor \p aId.
/// \throws WireError if it names no executor that could be used
Heartbeat
ParseHeartbeat(const std::string& aId, std::string_view aBody);

/// Outcome of a look at the executor.
enum class LookOutcome : uint8_t
{
  Ok,
  /// No answer in time.
  Silent,
  /// Nothing listens at its address.
  Refused,
  /// Another incarnation answered.
  Replaced,
};

/// All calls and callbacks are on the event loop.
class ExecutorClient
{
public:
  ExecutorClient(asio::io_context& aLoop, const Endpoint& aExecutor);

  /// The incarnation that all following calls are meant for; others refuse
  /// them.
  void SetIncarnation(const UpstreamInfo& aInfo);

  /// \p aDeadline: the executor refuses the order after this time. An order
  /// that had no answer within \p aLimit is uncertain.
  void Start(const StartOrder& aOrder,
             UpstreamClock aDeadline,
             Millis aLimit,
             std::function<void(StartAnswer)> aDone);
  /// Sent once; whether it had an effect is seen in the next look.
  void Stop(const RunKey& aKey);
  /// Acknowledges ends up to \p aAcknowledged, extends the lease to \p aLease
  /// if there is one, and waits up to \p aWait for an end.
  /// It is silent if it takes \p aLimit longer than that.
  void Look(uint64_t aAcknowledged,
            std::optional<UpstreamClock> aLease,
            Millis aWait,
            Millis aLimit,
            std::function<void(LookOutcome, UpstreamLook)> aDone);

private:
  HttpClientRequest Request(std::string_view aCall, std::string aBody) const;

  const std::string base_;
  UpstreamInfo info_;
  AsyncHttpClient orders_;
  AsyncHttpClient looks_;
};

} // namespace cornelfront::platform
