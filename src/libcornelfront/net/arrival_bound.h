#pragma once

/// \file
/// Bounds the time at which what a server reads had arrived at its sockets.

#include "cornelfront/clock.h"

namespace cornelfront {

/// A server looks at its sockets again and again. What a look finds had not
/// arrived by the last look that left nothing behind. That holds for one
/// request at a time on each connection, not for pipelined ones. Not
/// thread-safe.
class ArrivalBound
{
public:
  /// Nothing can have arrived before \p aNow.
  explicit ArrivalBound(MonoTime aNow)
    : emptyAt_(aNow)
  {
  }

  /// A look at all sockets begins.
  void BeginLook(MonoTime aNow)
  {
    lookedAt_ = aNow;
    accepted_ = false;
  }
  /// This look has accepted a connection. What it holds is read by a later one.
  void OnAccept() { accepted_ = true; }
  /// The look has ended. \p aLeft says that it left something unread.
  void EndLook(bool aLeft)
  {
    if (!aLeft && !accepted_) {
      emptyAt_ = lookedAt_;
    }
  }
  /// What is read now has arrived later than this.
  MonoTime ArrivedAfter() const { return emptyAt_; }

private:
  MonoTime emptyAt_;
  MonoTime lookedAt_;
  bool accepted_ = false;
};

} // namespace cornelfront
