#pragma once

/// \file
/// Files that commands read, and the errors found in them.

#include "cornelfront/schema.h"

#include <optional>
#include <string>

namespace cornelfront {

/// Returns the content of a file. If it can't be read, prints the reason on
/// standard error and returns nullopt.
std::optional<std::string>
ReadInputFile(const std::string& aPath);

/// Prints one line per error on standard error.
void
PrintFileErrors(const std::string& aPath, const FileErrors& aErrors);

} // namespace cornelfront
