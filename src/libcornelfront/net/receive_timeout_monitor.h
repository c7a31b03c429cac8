#pragma once

/// \file
/// Timeouts for receiving requests, which protect the server against clients
/// that send slowly or not at all.

#include "cornelfront/clock.h"
#include "cornelfront/sharded_map.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace cornelfront {

struct ReceiveTimeoutOptions
{
  /// Maximum time from the first line of a request to its last byte.
  Millis requestLimit_{ 30000 };
  /// Maximum time from the start of a connection, or the end of the previous
  /// request, to the first line of a request.
  Millis idleLimit_{ 60000 };
  /// Raw response that is written to a connection that exceeds a limit, before
  /// it is closed.
  std::string response_;
};

/// Writes as much of the response as the socket accepts without blocking and
/// shuts down the receiving side, so that the server sees the connection as
/// closed by the client.
void
RespondAndShutdownReceive(int aSocket, std::string_view aResponse);

/// Writes as much of the response as the socket accepts without blocking and
/// shuts down the sending side; data from the client can still be read.
void
RespondAndShutdownSend(int aSocket, std::string_view aResponse);

/// Enforces receive timeouts, also against a client that keeps sending at a low
/// rate. Sockets are identified by their descriptors, which must be open from
/// OnConnect to OnClose. Thread-safe.
class ReceiveTimeoutMonitor
{
public:
  explicit ReceiveTimeoutMonitor(ReceiveTimeoutOptions aOptions);
  ~ReceiveTimeoutMonitor();
  ReceiveTimeoutMonitor(const ReceiveTimeoutMonitor&) = delete;
  ReceiveTimeoutMonitor& operator=(const ReceiveTimeoutMonitor&) = delete;

  void OnConnect(int aSocket, MonoTime aNow);
  /// Called when the first line of a request has arrived.
  void OnRequestLine(int aSocket, MonoTime aNow);
  /// Called when a request has arrived completely; no limit applies until it is
  /// answered. Returns false if reception on the socket was ended before: the
  /// client has been told that the request is not handled.
  [[nodiscard]] bool OnReceived(int aSocket);
  /// Called when the request has been answered or aborted.
  void OnAnswered(int aSocket, MonoTime aNow);
  void OnClose(int aSocket);

  /// Ends reception on all sockets past their deadline. Called periodically by
  /// the monitor's own thread.
  void EndOverdue(MonoTime aNow);

private:
  /// Reception on one socket.
  struct Reception
  {
    MonoTime deadline_;
    /// The response has been written; stays set until the socket is closed.
    bool ended_ = false;
  };

  void SetDeadline(int aSocket, MonoTime aDeadline);
  void Loop();

  const ReceiveTimeoutOptions options_;
  ShardedMap<int, Reception> receptions_;
  std::mutex stopMutex_;
  std::condition_variable stopChanged_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace cornelfront
