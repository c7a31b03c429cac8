#pragma once

/// \file
/// Ejection of sidecars whose upstream fails far more often than the others.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cornelfront {

struct EjectionOptions
{
  bool enabled_ = true;
  /// Consecutive failures that eject a sidecar while the others hardly ever
  /// fail.
  uint32_t consecutiveFailures_ = 3;
  /// Amount by which the failure rate of a sidecar must exceed the mean of the
  /// others to eject it.
  double excessRate_ = 0.4;
  /// Number of answers over which a failure rate is averaged.
  uint32_t windowAnswers_ = 20;
  /// Largest fraction of the sidecars that may be ejected. If more than this
  /// qualify, the cause is assumed to lie elsewhere and none is ejected.
  double maxEjectedFraction_ = 0.3;
  /// Time until the first probe; doubles with each failed probe.
  Millis baseEjectionTime_{ 1000 };
  Millis maxEjectionTime_{ 30000 };
};

/// Decides which sidecars of one service are ejected, and when one task is
/// sent to an ejected one to probe it. A sidecar returns when a probe succeeds.
/// Not thread-safe.
///
/// The number of consecutive failures that ejects a sidecar grows with the
/// failure rate of the others, so that a call that fails everywhere ejects
/// none. The limit on ejections and the back-off follow Envoy's outlier
/// detection.
class EjectionPolicy
{
public:
  explicit EjectionPolicy(EjectionOptions aOptions);

  void Add(MemberId aId);
  void Erase(MemberId aId);

  /// State change caused by one answer.
  enum class Change
  {
    None,
    Ejected,
    Returned,
    /// Ejection is suspended because too many sidecars fail.
    Suspended,
    /// Ejection is in force again.
    Resumed,
  };

  /// Records one answer; does nothing for an unknown sidecar.
  Change OnAnswer(MemberId aId, bool aFailed, MonoTime aNow);

  bool IsEjected(MemberId aId) const;
  /// True while ejection is suspended because more sidecars fail than may be
  /// ejected.
  bool IsSuspended() const;
  /// Number of sidecars that are currently ejected.
  size_t EjectedCount() const;

  /// Returns the ejected sidecar whose probe has been due the longest, or
  /// nullopt if none is due. Its next probe is due one back-off later. A task
  /// that must not be repeated (\p aRepeatable is false) serves as a probe only
  /// if no repeatable task came for a whole back-off.
  std::optional<MemberId> NextProbe(bool aRepeatable, MonoTime aNow);

private:
  struct Health
  {
    uint32_t consecutive_ = 0;
    /// Exponentially weighted moving average of the failure rate, 0 to 1.
    double failureRate_ = 0;
    uint32_t answers_ = 0;
    bool failing_ = false;
    uint32_t ejections_ = 0;
    MonoTime probeAt_;
  };

  void RecordAnswer(Health& aHealth, bool aFailed);
  bool IsOutlier(const Health& aHealth) const;
  double MeanRateOfOthers(const Health& aHealth) const;
  uint32_t ConsecutiveThreshold(double aMeanRate) const;
  void MarkFailing(MemberId aId, Health& aHealth, MonoTime aNow);
  void ClearFailing(MemberId aId, Health& aHealth);
  Millis Backoff(const Health& aHealth) const;
  void ScheduleProbe(MemberId aId, Health& aHealth, MonoTime aNow);

  EjectionOptions options_;
  std::unordered_map<MemberId, Health> members_;
  /// Failing sidecars, ordered by the time of their next probe.
  std::set<std::pair<MonoTime, uint64_t>> probes_;
  double rateSum_ = 0;
};

} // namespace cornelfront
