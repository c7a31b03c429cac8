#include "cornelfront/ramp.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

namespace {

using Seconds = std::chrono::duration<double>;

/// Hashes an id to a number in [0, 1).
double
UnitHash(MemberId aId)
{
  constexpr uint64_t kMix = 0x9E3779B97F4A7C15ULL;
  constexpr int kUnusedBits = 11;
  constexpr double kRange = 9007199254740992.0; // 2 to the 53rd power
  uint64_t hash = (aId.value_ ^ (aId.value_ >> 31U)) * kMix;
  hash ^= hash >> 29U;
  return static_cast<double>((hash * kMix) >> kUnusedBits) / kRange;
}

double
Progress(const Ramp& aRamp, MonoTime aNow)
{
  return Seconds(aNow - aRamp.start_) / Seconds(aRamp.duration_);
}

} // namespace

Ramp
StartRamp(MemberId aId, Millis aDuration, MonoTime aNow)
{
  return { .start_ = aNow, .duration_ = aDuration, .offset_ = UnitHash(aId) };
}

bool
IsRampOver(const Ramp& aRamp, MonoTime aNow)
{
  return aNow >= aRamp.start_ + aRamp.duration_;
}

uint32_t
RampedSlots(const Ramp& aRamp, uint32_t aSlots, MonoTime aNow)
{
  if (IsRampOver(aRamp, aNow)) {
    return aSlots;
  }
  const double usable = Progress(aRamp, aNow) * aSlots + aRamp.offset_;
  return std::min(static_cast<uint32_t>(std::max(usable, 0.0)), aSlots);
}

MonoTime
NextRampStep(const Ramp& aRamp, uint32_t aSlots, MonoTime aNow)
{
  const MonoTime end = aRamp.start_ + aRamp.duration_;
  const uint32_t next = RampedSlots(aRamp, aSlots, aNow) + 1;
  if (next > aSlots) {
    return end;
  }
  const double progress = std::max(0.0, next - aRamp.offset_) / aSlots;
  const auto step = std::chrono::ceil<Millis>(aRamp.duration_ * progress);
  return std::clamp(aRamp.start_ + step, aNow + Millis(1), end + Millis(1));
}

} // namespace cornelfront
