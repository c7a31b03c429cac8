#include "file_input.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace cornelfront {
namespace {

TEST(FileInput, AFileThatCannotBeReadIsNotEmpty)
{
  testing::internal::CaptureStderr();
  EXPECT_EQ(ReadInputFile("no-such-folder/pattern.yaml"), std::nullopt);
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "no-such-folder/pattern.yaml: cannot be read\n");
}

TEST(FileInput, ReadsAWholeFile)
{
  const std::string path = testing::TempDir() + "file_input_test.yaml";
  std::ofstream(path) << "a: 1\nb: 2\n";
  EXPECT_EQ(ReadInputFile(path), "a: 1\nb: 2\n");
  std::remove(path.c_str());
}

TEST(FileInput, PrintsOneLineForEachError)
{
  testing::internal::CaptureStderr();
  PrintFileErrors(
    "p.yaml",
    FileErrors({ { .line_ = 3, .key_ = "a", .message_ = "x" },
                 { .line_ = 5, .key_ = "b.c", .message_ = "y" } }));
  EXPECT_EQ(testing::internal::GetCapturedStderr(),
            "p.yaml:3: a: x\np.yaml:5: b.c: y\n");
}

} // namespace
} // namespace cornelfront
