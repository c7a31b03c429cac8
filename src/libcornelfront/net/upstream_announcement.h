#pragma once

/// \file
/// Parser for the announcement that an upstream sends to its sidecar.

#include "controllers/upstream_lease.h"

#include <string>

namespace cornelfront {

/// Parses a JSON object with the fields "service", "port", "slots" and
/// "lease_ms".
/// \throws std::invalid_argument that states the invalid field and its bounds
UpstreamAnnouncement
ParseAnnouncement(const std::string& aBody);

} // namespace cornelfront
