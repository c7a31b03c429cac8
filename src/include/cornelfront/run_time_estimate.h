#pragma once

/// \file
/// Estimates of the run times of calls and the relative speeds of sidecars,
/// updated with each answer.

#include "cornelfront/clock.h"

#include <array>
#include <cstdint>

namespace cornelfront {

/// Distribution of the recent run times of one call. The declared run time
/// counts as a few observations, so that it matters only for the first answers.
/// Takes about 300 bytes. Not thread-safe.
///
/// Kept as a histogram with logarithmic buckets whose counts decay
/// exponentially. Quantiles are exact to one bucket, that is, to 19%.
class RunTimeEstimate
{
public:
  explicit RunTimeEstimate(Millis aDeclared);

  void OnRunTime(Millis aRunTime);

  /// Returns the run time that a fraction \p aShare of the tasks does not
  /// exceed.
  Millis Quantile(double aShare) const;
  Millis Median() const { return Quantile(0.5); }
  /// Mean run time, which determines the throughput.
  Millis Mean() const;

private:
  static constexpr size_t kBuckets = 72;

  void Add(Millis aRunTime, double aWeight);

  std::array<float, kBuckets> counts_{};
  float total_ = 0;
  double mean_;
};

struct SpeedOptions
{
  /// A sidecar becomes slow when its run times exceed this multiple of the
  /// median.
  double slowFactor_ = 2.0;
  /// A slow sidecar becomes normal again when its run times fall to this
  /// multiple of the median. Lower than slowFactor_ to provide hysteresis.
  double normalFactor_ = 1.5;
  /// Minimum number of answers before a sidecar is classified.
  uint32_t minAnswers_ = 8;
};

/// Speed of the upstream of one sidecar relative to the median run time of its
/// calls. Averages logarithms, so that a single very long task does not make a
/// sidecar slow. Not thread-safe.
class SpeedEstimate
{
public:
  explicit SpeedEstimate(SpeedOptions aOptions = {});

  /// Records a run time, together with the median run time of the same call
  /// over all sidecars.
  void OnRunTime(Millis aRunTime, Millis aMedian);

  bool IsSlow() const { return slow_; }
  /// Typical run time as a multiple of the median.
  double Factor() const;

private:
  SpeedOptions options_;
  double meanLog_ = 0;
  uint32_t answers_ = 0;
  bool slow_ = false;
};

} // namespace cornelfront
