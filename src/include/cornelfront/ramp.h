#pragma once

/// \file
/// Gradual increase of the load on a sidecar that is new or whose availability
/// zone has returned (slow start).

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstdint>

namespace cornelfront {

/// Ramp-up of one sidecar.
struct Ramp
{
  MonoTime start_;
  Millis duration_{ 0 };
  /// Offset from 0 to 1 that spreads the steps of different sidecars over time.
  double offset_ = 0;
};

/// Starts a ramp. Its offset depends only on the id of the sidecar.
Ramp
StartRamp(MemberId aId, Millis aDuration, MonoTime aNow);

/// True once all slots of the sidecar may be used.
bool
IsRampOver(const Ramp& aRamp, MonoTime aNow);

/// Returns how many of \p aSlots may be used at \p aNow; grows linearly from 0
/// or 1 to \p aSlots. Among many sidecars with one slot each, the fraction of
/// usable ones grows linearly.
uint32_t
RampedSlots(const Ramp& aRamp, uint32_t aSlots, MonoTime aNow);

/// Returns the earliest time after \p aNow at which RampedSlots grows by one,
/// or the end of the ramp.
MonoTime
NextRampStep(const Ramp& aRamp, uint32_t aSlots, MonoTime aNow);

} // namespace cornelfront
