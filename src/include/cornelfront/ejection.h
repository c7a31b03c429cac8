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
  /// Failures in a row that eject while the others hardly ever fail.
  uint32_t consecutiveFailures_ = 3;
  /// Failure rate above the mean of the others that ejects.
  double excessRate_ = 0.4;
  /// Answers over which a failure rate is averaged.
  uint32_t windowAnswers_ = 20;
  /// Largest share of the sidecars that may be ejected. When more than this
  /// qualify, the cause is taken to lie elsewhere and none is ejected.
  double maxEjectedShare_ = 0.3;
  /// Time until the first probe; doubled by each failed probe.
  Millis firstEjection_{ 1000 };
  Millis longestEjection_{ 30000 };
};

/// Decides which sidecars of one service are ejected, and when one task is
/// sent to an ejected one to probe it. A sidecar returns when a probe succeeds.
/// Not thread-safe.
///
/// The number of failures in a row that ejects grows with the failure rate of
/// the other sidecars, so that a call that fails everywhere ejects nobody.
/// Source of the ejection limit and back-off: Envoy's outlier detection.
class EjectionPolicy
{
public:
  explicit EjectionPolicy(EjectionOptions aOptions);

  void Add(MemberId aId);
  void Erase(MemberId aId);

  /// What one answer changed.
  enum class Change
  {
    None,
    Ejected,
    Returned,
    /// So many sidecars fail that none is ejected any more.
    Suspended,
    /// Ejection is in force again.
    Resumed,
  };

  /// Takes note of one answer; does nothing for an unknown sidecar.
  Change OnAnswer(MemberId aId, bool aFailed, MonoTime aNow);

  bool IsEjected(MemberId aId) const;
  /// True while more sidecars fail than may be ejected.
  bool IsSuspended() const;
  /// Number of sidecars ejected now.
  size_t EjectedCount() const;

  /// Returns the ejected sidecar whose probe has been due the longest, or
  /// nullopt; its next probe is due one back-off later. A task that may not
  /// repeat, \p aRepeatable false, is used as a probe only if no repeatable one
  /// came for a whole back-off time.
  std::optional<MemberId> NextProbe(bool aRepeatable, MonoTime aNow);

private:
  struct Health
  {
    uint32_t consecutive_ = 0;
    /// Exponentially weighted mean of failures, 0 to 1.
    double rate_ = 0;
    uint32_t answers_ = 0;
    bool failing_ = false;
    uint32_t ejections_ = 0;
    MonoTime probeAt_;
  };

  void NoteAnswer(Health& aHealth, bool aFailed);
  bool IsOutlier(const Health& aHealth) const;
  double MeanRateOfOthers(const Health& aHealth) const;
  uint32_t ConsecutiveNeeded(double aMeanRate) const;
  void MarkFailing(MemberId aId, Health& aHealth, MonoTime aNow);
  void ClearFailing(MemberId aId, Health& aHealth);
  Millis BackOff(const Health& aHealth) const;
  void ScheduleProbe(MemberId aId, Health& aHealth, MonoTime aNow);

  EjectionOptions options_;
  std::unordered_map<MemberId, Health> members_;
  /// Failing sidecars by the time of their next probe.
  std::set<std::pair<MonoTime, uint64_t>> probes_;
  double rateSum_ = 0;
};

} // namespace cornelfront
