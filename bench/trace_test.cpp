#include "trace.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

using testing::ElementsAre;

TEST(Trace, HasTheRequestedLoadAndIsReproducible)
{
  const TraceOptions options{ .seed_ = 7, .utilisation_ = 0.7 };
  const auto trace = MakeTrace(options);
  Millis work{ 0 };
  for (const Arrival& arrival : trace) {
    for (Millis runTime : arrival.runTimes_) {
      work += runTime;
    }
  }
  const double load =
    static_cast<double>(work.count()) /
    (88.0 * static_cast<double>(Millis(options.duration_).count()));
  EXPECT_NEAR(load, 0.7, 0.01);
  const auto again = MakeTrace(options);
  ASSERT_EQ(again.size(), trace.size());
  EXPECT_EQ(again.back().runTimes_, trace.back().runTimes_);
}

TEST(IdealResponses, ServesInOrderOfArrivalOnAllSlots)
{
  const std::vector<Arrival> trace{
    { Millis(0), { Millis(100) } },
    { Millis(0), { Millis(50), Millis(50) } },
    { Millis(40), { Millis(10) } },
  };
  EXPECT_THAT(IdealResponses(trace, 2),
              ElementsAre(Millis(100), Millis(100), Millis(70)));
  EXPECT_THAT(IdealResponses(trace, 4),
              ElementsAre(Millis(100), Millis(50), Millis(10)));
}

TEST(IdealResponses, StartsNothingDuringAnOutage)
{
  const std::vector<Arrival> trace{
    { Millis(0), { Millis(100) } },
    { Millis(0), { Millis(100) } },
    { Millis(0), { Millis(100) } },
  };
  EXPECT_THAT(
    IdealResponses(
      trace, 2, { .slots_ = 1, .from_ = Millis(0), .until_ = Millis(150) }),
    ElementsAre(Millis(100), Millis(200), Millis(250)));
}

TEST(QuantileOf, SelectsByRank)
{
  EXPECT_EQ(QuantileOf({}, 0.5), Millis(0));
  EXPECT_EQ(QuantileOf({ Millis(3), Millis(1), Millis(2) }, 0.5), Millis(2));
  EXPECT_EQ(QuantileOf({ Millis(3), Millis(1), Millis(2) }, 1.0), Millis(3));
}

} // namespace
} // namespace cornelfront
