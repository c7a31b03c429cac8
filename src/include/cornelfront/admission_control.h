#pragma once

/// \file
/// Admission of jobs at an entry: which ones are accepted while upstreams are
/// full.

#include <cstdint>

namespace cornelfront {

struct AdmissionOptions
{
  /// A job of the most urgent priority is refused if its predicted wait exceeds
  /// this share of the slack that its objective leaves.
  double urgentWaitShare_ = 0.6;
  /// The same for all other priorities.
  double waitShare_ = 0.05;
};

/// Returns the longest predicted wait, in milliseconds, with which a job of
/// this slack and priority is accepted.
///
/// Load pattern: more arrivals than capacity for a second or longer. Whatever
/// is accepted then waits behind all that was accepted before, so that nearly
/// everything is late. Refusing the less urgent jobs as soon as they would wait
/// keeps the others in time.
double
LongestAdmittedWaitMs(const AdmissionOptions& aOptions,
                      double aSlackMs,
                      uint8_t aPriority);

} // namespace cornelfront
