#pragma once

/// \file
/// Settings of the processes, read once at startup from a YAML file.

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

/// Timing of links between cornelfront processes.
struct LinkSettings
{
  /// A link that has sent nothing for this time sends a keep-alive message.
  Millis pulseInterval_{ 1000 };
  /// A link that has received nothing for this time is closed.
  Millis silenceBound_{ 3000 };
  /// Time between attempts to connect.
  Millis redialInterval_{ 300 };
};

/// Settings under the key `entry` of the file.
struct EntrySettings
{
  std::string name_;
  std::string zone_;
  /// Listening address for callers, operators and metrics.
  Endpoint http_;
  /// Listening address for sidecars and other entries.
  Endpoint messages_;
  /// Message endpoints of some entries, possibly including this one.
  std::vector<Endpoint> seeds_;
  std::string logUrl_;
  LinkSettings links_;
  /// Time for which an issued key prefix may begin new submissions.
  Millis prefixLifetime_{ 120000 };
  /// Maximum wait for a lost sidecar to reconnect and report results.
  Millis resolveBound_{ 2000 };
  /// At a planned stop, the time between /readyz starting to fail and the first
  /// refusal.
  Millis drainNotice_{ 2000 };
  /// At a planned stop, the maximum wait for requests in flight.
  Millis drainLimit_{ 30000 };
  unsigned httpThreads_ = 4;
  unsigned messageThreads_ = 2;
};

/// Settings under the key `sidecar` of the file.
struct SidecarSettings
{
  std::string name_;
  std::string zone_;
  /// Listening address for announcements of the upstream, operators and
  /// metrics.
  Endpoint http_;
  std::vector<Endpoint> seeds_;
  LinkSettings links_;
  /// Maximum age of the evidence about the configuration that allows a start.
  Millis freshnessBound_{ 3000 };
  /// Number of tasks that may wait at this sidecar in addition to those in the
  /// slots of the upstream.
  unsigned queueLimit_ = 64;
  Millis resultRetention_{ 30000 };
  Millis drainLimit_{ 30000 };
};

/// Parses and validates the settings file of one role.
/// \throws FileErrors (schema.h) with every error found
EntrySettings
ParseEntrySettings(const std::string& aYaml);
SidecarSettings
ParseSidecarSettings(const std::string& aYaml);

/// Returns the effective settings as YAML text, which parses back to the same
/// settings.
std::string
PrintSettings(const EntrySettings& aSettings);
std::string
PrintSettings(const SidecarSettings& aSettings);

} // namespace cornelfront
