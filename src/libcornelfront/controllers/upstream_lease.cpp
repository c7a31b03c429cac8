#include "controllers/upstream_lease.h"

namespace cornelfront {

bool
UpstreamLease::Announce(const UpstreamAnnouncement& aAnnouncement,
                        MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  const bool changed = current_.service_ != aAnnouncement.service_ ||
                       current_.port_ != aAnnouncement.port_ ||
                       current_.slots_ != aAnnouncement.slots_;
  current_ = aAnnouncement;
  expiry_ = aNow + aAnnouncement.lease_;
  return changed;
}

bool
UpstreamLease::Withdraw()
{
  std::lock_guard lock(mutex_);
  const bool had = current_.slots_ != 0;
  current_.slots_ = 0;
  return had;
}

bool
UpstreamLease::Expire(MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  if (current_.slots_ == 0 || aNow < expiry_) {
    return false;
  }
  current_.slots_ = 0;
  return true;
}

UpstreamAnnouncement
UpstreamLease::Current() const
{
  std::lock_guard lock(mutex_);
  return current_;
}

} // namespace cornelfront
