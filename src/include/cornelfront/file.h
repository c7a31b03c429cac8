#pragma once

/// \file
/// File access.

#include <string>

namespace cornelfront {

/// Returns the content of a file.
/// \throws std::runtime_error if it cannot be read
std::string
ReadFile(const std::string& aPath);

} // namespace cornelfront
