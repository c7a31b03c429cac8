#pragma once

/// \file
/// The body of an upstream's announcement to its sidecar.

#include "controllers/upstream_lease.h"

#include <string>

namespace cornelfront {

/// Parses {"service", "port", "slots", "lease_ms"}.
/// \throws std::invalid_argument naming the field and its bound
UpstreamAnnouncement
ParseAnnouncement(const std::string& aBody);

} // namespace cornelfront
