#include "cornelfront/late_order_record.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(LateOrderRecordTest, IsReadAsItWasWritten)
{
  const LateOrderRecord record{
    .sidecarName_ = "side-1",
    .sidecar_ = { 7 },
    .orders_ = { { { "0123456789abcdef", 1, 2, 3 },
                   LateOrderState::Held,
                   Millis(12000),
                   4 } },
  };
  const auto read = DecodeLateOrders(EncodeLateOrders(record));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->sidecarName_, record.sidecarName_);
  EXPECT_EQ(read->sidecar_, record.sidecar_);
  ASSERT_EQ(read->orders_.size(), 1U);
  EXPECT_EQ(read->orders_[0].task_, record.orders_[0].task_);
  EXPECT_EQ(read->orders_[0].state_, LateOrderState::Held);
  EXPECT_EQ(read->orders_[0].left_, Millis(12000));
  EXPECT_EQ(read->orders_[0].upstreamNumber_, 4U);
}

TEST(LateOrderRecordTest, AMalformedOneIsSkipped)
{
  EXPECT_FALSE(DecodeLateOrders({ "side-1", "" }));
  EXPECT_FALSE(DecodeLateOrders({ "side-1", "\x01short" }));
  KeyedRecord cut = EncodeLateOrders(
    { "side-1",
      { 7 },
      { { { "a", 0, 0, 1 }, LateOrderState::Held, Millis(1), 1 } } });
  cut.value_.pop_back();
  EXPECT_FALSE(DecodeLateOrders(cut));
}

} // namespace
} // namespace cornelfront
