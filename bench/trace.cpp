#include "trace.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <utility>

namespace cornelfront {

namespace {

constexpr double kMedianRunMs = 200;
constexpr double kRunTimeSpread = 0.7;
constexpr double kMinShortRunMs = 50;
constexpr double kMaxShortRunMs = 1000;
constexpr double kMinLongRunMs = 2000;
constexpr double kMaxLongRunMs = 4000;
constexpr uint32_t kMinTasksPerJob = 2;

class Generator
{
public:
  explicit Generator(const TraceOptions& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
  {
  }

  /// Adds arrivals at uniformly distributed times in a period until their total
  /// run time amounts to the offered load \p aLoad, a multiple of the slots.
  void AddArrivals(Millis aFrom, Millis aLength, double aLoad)
  {
    std::uniform_int_distribution<int64_t> at(0, aLength.count() - 1);
    const double wanted =
      aLoad * options_.slots_ * static_cast<double>(aLength.count());
    double work = 0;
    while (work < wanted) {
      Arrival arrival{ .at_ = aFrom + Millis(at(random_)),
                       .runTimes_ = DrawTasks() };
      for (Millis runTime : arrival.runTimes_) {
        work += static_cast<double>(runTime.count());
      }
      trace_.push_back(std::move(arrival));
    }
  }

  std::vector<Arrival> Take()
  {
    std::ranges::stable_sort(trace_, {}, &Arrival::at_);
    return std::move(trace_);
  }

private:
  std::vector<Millis> DrawTasks()
  {
    size_t count = 1;
    if (std::bernoulli_distribution(options_.jobFraction_)(random_)) {
      count = std::uniform_int_distribution<size_t>(
        kMinTasksPerJob, options_.maxTasksPerJob_)(random_);
    }
    std::vector<Millis> runTimes;
    for (size_t i = 0; i < count; ++i) {
      runTimes.push_back(DrawRunTime());
    }
    return runTimes;
  }

  Millis DrawRunTime()
  {
    double time = 0;
    if (std::bernoulli_distribution(options_.longFraction_)(random_)) {
      time = std::uniform_real_distribution<double>(kMinLongRunMs,
                                                    kMaxLongRunMs)(random_);
    } else {
      std::lognormal_distribution<double> draw(std::log(kMedianRunMs),
                                               kRunTimeSpread);
      time = std::clamp(draw(random_), kMinShortRunMs, kMaxShortRunMs);
    }
    return Millis(std::lround(time));
  }

  TraceOptions options_;
  std::mt19937_64 random_;
  std::vector<Arrival> trace_;
};

} // namespace

std::vector<Arrival>
MakeTrace(const TraceOptions& aOptions)
{
  Generator generator(aOptions);
  const Millis duration = aOptions.duration_;
  generator.AddArrivals(Millis(0), duration, aOptions.utilisation_);
  if (aOptions.burst_ > aOptions.utilisation_) {
    constexpr int kBurstParts = 10;
    const Millis length = duration / kBurstParts;
    const double extra = aOptions.burst_ - aOptions.utilisation_;
    generator.AddArrivals((duration - length) / 2, length, extra);
  }
  return generator.Take();
}

std::vector<Millis>
IdealResponses(const std::vector<Arrival>& aTrace,
               uint32_t aSlots,
               const Outage& aOutage)
{
  // When the slot is next free, and its number.
  using Slot = std::pair<Millis, uint32_t>;
  std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots;
  for (uint32_t i = 0; i < aSlots; ++i) {
    slots.emplace(Millis(0), i);
  }
  std::vector<Millis> responses;
  for (const Arrival& arrival : aTrace) {
    Millis end = arrival.at_;
    for (Millis runTime : arrival.runTimes_) {
      auto [free, number] = slots.top();
      slots.pop();
      Millis start = std::max(free, arrival.at_);
      while (number < aOutage.slots_ && start >= aOutage.from_ &&
             start < aOutage.until_) {
        slots.emplace(aOutage.until_, number);
        std::tie(free, number) = slots.top();
        slots.pop();
        start = std::max(free, arrival.at_);
      }
      slots.emplace(start + runTime, number);
      end = std::max(end, start + runTime);
    }
    responses.push_back(end - arrival.at_);
  }
  return responses;
}

Millis
QuantileOf(std::vector<Millis> aSample, double aQuantile)
{
  if (aSample.empty()) {
    return Millis(0);
  }
  const auto last = static_cast<double>(aSample.size() - 1);
  const auto rank = static_cast<ptrdiff_t>(std::lround(aQuantile * last));
  std::nth_element(aSample.begin(), aSample.begin() + rank, aSample.end());
  return aSample[static_cast<size_t>(rank)];
}

} // namespace cornelfront
