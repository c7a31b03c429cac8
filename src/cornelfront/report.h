#pragma once

/// \file
/// Output that several commands share.

#include "fleet.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace cornelfront {

/// Prints indented JSON on standard output; bytes that are not valid UTF-8
/// are replaced.
void
PrintJson(const nlohmann::ordered_json& aJson);

/// One line for each process on standard error.
void
PrintUnreached(const std::vector<Unreached>& aUnreached);

nlohmann::ordered_json
ToJson(const std::vector<Unreached>& aUnreached);

} // namespace cornelfront
