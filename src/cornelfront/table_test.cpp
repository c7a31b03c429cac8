#include "table.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cornelfront {
namespace {

TEST(Table, AlignsColumns)
{
  Table table({ "NAME", "ZONE", "N" });
  table.AddRow({ "entry-1", "a", "1" });
  table.AddRow({ "s", "cr-céntral", "" });
  std::ostringstream out;
  table.Print(out);
  EXPECT_EQ(out.str(),
            "NAME     ZONE        N\n"
            "entry-1  a           1\n"
            "s        cr-céntral\n");
}

TEST(Table, ReplacesControlCharactersInCells)
{
  Table table({ "NAME" });
  table.AddRow({ "a\x1b[2Jb\n" });
  std::ostringstream out;
  table.Print(out);
  EXPECT_EQ(out.str(), "NAME\na?[2Jb?\n");
}

} // namespace
} // namespace cornelfront
