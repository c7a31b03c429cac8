#pragma once

/// \file
/// Bounds the time at which what a server reads had arrived at its sockets.

#include "cornelfront/clock.h"

#include <cstdint>
#include <unordered_map>

namespace cornelfront {

/// A server looks at its sockets again and again. What a look finds on a
/// connection had not arrived by the last look that left nothing unread, or, if
/// the connection is newer, by the last one that left no connection unaccepted.
/// That holds for one request at a time on each connection, not for pipelined
/// ones. Not thread-safe.
class ArrivalBound
{
public:
  /// Nothing can have arrived before \p aNow.
  explicit ArrivalBound(MonoTime aNow);

  /// A look at all sockets begins.
  void BeginLook(MonoTime aNow);
  /// This look has accepted a connection, which the next one reads.
  void OnAccept(int aSocket);
  /// The look has ended. \p aLeft says that it left something unread on a
  /// connection, \p aListenerEmpty that no connection waits to be accepted.
  void EndLook(bool aLeft, bool aListenerEmpty);
  /// What is read from the connection now has arrived later than this.
  MonoTime ArrivedAfter(int aSocket) const;

private:
  struct NewConnection
  {
    /// Number of the look that accepted it.
    uint64_t look_ = 0;
    MonoTime arrivedAfter_;
  };

  uint64_t look_ = 0;
  MonoTime lookedAt_;
  /// Begin of the last look that left nothing unread.
  MonoTime readAt_;
  /// Begin of the last look that left no connection unaccepted.
  MonoTime acceptedAt_;
  /// Connections that no such look has read yet, by their sockets.
  std::unordered_map<int, NewConnection> new_;
};

} // namespace cornelfront
