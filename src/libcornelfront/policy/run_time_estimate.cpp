#include "cornelfront/run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

namespace {

/// Number of histogram buckets per doubling of the run time.
constexpr double kBucketsPerDoubling = 4;
/// Weight of the declared run time, in observations.
constexpr double kDeclaredWeight = 4;
/// Factor by which each new observation reduces the weight of the older ones.
constexpr float kDecay = 0.995F;
constexpr double kMeanWeight = 0.02;
constexpr double kSpeedWeight = 0.1;
constexpr double kMinMillis = 1;

double
ClampedMillis(Millis aTime)
{
  return std::max(static_cast<double>(aTime.count()), kMinMillis);
}

size_t
BucketOf(Millis aTime, size_t aBuckets)
{
  const double index = std::log2(ClampedMillis(aTime)) * kBucketsPerDoubling;
  return std::min(static_cast<size_t>(std::lround(index)), aBuckets - 1);
}

Millis
BucketMiddle(size_t aBucket)
{
  const double doublings = static_cast<double>(aBucket) / kBucketsPerDoubling;
  return Millis(std::lround(std::exp2(doublings)));
}

} // namespace

RunTimeEstimate::RunTimeEstimate(Millis aDeclared)
  : mean_(ClampedMillis(aDeclared))
{
  Add(aDeclared, kDeclaredWeight);
}

void
RunTimeEstimate::OnRunTime(Millis aRunTime)
{
  for (float& count : counts_) {
    count *= kDecay;
  }
  total_ *= kDecay;
  Add(aRunTime, 1);
  // The weight of an observation decreases from one over the number of
  // observations to the constant, so that a wrong declaration soon loses its
  // influence.
  const double weight = std::max(1.0 / total_, kMeanWeight);
  mean_ += weight * (ClampedMillis(aRunTime) - mean_);
}

Millis
RunTimeEstimate::Quantile(double aShare) const
{
  const double target = aShare * total_;
  double cumulative = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    cumulative += counts_.at(i);
    if (cumulative >= target && cumulative > 0) {
      return BucketMiddle(i);
    }
  }
  return BucketMiddle(kBuckets - 1);
}

Millis
RunTimeEstimate::Mean() const
{
  return Millis(std::lround(mean_));
}

void
RunTimeEstimate::Add(Millis aRunTime, double aWeight)
{
  counts_.at(BucketOf(aRunTime, kBuckets)) += static_cast<float>(aWeight);
  total_ += static_cast<float>(aWeight);
}

SpeedEstimate::SpeedEstimate(SpeedOptions aOptions)
  : options_(aOptions)
{
}

void
SpeedEstimate::OnRunTime(Millis aRunTime, Millis aMedian)
{
  ++answers_;
  const double weight = std::max(1.0 / answers_, kSpeedWeight);
  const double ratio = ClampedMillis(aRunTime) / ClampedMillis(aMedian);
  meanLog_ += weight * (std::log(ratio) - meanLog_);
  if (answers_ < options_.minAnswers_) {
    return;
  }
  slow_ = Factor() > (slow_ ? options_.normalFactor_ : options_.slowFactor_);
}

double
SpeedEstimate::Factor() const
{
  return std::exp(meanLog_);
}

} // namespace cornelfront
