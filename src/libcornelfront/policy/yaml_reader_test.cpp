#include "policy/yaml_reader.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(YamlReader, ParsesDurations)
{
  const struct
  {
    const char* text_;
    std::optional<Millis> expected_;
  } cases[] = {
    { "300ms", Millis(300) },
    { "2s", Millis(2000) },
    { "1min", Millis(60000) },
    { "0s", Millis(0) },
    { "", std::nullopt },
    { "5", std::nullopt },
    { "ms", std::nullopt },
    { "-1s", std::nullopt },
    { "1.5s", std::nullopt },
    { "1 s", std::nullopt },
    { "1h", std::nullopt },
    { "99999999999999999999s", std::nullopt },
    { "9999999999999999999s", std::nullopt },
  };
  for (const auto& test : cases) {
    EXPECT_EQ(ParseDuration(test.text_), test.expected_) << test.text_;
  }
}

TEST(YamlReader, ParsesByteSizes)
{
  EXPECT_EQ(ParseByteSize("512B"), 512U);
  EXPECT_EQ(ParseByteSize("64KiB"), 65536U);
  EXPECT_EQ(ParseByteSize("1MiB"), 1048576U);
  EXPECT_FALSE(ParseByteSize("1MB"));
  EXPECT_FALSE(ParseByteSize("1024"));
}

TEST(YamlReader, ParsesEndpoints)
{
  const auto good = ParseEndpoint("10.0.255.1:65535");
  ASSERT_TRUE(good);
  EXPECT_EQ(FormatEndpoint(*good), "10.0.255.1:65535");
  for (const char* text : { "",
                            "10.0.0.1",
                            "10.0.0.1:",
                            "10.0.0.1:65536",
                            "10.0.0.1:-1",
                            "10.0.0.256:1",
                            "10.0.0:1",
                            "10.0.0.0.1:1",
                            "10.0.0.01:1",
                            "[::1]:1",
                            "localhost:1",
                            "10.0.0.1:1:1" }) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
}

TEST(YamlReader, CollectsErrors)
{
  std::vector<FileError> errors;
  const YAML::Node root =
    LoadYaml("a: yes\nb: 2.5x\nc: red\nd: 10GiB\ne: [1]\n", errors);
  YamlReader reader(root, "top", errors);
  bool flag = false;
  double number = 7;
  int color = 7;
  uint64_t bytes = 7;
  std::string text = "kept";
  EXPECT_FALSE(reader.Boolean("a", flag));
  EXPECT_FALSE(reader.Number("b", number, { 0.0, 1.0 }));
  EXPECT_FALSE(
    reader.Choice<int>("c", color, { { "green", 1 }, { "blue", 2 } }));
  EXPECT_FALSE(reader.ByteSize("d", bytes, { 0, 1U << 20 }));
  EXPECT_FALSE(reader.Text("e", text));
  reader.CheckKeys();
  ASSERT_EQ(errors.size(), 5U);
  EXPECT_EQ(errors[2].message_, "'red' is not one of 'green', 'blue'");
  EXPECT_EQ(errors[3].message_, "10GiB is outside 0B to 1MiB");
  EXPECT_EQ(errors[3].line_, 4);
  EXPECT_EQ(errors[4].key_, "top.e");
  EXPECT_EQ(text, "kept");
}

} // namespace
} // namespace cornelfront
