#include "cornelfront/schema.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

using std::chrono_literals::operator""ms;

constexpr const char* kDesk = R"(services:
  event_desk:
    calls:
      match:
        repeatable: false
        priority: urgent
        start_within: 2s
        run_limit: 5s
        max_body: 64KiB
        size: {processors: 0.5, memory: 128MiB, run_time: 300ms}
    teams:
      doors: {starts_per_second: 50, burst: 80}
)";

TEST(Schema, ReadsEveryField)
{
  const auto schemas = ParseSchema(kDesk);
  ASSERT_EQ(schemas.size(), 1U);
  EXPECT_EQ(schemas[0].service_, "event_desk");
  const CallSchema& call = schemas[0].calls_.at("match");
  EXPECT_FALSE(call.repeatable_);
  EXPECT_EQ(call.priority_, Priority::Urgent);
  EXPECT_EQ(call.startWithin_, 2000ms);
  EXPECT_EQ(call.runLimit_, 5000ms);
  EXPECT_EQ(call.maxBodyBytes_, 64U << 10);
  EXPECT_EQ(call.size_.memoryMb_, 128U);
  EXPECT_EQ(call.size_.runTime_, 300ms);
  EXPECT_EQ(schemas[0].teams_.at("doors").burst_, 80);
}

struct InvalidSchema
{
  const char* yaml_;
  int line_;
  const char* key_;
};

TEST(Schema, NamesLineAndKeyOfEachError)
{
  const std::vector<InvalidSchema> cases = {
    { "services:\n  d:\n    calls:\n      m: {repeatable: maybe}\n",
      4,
      "services.d.calls.m.repeatable" },
    { "services:\n  d:\n    calls:\n      m: {}\n",
      4,
      "services.d.calls.m.repeatable" },
    { "services:\n  d:\n    calls:\n      m:\n        repeatable: true\n"
      "        run_limit: 1s\n        size: {run_time: 2s}\n",
      7,
      "services.d.calls.m.size.run_time" },
    { "services:\n  d:\n    calls:\n      m:\n        repeatable: true\n"
      "        start_within: 2\n",
      6,
      "services.d.calls.m.start_within" },
    { "services:\n  d:\n    calls: {m: {repeatable: true}}\n    foo: 1\n",
      4,
      "services.d.foo" },
  };
  for (const InvalidSchema& bad : cases) {
    try {
      ParseSchema(bad.yaml_);
      FAIL() << bad.yaml_;
    } catch (const FileErrors& errors) {
      ASSERT_EQ(errors.Errors().size(), 1U) << errors.what();
      EXPECT_EQ(errors.Errors()[0].line_, bad.line_) << bad.yaml_;
      EXPECT_EQ(errors.Errors()[0].key_, bad.key_);
    }
  }
}

TEST(Schema, ReportsAllErrorsTogether)
{
  try {
    ParseSchema("services:\n  d:\n    calls:\n      m: {repeatable: 7}\n"
                "      n: {repeatable: true, priority: soon}\n");
    FAIL();
  } catch (const FileErrors& errors) {
    EXPECT_EQ(errors.Errors().size(), 2U);
  }
}

} // namespace
} // namespace cornelfront
