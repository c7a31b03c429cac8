#pragma once

/// \file
/// Admission control: refuses tasks that would not start in time.

#include "cornelfront/clock.h"
#include "cornelfront/schema.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelfront {

/// Tasks of one service that wait at one entry, and the slots that the entry
/// may use.
struct ServiceLoad
{
  /// Waiting tasks by priority.
  std::array<uint64_t, 3> waiting_{};
  uint64_t slots_ = 0;
  /// Tasks that run or wait at the sidecars, of all entries.
  uint64_t tasks_ = 0;

  uint64_t FreeSlots() const { return slots_ > tasks_ ? slots_ - tasks_ : 0; }
};

/// Predicts how long a new task waits before it starts. While tasks wait, the
/// prediction uses the mean interval between the starts of this entry, which
/// accounts for the slots that other entries use. Otherwise it uses the mean
/// run time and the number of slots. Not thread-safe.
class WaitEstimate
{
public:
  explicit WaitEstimate(Millis aRunTime);

  void OnRunTime(Millis aRunTime);
  /// Records that a task was sent. \p aStillWaiting is the number of tasks that
  /// still wait afterwards.
  void OnStart(uint64_t aStillWaiting, MonoTime aNow);

  /// Returns the expected wait of the last of \p aTasks new tasks of priority
  /// \p aPriority: zero if there are enough free slots, Millis::max() if there
  /// are no slots.
  Millis Predict(const ServiceLoad& aLoad,
                 Priority aPriority,
                 uint64_t aTasks,
                 MonoTime aNow) const;

private:
  using Seconds = std::chrono::duration<double>;

  Seconds TimePerStart(uint64_t aSlots, MonoTime aNow) const;

  Seconds runTime_;
  Seconds startInterval_{ 0 };
  /// Number of intervals averaged in startInterval_.
  uint32_t intervalCount_ = 0;
  std::optional<MonoTime> lastQueuedStart_;
};

struct AdmissionOptions
{
  /// Largest fraction of the start limit that the predicted wait may take, by
  /// priority. The lower value for batch tasks makes them the first to be
  /// refused under overload. Urgent and normal tasks need no different values,
  /// since fewer tasks wait ahead of urgent ones.
  std::array<double, 3> limitFraction_{ 1.0, 1.0, 0.5 };
  Millis minRetryAfter_{ 50 };
  Millis maxRetryAfter_{ 30000 };
};

/// Returns nullopt if a request with this predicted wait is accepted; otherwise
/// the time after which the queue is expected to be short enough.
std::optional<Millis>
CheckAdmission(const AdmissionOptions& aOptions,
               Priority aPriority,
               Millis aPredictedWait,
               Millis aStartWithin);

} // namespace cornelfront
