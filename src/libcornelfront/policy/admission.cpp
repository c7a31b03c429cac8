#include "cornelfront/admission.h"

#include <algorithm>

namespace cornelfront {

namespace {

constexpr double kRunTimeWeight = 0.02;
constexpr double kIntervalWeight = 1.0 / 64;
/// Minimum number of intervals before their mean is used.
constexpr uint32_t kMinIntervals = 16;
/// Age of the last start after which the mean interval is no longer used.
constexpr std::chrono::seconds kMaxIntervalAge{ 5 };

uint64_t
WaitingAhead(const ServiceLoad& aLoad, Priority aPriority)
{
  uint64_t ahead = 0;
  for (size_t i = 0; i <= static_cast<size_t>(aPriority); ++i) {
    ahead += aLoad.waiting_.at(i);
  }
  return ahead;
}

} // namespace

WaitEstimate::WaitEstimate(Millis aRunTime)
  : runTime_(aRunTime)
{
}

void
WaitEstimate::OnRunTime(Millis aRunTime)
{
  runTime_ += (Seconds(aRunTime) - runTime_) * kRunTimeWeight;
}

void
WaitEstimate::OnStart(uint64_t aStillWaiting, MonoTime aNow)
{
  if (lastQueuedStart_) {
    ++intervalCount_;
    const double weight = std::max(1.0 / intervalCount_, kIntervalWeight);
    startInterval_ +=
      (Seconds(aNow - *lastQueuedStart_) - startInterval_) * weight;
  }
  // The interval until the next start reflects the available slots only if a
  // task waits during the whole interval.
  lastQueuedStart_ =
    aStillWaiting > 0 ? std::optional<MonoTime>(aNow) : std::nullopt;
}

Millis
WaitEstimate::Predict(const ServiceLoad& aLoad,
                      Priority aPriority,
                      uint64_t aTasks,
                      MonoTime aNow) const
{
  if (aLoad.slots_ == 0) {
    return Millis::max();
  }
  const uint64_t ahead = WaitingAhead(aLoad, aPriority) + aTasks;
  const uint64_t free = aLoad.FreeSlots();
  if (ahead <= free) {
    return Millis(0);
  }
  const auto delayed = static_cast<double>(ahead - free);
  return std::chrono::round<Millis>(TimePerStart(aLoad.slots_, aNow) * delayed);
}

WaitEstimate::Seconds
WaitEstimate::TimePerStart(uint64_t aSlots, MonoTime aNow) const
{
  const bool measured = intervalCount_ >= kMinIntervals && lastQueuedStart_ &&
                        aNow < *lastQueuedStart_ + kMaxIntervalAge;
  const Seconds minTime = runTime_ / static_cast<double>(aSlots);
  return measured ? std::max(startInterval_, minTime) : minTime;
}

std::optional<Millis>
CheckAdmission(const AdmissionOptions& aOptions,
               Priority aPriority,
               Millis aPredictedWait,
               Millis aStartWithin)
{
  const double fraction =
    aOptions.limitFraction_.at(static_cast<size_t>(aPriority));
  const auto limit = std::chrono::round<Millis>(aStartWithin * fraction);
  if (aPredictedWait <= limit) {
    return std::nullopt;
  }
  return std::clamp(
    aPredictedWait - limit, aOptions.minRetryAfter_, aOptions.maxRetryAfter_);
}

} // namespace cornelfront
