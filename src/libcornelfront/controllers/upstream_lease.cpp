#include "controllers/upstream_lease.h"

namespace cornelfront {

bool
UpstreamLease::Announce(const UpstreamAnnouncement& aAnnouncement,
                        MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  const bool changed = announcement_.service_ != aAnnouncement.service_ ||
                       announcement_.port_ != aAnnouncement.port_ ||
                       announcement_.slots_ != aAnnouncement.slots_;
  announcement_ = aAnnouncement;
  expiry_ = aNow + aAnnouncement.lease_;
  return changed;
}

bool
UpstreamLease::Release()
{
  std::lock_guard lock(mutex_);
  const bool wasActive = announcement_.slots_ != 0;
  announcement_.slots_ = 0;
  return wasActive;
}

bool
UpstreamLease::Expire(MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  if (announcement_.slots_ == 0 || aNow < expiry_) {
    return false;
  }
  announcement_.slots_ = 0;
  return true;
}

UpstreamAnnouncement
UpstreamLease::Current() const
{
  std::lock_guard lock(mutex_);
  return announcement_;
}

} // namespace cornelfront
