#include "cornelfront/submission.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(5) };
constexpr Millis kLifetime{ 1000 };
const std::string kOwner = "00000000000000ab";

TEST(Submission, RoundTrips)
{
  const SubmissionId id{ .prefix_ = IssuePrefix(
                           MemberId{ 0xab }, kStart, kStart + Millis(31)),
                         .suffix_ = "Check-in_7" };
  EXPECT_EQ(ToString(id), kOwner + "-1f.Check-in_7");
  EXPECT_EQ(ParseSubmissionId(ToString(id)), id);
}

TEST(Submission, RejectsInvalidIds)
{
  const std::vector<std::string> bad = {
    "",
    ".",
    "-.",
    kOwner + "-1f",
    kOwner + "-1f.",
    kOwner + "-.a",
    kOwner + ".a",
    kOwner + "-01f.a",
    kOwner + "-1F.a",
    kOwner + "--1.a",
    kOwner + "-1234567890abc.a",
    "ab-1f.a",
    kOwner + "-1f.a.b",
    kOwner + "-1f.a b",
    kOwner + "-1f.a~",
    kOwner + "-1f.\xc3\xa9",
    kOwner + "-1f." + std::string(kMaxSuffixLength + 1, 'a'),
  };
  for (const std::string& text : bad) {
    EXPECT_FALSE(ParseSubmissionId(text)) << text;
  }
  EXPECT_TRUE(
    ParseSubmissionId(kOwner + "-0." + std::string(kMaxSuffixLength, 'a')));
}

TEST(Submission, ClassifiesAPrefixByAge)
{
  const auto classify = [](Millis aIssued, Millis aNow) {
    return ClassifyPrefix(
      { .issuedAt_ = aIssued }, kStart, kLifetime, kStart + aNow);
  };
  EXPECT_EQ(classify(Millis(10), Millis(9)), PrefixAge::Future);
  EXPECT_EQ(classify(Millis(10), Millis(10)), PrefixAge::Valid);
  EXPECT_EQ(classify(Millis(10), Millis(1010)), PrefixAge::Valid);
  EXPECT_EQ(classify(Millis(10), Millis(1011)), PrefixAge::Expired);
}

} // namespace
} // namespace cornelfront
