#include "cornelfront/ids.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(Ids, MemberIdRoundTrips)
{
  const MemberId id = NewMemberId();
  EXPECT_EQ(ParseMemberId(ToString(id)), id);
}

TEST(Ids, RejectsInvalidMemberIds)
{
  for (const char* text : { "",
                            "1",
                            "00000000000000zz",
                            "0123456789ABCDEF",
                            "0123456789abcdef0",
                            "-123456789abcdef" }) {
    EXPECT_FALSE(ParseMemberId(text)) << text;
  }
}

} // namespace
} // namespace cornelfront
