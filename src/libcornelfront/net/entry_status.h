#pragma once

/// \file
/// The entry's answer to GET /v1/admin/status.

#include "controllers/dispatcher.h"
#include "cornelfront/messages.h"

#include <string>
#include <vector>

namespace cornelfront {

struct EntryStatus
{
  EntryAddress self_;
  std::string name_;
  /// "<ip>:<port>" of the HTTP server.
  std::string http_;
  ConfigEvidence evidence_;
  std::vector<EntryAddress> entries_;
  std::vector<SidecarView> sidecars_;
};

/// JSON text.
std::string
EntryStatusJson(const EntryStatus& aStatus);

} // namespace cornelfront
