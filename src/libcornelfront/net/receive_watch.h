#pragma once

/// \file
/// Bound on the time in which a client must deliver a request.

#include "cornelfront/clock.h"
#include "cornelfront/sharded_map.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace cornelfront {

struct ReceiveWatchOptions
{
  /// Longest time from a request's first line to its last byte.
  Millis requestLimit_{ 30000 };
  /// Longest time from the start of a connection, or the end of the request
  /// before, to the first line of a request.
  Millis idleLimit_{ 60000 };
  /// Bytes written to a connection that exceeds a limit before it is closed.
  std::string response_;
};

/// Writes what the socket takes at once and ends reception, upon which the
/// server finds the connection closed.
void
EndReception(int aSocket, std::string_view aResponse);

/// Writes what the socket takes at once and tells the client that nothing
/// follows; what it sends can still be read.
void
EndTransmission(int aSocket, std::string_view aResponse);

/// Ends the reception of requests that take too long, however steadily their
/// bytes come in. Thread-safe; sockets are named by their descriptors, which
/// must be open from OnConnect to OnClose.
class ReceiveWatch
{
public:
  explicit ReceiveWatch(ReceiveWatchOptions aOptions);
  ~ReceiveWatch();
  ReceiveWatch(const ReceiveWatch&) = delete;
  ReceiveWatch& operator=(const ReceiveWatch&) = delete;

  void OnConnect(int aSocket, MonoTime aNow);
  /// The first line of a request has arrived.
  void OnRequestLine(int aSocket, MonoTime aNow);
  /// A whole request has arrived; no limit holds until it is answered.
  void OnReceived(int aSocket);
  /// The request has been answered or given up.
  void OnAnswered(int aSocket, MonoTime aNow);
  void OnClose(int aSocket);

  /// Ends every reception that is late; called by a thread of its own.
  void EndLate(MonoTime aNow);

private:
  void SetDeadline(int aSocket, MonoTime aDeadline);
  void Loop();

  const ReceiveWatchOptions options_;
  ShardedMap<int, MonoTime> deadlines_;
  std::mutex stopMutex_;
  std::condition_variable stopChanged_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace cornelfront
