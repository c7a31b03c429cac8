#include "cornelfront/size_estimate.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {

namespace {

/// Number of histogram buckets per doubling of the run time.
constexpr double kBucketsPerDoubling = 4;
/// Weight of the declared run time, in observations.
constexpr double kDeclaredWeight = 4;
/// Factor by which each new observation reduces the weight of the older ones.
constexpr float kKept = 0.995F;
constexpr double kMeanWeight = 0.02;
constexpr double kSpeedWeight = 0.1;
constexpr double kShortestMillis = 1;

double
AtLeastOne(Millis aTime)
{
  return std::max(static_cast<double>(aTime.count()), kShortestMillis);
}

size_t
BucketOf(Millis aTime, size_t aBuckets)
{
  const double index = std::log2(AtLeastOne(aTime)) * kBucketsPerDoubling;
  return std::min(static_cast<size_t>(std::lround(index)), aBuckets - 1);
}

Millis
MiddleOf(size_t aBucket)
{
  const double doublings = static_cast<double>(aBucket) / kBucketsPerDoubling;
  return Millis(std::lround(std::exp2(doublings)));
}

} // namespace

SizeEstimate::SizeEstimate(Millis aDeclared)
  : mean_(AtLeastOne(aDeclared))
{
  Add(aDeclared, kDeclaredWeight);
}

void
SizeEstimate::OnRunTime(Millis aRunTime)
{
  for (float& count : counts_) {
    count *= kKept;
  }
  total_ *= kKept;
  Add(aRunTime, 1);
  // The weight of an observation decreases from one over the number of
  // observations to the constant, so that a wrong declaration soon loses its
  // influence.
  const double weight = std::max(1.0 / total_, kMeanWeight);
  mean_ += weight * (AtLeastOne(aRunTime) - mean_);
}

Millis
SizeEstimate::Quantile(double aShare) const
{
  const double wanted = aShare * total_;
  double seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += counts_.at(i);
    if (seen >= wanted && seen > 0) {
      return MiddleOf(i);
    }
  }
  return MiddleOf(kBuckets - 1);
}

Millis
SizeEstimate::Mean() const
{
  return Millis(std::lround(mean_));
}

void
SizeEstimate::Add(Millis aRunTime, double aWeight)
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
  const double ratio = AtLeastOne(aRunTime) / AtLeastOne(aMedian);
  meanLog_ += weight * (std::log(ratio) - meanLog_);
  if (answers_ < options_.fewestAnswers_) {
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
