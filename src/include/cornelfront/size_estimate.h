#pragma once

/// \file
/// Run times of calls and relative speeds of sidecars, learned from answers.

#include "cornelfront/clock.h"

#include <array>
#include <cstdint>

namespace cornelfront {

/// Distribution of the recent run times of one call. The declared run time
/// counts as a few observations, so it matters only until there are answers.
/// Takes about 300 bytes. Not thread-safe.
///
/// A histogram with logarithmic buckets whose counts fade; quantiles are exact
/// to one bucket, that is, 19%.
class SizeEstimate
{
public:
  explicit SizeEstimate(Millis aDeclared);

  void OnRunTime(Millis aRunTime);

  /// Run time that a share \p aShare of the tasks does not exceed.
  Millis Quantile(double aShare) const;
  Millis Median() const { return Quantile(0.5); }
  /// Mean, for throughput.
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
  /// Times the median of other sidecars at which a sidecar becomes slow.
  double slowFactor_ = 2.0;
  /// Times the median at which it stops being slow.
  double normalFactor_ = 1.5;
  /// Answers before a judgement.
  uint32_t fewestAnswers_ = 8;
};

/// Speed of one sidecar's upstream relative to the median run time of its
/// calls. Works on logarithms, so that one very long task does not decide.
/// Not thread-safe.
class SpeedEstimate
{
public:
  explicit SpeedEstimate(SpeedOptions aOptions = {});

  /// Takes note of a run time and the median over all sidecars of the same
  /// call.
  void OnRunTime(Millis aRunTime, Millis aMedian);

  bool IsSlow() const { return slow_; }
  /// Typical run time in multiples of the median.
  double Factor() const;

private:
  SpeedOptions options_;
  double meanLog_ = 0;
  uint32_t answers_ = 0;
  bool slow_ = false;
};

} // namespace cornelfront
