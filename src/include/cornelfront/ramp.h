#pragma once

/// \file
/// Gradual use of a sidecar that is new or whose availability zone returned.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstdint>

namespace cornelfront {

/// State of one sidecar's ramp.
struct Ramp
{
  MonoTime began_;
  Millis duration_{ 0 };
  /// Offset, 0 to 1, that spreads the steps of different sidecars in time.
  double offset_ = 0;
};

/// Starts a ramp whose offset depends only on the sidecar.
Ramp
BeginRamp(MemberId aId, Millis aDuration, MonoTime aNow);

/// True once the sidecar may be used fully.
bool
RampIsOver(const Ramp& aRamp, MonoTime aNow);

/// Number of \p aSlots that may be used at \p aNow: grows linearly from 0 or
/// 1 to \p aSlots. Over many sidecars of one slot each, the share of usable
/// ones grows linearly.
uint32_t
RampedSlots(const Ramp& aRamp, uint32_t aSlots, MonoTime aNow);

/// Earliest time after \p aNow at which RampedSlots grows by one, or the end of
/// the ramp.
MonoTime
NextRampStep(const Ramp& aRamp, uint32_t aSlots, MonoTime aNow);

} // namespace cornelfront
