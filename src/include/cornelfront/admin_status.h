#pragma once

/// \file
/// Status of a process and of the processes that it knows; the body of GET
/// /v1/admin/status.

#include "cornelfront/config.h"
#include "cornelfront/ids.h"
#include "cornelfront/messages.h"
#include "cornelfront/router.h"
#include "cornelfront/timeline.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// An entry as seen by another entry.
struct KnownEntry
{
  EntryAddress address_;
  /// "<ip>:<port>" of its HTTP server; empty if not known.
  std::string http_;
};

/// A sidecar as seen by an entry.
struct KnownSidecar
{
  ProcessIdentity process_;
  /// "<ip>:<port>" of its HTTP server; empty if not known.
  std::string http_;
  std::string service_;
  bool ready_ = false;
  ConfigVersion configVersion_;
  LoadReport load_;
};

struct AdminStatus
{
  ProcessIdentity process_;
  /// "<ip>:<port>" of the HTTP server of this process.
  std::string http_;
  ConfigVersion configVersion_;
  /// True if the last attempt to read the log succeeded; entries only.
  bool logReachable_ = false;
  /// True if the entry is a witness: during an outage of the log, its evidence
  /// counts towards the majority of the entry zones.
  bool witness_ = false;
  std::vector<KnownEntry> entries_;
  std::vector<KnownSidecar> sidecars_;
};

/// Thrown when a text is not a valid status.
class AdminStatusError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

std::string
EncodeAdminStatus(const AdminStatus& aStatus);

/// Parses a status. Unknown keys are ignored; the keys of lists and of the load
/// may be absent.
/// \throws AdminStatusError
AdminStatus
DecodeAdminStatus(const std::string& aJson);

} // namespace cornelfront
