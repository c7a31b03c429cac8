#include "cornelfront/load_replay.h"

#include "cornelfront/file.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

/// Worth of the jobs that the users ask for on a day with trouble.
constexpr double kTargetWorth = 0.9;
/// Makes patterns of 160 upstreams quick enough for every build.
constexpr uint32_t kDivisor = 4;

LoadPattern
Pattern(const std::string& aName)
{
  return ParseLoadPattern(ReadFile(std::string(CORNELFRONT_SOURCE_DIR) +
                                   "/testsuite/patterns/" + aName + ".yaml"));
}

/// Reduces processes and arrivals alike, which keeps the load of each upstream.
LoadPattern
Scaled(LoadPattern aPattern, uint32_t aDivisor)
{
  aPattern.entries_ = (aPattern.entries_ + aDivisor - 1) / aDivisor;
  aPattern.upstreams_ /= aDivisor;
  for (LoadKind& kind : aPattern.kinds_) {
    kind.jobsPerSecond_ /= aDivisor;
  }
  return aPattern;
}

/// Mean worth of the kinds of job, each counting the same.
double
MeanKindWorth(const LoadReplayResult& aResult)
{
  double sum = 0.0;
  for (const LoadKindOutcomes& kind : aResult.kinds_) {
    sum += kind.outcomes_.Worth();
  }
  return sum / static_cast<double>(aResult.kinds_.size());
}

TEST(LoadReplay, CountsEachJobOnce)
{
  const LoadReplayResult result = ReplayLoad(Pattern("small_burst"));
  const LoadOutcomes& total = result.total_;
  EXPECT_GT(total.submitted_, 1000U);
  EXPECT_EQ(total.inTime_ + total.late_ + total.refused_ + total.failed_,
            total.submitted_);
  uint64_t windows = 0;
  for (const LoadOutcomes& window : result.windows_) {
    windows += window.submitted_;
  }
  EXPECT_EQ(windows, total.submitted_);
}

TEST(LoadReplay, IsDeterministic)
{
  const LoadPattern pattern = Pattern("small_burst");
  const LoadReplayResult first = ReplayLoad(pattern);
  const LoadReplayResult second = ReplayLoad(pattern);
  EXPECT_EQ(first.total_.inTime_, second.total_.inTime_);
  EXPECT_EQ(first.starts_, second.starts_);
  EXPECT_EQ(first.reports_, second.reports_);
}

TEST(LoadReplay, WithoutLoadEveryJobIsInTime)
{
  LoadPattern pattern = Pattern("small_burst");
  pattern.faults_.clear();
  for (LoadKind& kind : pattern.kinds_) {
    kind.jobsPerSecond_ /= 10;
    kind.clientTimeout_ = Millis(10000);
  }
  const LoadReplayResult result = ReplayLoad(pattern);
  EXPECT_EQ(result.total_.inTime_, result.total_.submitted_);
}

// Many entries with views that are a few hundred milliseconds old choose the
// same upstream. An order that would wait comes back and is placed elsewhere;
// without that, a job of eight short tasks is late as soon as one of them
// waits.
TEST(LoadReplay, TasksThatMeetAtOneUpstreamArePlacedElsewhere)
{
  LoadPattern pattern = Pattern("large");
  pattern.duration_ = Millis(2000);
  const LoadReplayResult returned = ReplayLoad(pattern);
  pattern.scheduler_.maxReturned_ = 0;
  const LoadReplayResult queued = ReplayLoad(pattern);
  const LoadOutcomes& wide = returned.kinds_.at(0).outcomes_;
  EXPECT_GE(wide.Worth(), kTargetWorth);
  EXPECT_LT(queued.kinds_.at(0).outcomes_.Worth(), wide.Worth());
  EXPECT_GT(returned.returned_, 0U);
}

// While a sixth of the upstreams is slow, the others are full more often, and
// a fifth of the entries restarts without any view.
TEST(LoadReplay, ServesWhileUpstreamsAreSlowAndEntriesRestart)
{
  LoadPattern pattern = Scaled(Pattern("slow"), kDivisor);
  const LoadReplayResult returned = ReplayLoad(pattern);
  pattern.scheduler_.maxReturned_ = 0;
  const LoadReplayResult queued = ReplayLoad(pattern);
  EXPECT_GE(returned.total_.Worth(), kTargetWorth);
  EXPECT_LT(queued.total_.Worth(), returned.total_.Worth());
}

// During a burst beyond the capacity, jobs that would wait make each other
// late. Refusing the less urgent ones at once serves more of every kind.
struct BurstCase
{
  const char* name_;
  uint32_t divisor_;
};

class BurstTest : public testing::TestWithParam<BurstCase>
{};

TEST_P(BurstTest, RefusingWhatWouldWaitServesMore)
{
  LoadPattern pattern = Scaled(Pattern(GetParam().name_), GetParam().divisor_);
  const LoadReplayResult strict = ReplayLoad(pattern);
  AdmissionOptions& admission = pattern.scheduler_.admission_;
  admission.waitShare_ = admission.urgentWaitShare_;
  const LoadReplayResult lenient = ReplayLoad(pattern);
  EXPECT_GT(MeanKindWorth(strict), MeanKindWorth(lenient));
  EXPECT_GT(strict.WorstWindow(), lenient.WorstWindow());
  EXPECT_LE(strict.total_.refused_ + strict.total_.failed_,
            lenient.total_.refused_ + lenient.total_.failed_);
}

TEST_P(BurstTest, TheMostUrgentKindIsServedBest)
{
  LoadPattern pattern = Scaled(Pattern(GetParam().name_), GetParam().divisor_);
  const LoadReplayResult result = ReplayLoad(pattern);
  for (const LoadKindOutcomes& kind : result.kinds_) {
    EXPECT_GE(result.kinds_.at(0).outcomes_.Worth(), kind.outcomes_.Worth())
      << kind.kind_;
  }
}

INSTANTIATE_TEST_SUITE_P(Patterns,
                         BurstTest,
                         testing::Values(BurstCase{ "small_burst", 1 },
                                         BurstCase{ "burst", kDivisor }));

} // namespace
} // namespace cornelfront
