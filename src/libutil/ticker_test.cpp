#include "cornelfront/ticker.h"

#include <gtest/gtest.h>

#include <future>

namespace cornelfront {
namespace {

TEST(Ticker, TicksUntilItIsDestroyed)
{
  int ticks = 0;
  std::promise<void> third;
  {
    const Ticker ticker(Millis(1), [&] {
      if (++ticks == 3) {
        third.set_value();
      }
    });
    third.get_future().wait();
  }
  const int atEnd = ticks;
  std::this_thread::sleep_for(Millis(10));
  EXPECT_EQ(ticks, atEnd);
}

} // namespace
} // namespace cornelfront
