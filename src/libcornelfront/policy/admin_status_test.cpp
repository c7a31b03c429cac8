#include "cornelfront/admin_status.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const AdminStatus kStatus{
  .process_ = { { 1 }, "entry-1", "entry", "zone-a" },
  .http_ = "127.0.0.1:80",
  .configVersion_ = { 42 },
  .logReachable_ = true,
  .witness_ = true,
  .entries_ = { { { { 2 }, "zone-b", "127.0.0.2", 9 }, "127.0.0.2:80" } },
  .sidecars_ = { { .process_ = { { 3 }, "sidecar-1", "sidecar", "zone-b" },
                   .http_ = "127.0.0.3:80",
                   .service_ = "event_desk",
                   .ready_ = true,
                   .configVersion_ = { 41 },
                   .load_ = { 8, 5, 2 } } },
};

TEST(AdminStatus, RoundTripsThroughJson)
{
  const std::string text = EncodeAdminStatus(kStatus);
  const AdminStatus status = DecodeAdminStatus(text);
  EXPECT_EQ(EncodeAdminStatus(status), text);
  EXPECT_EQ(status.process_.member_, MemberId{ 1 });
  EXPECT_EQ(status.entries_.at(0).address_.port_, 9);
  EXPECT_EQ(status.sidecars_.at(0).load_.queued_, 2U);
}

TEST(AdminStatus, AcceptsMissingAndUnknownKeys)
{
  const AdminStatus status = DecodeAdminStatus(
    R"({"member":"0000000000000001","name":"s","zone":"z","role":"sidecar",)"
    R"("config_version":7,"new":{}})");
  EXPECT_EQ(status.configVersion_, ConfigVersion{ 7 });
  EXPECT_TRUE(status.sidecars_.empty());
}

TEST(AdminStatus, RejectsInvalidText)
{
  for (const char* text : { "", "[]", "{}", R"({"member":1})", "\xff" }) {
    EXPECT_THROW(DecodeAdminStatus(text), AdminStatusError) << text;
  }
}

} // namespace
} // namespace cornelfront
