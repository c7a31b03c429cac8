#pragma once

/// \file
/// Collects status and events from all processes, which are found through the
/// given entries.

#include "cornelfront/admin_status.h"
#include "cornelfront/clock.h"
#include "cornelfront/timeline.h"

#include <string>
#include <vector>

namespace cornelfront {

/// A process that did not answer or sent an invalid response.
struct UnreachableProcess
{
  /// Name of the process if it is known, else its URL.
  std::string process_;
  std::string reason_;
};

/// Status of all entries, which includes the sidecars connected to them.
struct Fleet
{
  /// One element per entry that answered, sorted by name.
  std::vector<AdminStatus> entries_;
  std::vector<UnreachableProcess> unreachable_;
};

struct FetchOptions
{
  /// "http://<ip>:<port>"
  std::vector<std::string> entries_;
  /// Timeout of each request.
  Millis timeout_{ 3000 };
};

/// Status of a sidecar, merged from the reports of all entries.
struct SidecarReport
{
  /// Taken from the entry that reports the newest configuration version for
  /// this sidecar.
  KnownSidecar sidecar_;
  /// Number of entries that report this sidecar.
  size_t knownBy_ = 0;
};

/// Fetches the status of the given entries and of all entries they list.
Fleet
FetchFleet(const FetchOptions& aOptions);

/// Returns the sidecars that at least one entry reports, sorted by name.
std::vector<SidecarReport>
SidecarsOf(const Fleet& aFleet);

struct FetchedPages
{
  std::vector<EventPage> pages_;
  std::vector<UnreachableProcess> unreachable_;
};

/// Fetches the events with a stamp greater than \p aAfter from the processes
/// at these URLs only.
FetchedPages
FetchPages(const std::vector<std::string>& aUrls,
           uint64_t aAfter,
           Millis aTimeout);

/// Fetches the events with a stamp greater than \p aAfter from all entries and
/// sidecars.
FetchedPages
FetchAllPages(const FetchOptions& aOptions, uint64_t aAfter);

} // namespace cornelfront
