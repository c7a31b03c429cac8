#pragma once

/// \file
/// Output functions shared by several commands.

#include "fleet.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace cornelfront {

/// Prints indented JSON on standard output. Invalid UTF-8 is replaced by
/// U+FFFD.
void
PrintJson(const nlohmann::ordered_json& aJson);

/// Prints one line per process on standard error.
void
PrintUnreachable(const std::vector<UnreachableProcess>& aUnreachable);

nlohmann::ordered_json
ToJson(const std::vector<UnreachableProcess>& aUnreachable);

} // namespace cornelfront
