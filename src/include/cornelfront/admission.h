#pragma once

/// \file
/// Refusal of tasks that would not start in time.

#include "cornelfront/clock.h"
#include "cornelfront/schema.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelfront {

/// Tasks that wait at one entry for one service, and the slots it may use.
struct ServiceLoad
{
  /// Waiting tasks by priority.
  std::array<uint64_t, 3> waiting_{};
  uint64_t slots_ = 0;
  /// Tasks that run or wait at the sidecars.
  uint64_t tasks_ = 0;

  uint64_t FreeSlots() const { return slots_ > tasks_ ? slots_ - tasks_ : 0; }
};

/// Predicts how long a new task waits before its start. While tasks wait, the
/// mean time between this entry's starts is measured, which includes the part
/// of the slots that other entries use; otherwise the prediction follows from
/// the mean run time and the number of slots. Not thread-safe.
class WaitEstimate
{
public:
  explicit WaitEstimate(Millis aRunTime);

  void OnRunTime(Millis aRunTime);
  /// Takes note that a task was sent; \p aStillWaiting is the number of tasks
  /// that wait after it.
  void OnStart(uint64_t aStillWaiting, MonoTime aNow);

  /// Expected wait of the last of \p aTasks new tasks of a priority; zero if
  /// there are enough free slots, Millis::max() if there are no slots at all.
  Millis Predict(const ServiceLoad& aLoad,
                 Priority aPriority,
                 uint64_t aTasks,
                 MonoTime aNow) const;

private:
  using Seconds = std::chrono::duration<double>;

  Seconds TimePerStart(uint64_t aSlots, MonoTime aNow) const;

  Seconds runTime_;
  Seconds startGap_{ 0 };
  /// Starts counted in startGap_.
  uint32_t gaps_ = 0;
  std::optional<MonoTime> lastBusyStart_;
};

struct AdmissionOptions
{
  /// Share of the start limit that the predicted wait may take, by priority,
  /// so that under overload batch work is refused first. Urgent and normal
  /// work differ already in what waits ahead of them.
  std::array<double, 3> limitShare_{ 1.0, 1.0, 0.5 };
  Millis shortestRetryAfter_{ 50 };
  Millis longestRetryAfter_{ 30000 };
};

/// Returns nullopt if a request with this predicted wait may be accepted;
/// otherwise the time after which the queue is expected to be short enough.
std::optional<Millis>
CheckAdmission(const AdmissionOptions& aOptions,
               Priority aPriority,
               Millis aPredictedWait,
               Millis aStartWithin);

} // namespace cornelfront
