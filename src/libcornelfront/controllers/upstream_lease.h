#pragma once

/// \file
/// Controller of the upstream's announcement to its sidecar.

#include "cornelfront/clock.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace cornelfront {

/// What an upstream says of itself.
struct UpstreamAnnouncement
{
  std::string service_;
  uint16_t port_ = 0;
  unsigned slots_ = 0;
  /// The announcement ends unless it is repeated within this time.
  Millis lease_{ 3000 };
};

/// Thread-safe.
class UpstreamLease
{
public:
  /// Returns true if this changes what was announced before.
  bool Announce(const UpstreamAnnouncement& aAnnouncement, MonoTime aNow);
  /// Ends the lease; returns true if there was one.
  bool Withdraw();
  /// Ends the lease if it has run out; returns true if it did so now.
  bool Expire(MonoTime aNow);

  /// The announced upstream; `slots_` is 0 while there is none.
  UpstreamAnnouncement Current() const;

private:
  mutable std::mutex mutex_;
  UpstreamAnnouncement current_;
  MonoTime expiry_;
};

} // namespace cornelfront
