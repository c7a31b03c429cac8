#pragma once

/// \file
/// Text tables with aligned columns.

#include <ostream>
#include <string>
#include <vector>

namespace cornelfront {

/// Collects rows and prints them with each column as wide as its widest cell.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeadings);

  /// \p aCells must have one cell per heading. Control characters are replaced
  /// by '?', so that a value cannot send escape sequences to the terminal.
  void AddRow(std::vector<std::string> aCells);

  /// Prints the headings, then the rows, with two spaces between columns and no
  /// trailing spaces.
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> rows_;
};

} // namespace cornelfront
