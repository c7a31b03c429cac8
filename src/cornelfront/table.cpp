#include "table.h"

#include <algorithm>
#include <cassert>

namespace cornelfront {
namespace {

// Counts code points: UTF-8 continuation bytes occupy no column.
size_t
WidthOf(const std::string& aText)
{
  constexpr unsigned char kMask = 0xC0;
  constexpr unsigned char kContinuation = 0x80;
  return static_cast<size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aChar) {
      return (static_cast<unsigned char>(aChar) & kMask) != kContinuation;
    }));
}

void
ReplaceControlCharacters(std::string& aText)
{
  for (char& c : aText) {
    if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      c = '?';
    }
  }
}

} // namespace

Table::Table(std::vector<std::string> aHeadings)
{
  rows_.push_back(std::move(aHeadings));
}

void
Table::AddRow(std::vector<std::string> aCells)
{
  assert(aCells.size() == rows_[0].size());
  std::for_each(aCells.begin(), aCells.end(), ReplaceControlCharacters);
  rows_.push_back(std::move(aCells));
}

void
Table::Print(std::ostream& aOut) const
{
  constexpr size_t kGap = 2;
  std::vector<size_t> widths(rows_[0].size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], WidthOf(row[i]));
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + kGap - WidthOf(row[i]), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  }
}

} // namespace cornelfront
