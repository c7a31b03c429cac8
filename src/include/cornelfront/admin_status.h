#pragma once

/// \file
/// What a process says of itself and of the processes that it knows, the body
/// of GET /v1/admin/status.

#include "cornelfront/config.h"
#include "cornelfront/ids.h"
#include "cornelfront/messages.h"
#include "cornelfront/router.h"
#include "cornelfront/timeline.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// An entry as another entry knows it.
struct KnownEntry
{
  EntryAddress address_;
  /// "<ip>:<port>" of its HTTP server; empty if not known.
  std::string http_;
};

/// A sidecar as an entry knows it.
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
  /// "<ip>:<port>" of this process's HTTP server.
  std::string http_;
  ConfigVersion configVersion_;
  /// True if the last attempt to read the log succeeded; entries only.
  bool logReachable_ = false;
  /// True if the entry may testify during a log outage.
  bool witness_ = false;
  std::vector<KnownEntry> entries_;
  std::vector<KnownSidecar> sidecars_;
};

/// The text is not a status.
class AdminStatusError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

std::string
EncodeAdminStatus(const AdminStatus& aStatus);

/// Ignores keys it does not know; keys of lists and of loads may be absent.
/// \throws AdminStatusError
AdminStatus
DecodeAdminStatus(const std::string& aJson);

} // namespace cornelfront
