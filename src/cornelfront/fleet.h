#pragma once

/// \file
/// Fetches status and events from all processes that the given entries know.

#include "cornelfront/admin_status.h"
#include "cornelfront/clock.h"
#include "cornelfront/timeline.h"

#include <string>
#include <vector>

namespace cornelfront {

/// A process that did not answer, or answered with something else.
struct Unreached
{
  /// Name if it is known, else the URL.
  std::string process_;
  std::string reason_;
};

/// What the entries say of themselves and of the sidecars.
struct Fleet
{
  /// One for each entry that answered, by name.
  std::vector<AdminStatus> entries_;
  std::vector<Unreached> unreached_;
};

struct FetchOptions
{
  /// "http://<ip>:<port>"
  std::vector<std::string> entries_;
  /// Bound on each exchange.
  Millis timeout_{ 3000 };
};

/// A sidecar with how many of the entries know it.
struct SidecarReport
{
  /// As told by the entry that knows the newest configuration in force there.
  KnownSidecar sidecar_;
  size_t knownBy_ = 0;
};

/// Asks the given entries and then those that they name.
Fleet
FetchFleet(const FetchOptions& aOptions);

/// The sidecars that at least one entry knows, by name.
std::vector<SidecarReport>
SidecarsOf(const Fleet& aFleet);

struct FetchedPages
{
  std::vector<EventPage> pages_;
  std::vector<Unreached> unreached_;
};

/// Fetches the events after \p aAfter from the processes at these URLs alone.
FetchedPages
FetchPages(const std::vector<std::string>& aUrls,
           uint64_t aAfter,
           Millis aTimeout);

/// Fetches the events after \p aAfter from all entries and sidecars.
FetchedPages
FetchAllPages(const FetchOptions& aOptions, uint64_t aAfter);

} // namespace cornelfront
