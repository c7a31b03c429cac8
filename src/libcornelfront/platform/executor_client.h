#pragma once

/// \file
/// Client of an executor, the upstream served by a job sidecar.

#include "cornelfront/async_http_client.h"
#include "cornelfront/order_fence.h"
#include "cornelfront/run_table.h"
#include "cornelfront/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront::platform {

/// Decoded heartbeat of an executor.
struct Heartbeat
{
  UpstreamInfo info_;
  /// Increases with each heartbeat of one incarnation.
  int64_t sequence_ = 0;
  std::optional<UpstreamTime> clock_;
};

/// Parses the heartbeat of the executor \p aId.
/// \throws WireFormatError if a field is missing or invalid
Heartbeat
ParseHeartbeat(const std::string& aId, std::string_view aBody);

/// Parses the deregistration of the executor \p aId; its body may be empty.
/// \throws WireFormatError if the body is malformed
UpstreamDeparture
ParseDeparture(const std::string& aId, std::string_view aBody);

/// Outcome of polling the executor.
enum class PollOutcome : uint8_t
{
  Ok,
  /// No valid response in time.
  Silent,
  /// The connection was refused: nothing listens at the address.
  Refused,
  /// An executor with another id responded.
  Replaced,
  /// The executor responded and has started again under its id.
  Restarted,
  /// The executor has seen a call with a higher fence. Polls that are sent from
  /// now on carry a higher one.
  Fenced,
};

/// Maximum number of polls at a time, but for the first one of a new
/// incarnation, for which a connection is left. A poll that waits for a
/// connection would count as unanswered.
constexpr int kMaxOpenPolls = 2;

/// All calls and callbacks are on the thread of the event loop.
class ExecutorClient
{
public:
  ExecutorClient(asio::io_context& aLoop, const Endpoint& aExecutor);

  /// Sets the incarnation that all following calls are meant for, and what is
  /// known of its clock.
  void SetIncarnation(const UpstreamInfo& aInfo, UpstreamTime aClock);

  /// Takes the answer and, if it has one, the clock of the executor.
  using StartCallback =
    std::function<void(StartAnswer, std::optional<UpstreamTime>)>;
  /// Asks the executor to start a run. The executor rejects the request after
  /// \p aDeadline. Without a response within \p aLimit the answer is
  /// StartAnswer::Unknown.
  void Start(const StartRequest& aOrder,
             UpstreamTime aDeadline,
             Millis aLimit,
             StartCallback aDone);
  /// Asks the executor to stop a run. The request is sent once; its effect
  /// shows in the next poll.
  void Stop(const RunKey& aKey);
  /// Polls the executor: acknowledges ended runs up to \p aAcknowledged,
  /// extends the lease to \p aLease if given, and waits up to \p aWait for a
  /// run to end. The outcome is Silent if the response takes \p aLimit longer
  /// than that.
  void Poll(uint64_t aAcknowledged,
            std::optional<UpstreamTime> aLease,
            Millis aWait,
            Millis aLimit,
            std::function<void(PollOutcome, UpstreamPollResult)> aDone);
  /// Sends a call whose only effect is its fence. \p aDone is told whether an
  /// answer within \p aLimit shows that no order with a lower fence is carried
  /// out any more.
  void SendFence(Millis aLimit, std::function<void(bool)> aDone);

private:
  HttpClientRequest Request(std::string_view aCall, std::string aBody) const;
  PollOutcome ReadPollAnswer(const HttpResult& aResult,
                             int64_t aBorn,
                             int64_t aFence,
                             UpstreamPollResult& aPollResult);

  const std::string base_;
  UpstreamInfo info_;
  OrderFence fence_;
  AsyncHttpClient requests_;
  AsyncHttpClient polls_;
};

} // namespace cornelfront::platform
