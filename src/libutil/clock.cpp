#include "cornelfront/clock.h"

#include <ctime>

namespace cornelfront {

MonoTime
BootNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonoTime(std::chrono::seconds(now.tv_sec) +
                  std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace cornelfront
