#pragma once

/// \file
/// Aligned text tables for operators.

#include <ostream>
#include <string>
#include <vector>

namespace cornelfront {

/// Collects rows, then prints them with columns as wide as their widest cell.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeadings);

  /// \p aCells has one cell for each heading. Control characters are replaced
  /// by '?', so that a value can't steer the terminal.
  void AddRow(std::vector<std::string> aCells);

  /// Headings, then rows; two spaces between columns, none at a line's end.
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> rows_;
};

} // namespace cornelfront
