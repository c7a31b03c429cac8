#include "policy/yaml_reader.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(YamlReader, ParsesDurations)
{
  const struct
  {
    const char* text_;
    std::optional<Millis> duration_;
  } cases[] = {
    { "0ms", Millis(0) },     { "200ms", Millis(200) },
    { "2s", Millis(2000) },   { "5min", Millis(300000) },
    { "200", std::nullopt },  { "ms", std::nullopt },
    { "", std::nullopt },     { "-2s", std::nullopt },
    { "2 s", std::nullopt },  { "1.5s", std::nullopt },
    { "2sec", std::nullopt }, { "99999999999999999s", std::nullopt },
  };
  for (const auto& test : cases) {
    EXPECT_EQ(ParseDuration(test.text_), test.duration_) << test.text_;
  }
}

TEST(YamlReader, FormatsDurations)
{
  EXPECT_EQ(FormatDuration(Millis(0)), "0ms");
  EXPECT_EQ(FormatDuration(Millis(1500)), "1500ms");
  EXPECT_EQ(FormatDuration(Millis(120000)), "120s");
}

TEST(YamlReader, ParsesByteSizes)
{
  const struct
  {
    const char* text_;
    std::optional<uint64_t> bytes_;
  } cases[] = {
    { "7B", 7 },
    { "512KB", 512U << 10 },
    { "64MB", 64U << 20 },
    { "2GB", 2ULL << 30 },
    { "64", std::nullopt },
    { "64mb", std::nullopt },
    { "64 MB", std::nullopt },
    { "9999999999GB", std::nullopt },
  };
  for (const auto& test : cases) {
    EXPECT_EQ(ParseByteSize(test.text_), test.bytes_) << test.text_;
  }
}

/// Reads a section with one key of each type, then returns the faults.
std::vector<FileError>
ReadAll(const std::string& aYaml)
{
  std::vector<FileError> errors;
  YamlSection top = YamlSection::Parse(aYaml, errors);
  YamlSection section = top.Section("s");
  section.Require("name");
  section.Text("name");
  section.Flag("flag", false);
  section.Count("count", 1, { .min_ = 1, .max_ = 10 });
  section.Number("number", 1, { .min_ = 0, .max_ = 2 });
  section.Duration("wait", Millis(1), { .min_ = 10, .max_ = 60000 });
  section.ByteSize("size", 1, { .min_ = 1, .max_ = 1U << 20 });
  section.Choice("kind", { "x", "y" }, 0);
  section.TextList("list");
  section.RejectUnknownKeys();
  top.RejectUnknownKeys();
  return errors;
}

TEST(YamlReader, ReportsEachFaultAtItsLineAndKey)
{
  const struct
  {
    const char* yaml_;
    int line_;
    const char* key_;
    const char* message_;
  } cases[] = {
    { "", 1, "", "the file must be one YAML map" },
    { "- a", 1, "", "the file must be one YAML map" },
    { "s: {name: n}\n---\nt: 1", 1, "", "the file must be one YAML map" },
    { "s:\n  - 1", 1, "", "'s' must be a map" },
    { "s: {name: n}\nt: 1", 2, "", "unknown key 't'; known keys are s" },
    { "s: {name: n}\ns: {name: m}", 2, "", "'s' is given twice" },
    { "s:\n  flag: true", 1, "s", "'name' is missing" },
    { "s:\n  name: [1]", 2, "s", "'name' must be text" },
    { "s:\n  name: n\n  flag: maybe", 3, "s", "'flag' must be true or false" },
    { "s:\n  name: n\n  count: -1",
      3,
      "s",
      "'count' must be a whole number without sign" },
    { "s:\n  name: n\n  count: 11",
      3,
      "s",
      "'count' is 11, above the maximum of 10" },
    { "s:\n  name: n\n  number: .nan", 3, "s", "'number' must be a number" },
    { "s:\n  name: n\n  number: 2.5",
      3,
      "s",
      "'number' is 2.5, above the maximum of 2" },
    { "s:\n  name: n\n  wait: 200",
      3,
      "s",
      "'wait' must be a duration such as 200ms, 2s or 5min" },
    { "s:\n  name: n\n  wait: 5ms",
      3,
      "s",
      "'wait' is 5ms, below the minimum of 10ms" },
    { "s:\n  name: n\n  size: 2MB",
      3,
      "s",
      "'size' is 2MB, above the maximum of 1MB" },
    { "s:\n  name: n\n  size: big",
      3,
      "s",
      "'size' must be a size such as 512KB or 64MB" },
    { "s:\n  name: n\n  kind: z", 3, "s", "'kind' must be one of x, y" },
    { "s:\n  name: n\n  list: z", 3, "s", "'list' must be a list of texts" },
    { "s:\n  name: n\n  list:\n    - a\n    - [b]",
      5,
      "s",
      "'list' must be a list of texts" },
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(test.yaml_);
    const auto errors = ReadAll(test.yaml_);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].line_, test.line_);
    EXPECT_EQ(errors[0].key_, test.key_);
    EXPECT_EQ(errors[0].message_, test.message_);
  }
}

TEST(YamlReader, ReportsSyntaxErrorsAtTheirLine)
{
  const struct
  {
    const char* yaml_;
    int line_;
  } cases[] = {
    { "s:\n  name: [n\n", 3 },
    { "s:\n  name: n\n bad\n", 3 },
    { "s:\n  name: {a: b]\n", 2 },
    { "s: &x\n  name: *y\n", 2 },
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(test.yaml_);
    const auto errors = ReadAll(test.yaml_);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].line_, test.line_);
    EXPECT_TRUE(errors[0].message_.starts_with("not valid YAML: "));
  }
}

TEST(YamlReader, CollectsAllFaults)
{
  const auto errors = ReadAll("s:\n  flag: 1\n  count: x\n  other: 1\n");
  EXPECT_EQ(errors.size(), 4U);
  const FileErrors thrown(errors);
  EXPECT_NE(std::string(thrown.what())
              .find("line 2: s: 'flag' must be true or false\n"),
            std::string::npos);
}

TEST(YamlReader, ReturnsValues)
{
  std::vector<FileError> errors;
  YamlSection top = YamlSection::Parse(
    "a: text\nb: true\nc: 3\nd: 0.5\ne: 2s\nf: 1KB\ng: y\nh: [p, q]\n", errors);
  EXPECT_EQ(top.Text("a"), "text");
  EXPECT_TRUE(top.Flag("b", false));
  EXPECT_EQ(top.Count("c", 0), 3U);
  EXPECT_EQ(top.Number("d", 0), 0.5);
  EXPECT_EQ(top.Duration("e", Millis(0)), Millis(2000));
  EXPECT_EQ(top.ByteSize("f", 0), 1024U);
  EXPECT_EQ(top.Choice("g", { "x", "y" }, 0), 1U);
  EXPECT_EQ(top.TextList("h"), (std::vector<std::string>{ "p", "q" }));
  EXPECT_EQ(top.Text("absent", "default"), "default");
  EXPECT_FALSE(top.Section("absent").Present());
  EXPECT_TRUE(errors.empty());
}

} // namespace
} // namespace cornelfront
