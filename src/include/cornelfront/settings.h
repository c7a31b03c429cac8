#pragma once

/// \file
/// Settings of each process, read once at start from a YAML file.

#include "cornelfront/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelfront {

/// "<ipv4>:<port>"
struct Endpoint
{
  std::string host_ = "127.0.0.1";
  uint16_t port_ = 0;
};

/// "<ipv4>:<port>"
std::string
FormatEndpoint(const Endpoint& aEndpoint);

/// Bounds on links between cornelfront processes.
struct LinkSettings
{
  /// A link that has sent nothing for this long sends a pulse.
  Millis pulseInterval_{ 1000 };
  /// A link that has received nothing for this long is dropped.
  Millis silenceBound_{ 3000 };
  /// Pause between attempts to dial.
  Millis redialInterval_{ 300 };
};

/// Key `entry` of the file.
struct EntrySettings
{
  std::string name_;
  std::string zone_;
  /// Callers, operators and metrics.
  Endpoint http_;
  /// Sidecars and other entries.
  Endpoint messages_;
  /// Message endpoints of some entries, this one may be among them.
  std::vector<Endpoint> seeds_;
  std::string logUrl_;
  LinkSettings links_;
  /// How long an issued key prefix may begin new submissions.
  Millis prefixLifetime_{ 120000 };
  /// Bound on the wait for a lost sidecar to return with results.
  Millis resolveBound_{ 2000 };
  /// Time between a failing /readyz and the first refusal at a planned stop.
  Millis drainNotice_{ 2000 };
  /// Bound on the wait for requests in flight at a planned stop.
  Millis drainLimit_{ 30000 };
  unsigned httpThreads_ = 4;
  unsigned messageThreads_ = 2;
};

/// Key `sidecar` of the file.
struct SidecarSettings
{
  std::string name_;
  std::string zone_;
  /// The upstream's announcements, operators and metrics.
  Endpoint http_;
  std::vector<Endpoint> seeds_;
  LinkSettings links_;
  /// Oldest evidence about the configuration that allows a start.
  Millis freshnessBound_{ 3000 };
  /// Tasks that may wait here beyond the upstream's slots.
  unsigned queueLimit_ = 64;
  Millis resultRetention_{ 30000 };
  Millis drainLimit_{ 30000 };
};

/// Parses and checks a whole settings file for one role.
/// \throws FileErrors (schema.h) with every fault found
EntrySettings
ParseEntrySettings(const std::string& aYaml);
SidecarSettings
ParseSidecarSettings(const std::string& aYaml);

/// YAML text of the effective settings; parses back to the same settings.
std::string
PrintSettings(const EntrySettings& aSettings);
std::string
PrintSettings(const SidecarSettings& aSettings);

} // namespace cornelfront
