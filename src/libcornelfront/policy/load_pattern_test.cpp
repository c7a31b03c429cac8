#include "cornelfront/load_pattern.h"

#include "cornelfront/schema.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const std::string kPattern = R"(duration: "4s"
entries: 2
upstreams: { count: 6, cpu: 8000 }
jobs:
  short: { jobs_per_second: 10, tasks: 2, run_time: "60ms", cpu: 2000 }
faults:
  crowd: { kind: burst, at: "1s", for: "2s", factor: 3.0, job: short }
)";

std::vector<std::string>
Errors(const std::string& aYaml)
{
  std::vector<std::string> keys;
  try {
    ParseLoadPattern(aYaml);
  } catch (const FileErrors& errors) {
    for (const FileError& error : errors.Errors()) {
      keys.push_back(error.key_);
    }
  }
  return keys;
}

TEST(LoadPatternTest, ReadsAPattern)
{
  const LoadPattern pattern = ParseLoadPattern(kPattern);
  EXPECT_EQ(pattern.duration_, Millis(4000));
  EXPECT_EQ(pattern.upstreams_, 6U);
  ASSERT_EQ(pattern.kinds_.size(), 1U);
  EXPECT_EQ(pattern.kinds_[0].name_, "short");
  EXPECT_EQ(pattern.kinds_[0].runTime_, Millis(60));
  ASSERT_EQ(pattern.faults_.size(), 1U);
  EXPECT_EQ(pattern.faults_[0].kind_, LoadFaultKind::Burst);
  EXPECT_DOUBLE_EQ(pattern.faults_[0].factor_, 3.0);
}

TEST(LoadPatternTest, NamesEveryError)
{
  EXPECT_EQ(Errors(kPattern + "odd: 1\n"), std::vector<std::string>{ "odd" });
  EXPECT_EQ(Errors(kPattern + "link_delay: \"2min\"\n"),
            std::vector<std::string>{ "link_delay" });
  EXPECT_EQ(Errors("entries: 0\n").size(), 4U)
    << "duration, entries, upstreams and jobs";
  EXPECT_EQ(Errors(kPattern + "options: { max_returned: -1 }\n"),
            std::vector<std::string>{ "options.max_returned" });
}

TEST(LoadPatternTest, AFaultMayNameOnlyAKnownJob)
{
  const auto errors = Errors(R"(duration: "4s"
entries: 2
upstreams: { count: 6 }
jobs:
  short: { jobs_per_second: 10 }
faults:
  crowd: { kind: burst, at: "1s", job: long }
)");
  EXPECT_EQ(errors, std::vector<std::string>{ "faults.crowd.job" });
}

TEST(LoadPatternTest, RejectsTextThatIsNoYaml)
{
  EXPECT_FALSE(Errors("a: [").empty());
}

} // namespace
} // namespace cornelfront
