#pragma once

/// \file
/// Settings of the processes that serve jobs on the platform.

#include "cornelfront/settings.h"

#include <string>
#include <vector>

namespace cornelfront {

/// Key `job_entry` of the file.
struct JobEntrySettings
{
  std::string name_;
  std::string zone_;
  /// Address on which clients submit jobs.
  Endpoint clients_;
  /// Readiness endpoint for the load balancer.
  Endpoint readiness_;
  /// Address on which sidecars connect.
  Endpoint messages_;
  /// Address under which sidecars on other machines reach `messages`; differs
  /// from it only if connections are forwarded.
  Endpoint advertised_;
  Endpoint metrics_;
  /// Address of the platform's store.
  Endpoint store_;
  LinkSettings links_;
  /// Maximum time from the stop request to the end of the process.
  Millis stopLimit_{ 5000 };
};

/// Key `job_sidecar` of the file.
struct JobSidecarSettings
{
  std::string name_;
  std::string zone_;
  /// Address on which the upstream sends its heartbeats.
  Endpoint heartbeats_;
  Endpoint metrics_;
  Endpoint upstream_;
  Endpoint store_;
  /// Machines on which entries may run; further entries are discovered through
  /// the store. Only the host is used.
  std::vector<Endpoint> seeds_;
  /// Port on which every entry accepts sidecars.
  uint16_t messagePort_ = 0;
  LinkSettings links_;
  /// Lease of all runs on the upstream.
  Millis lease_{ 1000 };
  Millis stopLimit_{ 5000 };
};

/// Parses and validates the settings file of one role.
/// \throws FileErrors (schema.h) with every error found
JobEntrySettings
ParseJobEntrySettings(const std::string& aYaml);
JobSidecarSettings
ParseJobSidecarSettings(const std::string& aYaml);

/// Formats the effective settings as YAML that parses back to the same
/// settings.
std::string
PrintSettings(const JobEntrySettings& aSettings);
std::string
PrintSettings(const JobSidecarSettings& aSettings);

} // namespace cornelfront
