#pragma once

/// \file
/// Helpers shared by the files that implement JobScheduler.

#include "cornelfront/clock.h"
#include "cornelfront/job.h"

#include <cmath>
#include <string>

namespace cornelfront {

inline double
ToMs(MonoClock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

inline Millis
FromMs(double aMs)
{
  return Millis(static_cast<int64_t>(std::llround(aMs)));
}

/// The reason for which a job fails whose task has used up its attempts.
inline std::string
DescribeFailures(const JobTaskId& aTaskId, size_t aFailures)
{
  return ToString(aTaskId) + " failed " + std::to_string(aFailures) + " times";
}

} // namespace cornelfront
