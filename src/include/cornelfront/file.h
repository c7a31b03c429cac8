#pragma once

/// \file
/// Access to whole files.

#include <string>

namespace cornelfront {

/// Returns the content of a file.
/// \throws std::runtime_error if it cannot be read
std::string
ReadFile(const std::string& aPath);

} // namespace cornelfront
