#pragma once

/// \file
/// Lease that an upstream holds at its sidecar by announcing itself.

#include "cornelfront/clock.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace cornelfront {

/// Service, port and slots that an upstream announces.
struct UpstreamAnnouncement
{
  std::string service_;
  uint16_t port_ = 0;
  unsigned slots_ = 0;
  /// The announcement expires unless it is repeated within this time.
  Millis lease_{ 3000 };
};

/// Current announcement of the upstream and the expiry of its lease.
/// Thread-safe.
class UpstreamLease
{
public:
  /// Starts or renews the lease. Returns true if the announcement differs from
  /// the previous one.
  bool Announce(const UpstreamAnnouncement& aAnnouncement, MonoTime aNow);
  /// Ends the lease. Returns true if there was one.
  bool Release();
  /// Ends the lease if it has expired. Returns true if this call ended it.
  bool Expire(MonoTime aNow);

  /// The announced upstream. `slots_` is 0 while there is none.
  UpstreamAnnouncement Current() const;

private:
  mutable std::mutex mutex_;
  UpstreamAnnouncement announcement_;
  MonoTime expiry_;
};

} // namespace cornelfront
