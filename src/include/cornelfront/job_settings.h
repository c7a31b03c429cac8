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
  /// Clients submit jobs here.
  Endpoint clients_;
  /// The balancer asks here whether to send new connections.
  Endpoint readiness_;
  /// Sidecars.
  Endpoint messages_;
  /// Where sidecars reach `messages` from elsewhere; the same unless something
  /// that forwards connections stands between.
  Endpoint advertised_;
  Endpoint metrics_;
  /// The platform's store.
  Endpoint store_;
  LinkSettings links_;
  /// Time from the order to stop to the end of the process.
  Millis stopLimit_{ 5000 };
};

/// Key `job_sidecar` of the file.
struct JobSidecarSettings
{
  std::string name_;
  std::string zone_;
  /// The upstream's heartbeats.
  Endpoint heartbeats_;
  Endpoint metrics_;
  Endpoint upstream_;
  Endpoint store_;
  /// Machines on which some entries may run; others are learnt from the
  /// store. Only their addresses matter.
  std::vector<Endpoint> seeds_;
  /// Port on which every entry takes messages.
  uint16_t messagePort_ = 0;
  LinkSettings links_;
  /// Lease of everything that runs on the upstream.
  Millis lease_{ 1000 };
  Millis stopLimit_{ 5000 };
};

/// Parses and checks a whole settings file for one role.
/// \throws FileErrors (schema.h) with every fault found
JobEntrySettings
ParseJobEntrySettings(const std::string& aYaml);
JobSidecarSettings
ParseJobSidecarSettings(const std::string& aYaml);

/// YAML text of the effective settings; parses back to the same settings.
std::string
PrintSettings(const JobEntrySettings& aSettings);
std::string
PrintSettings(const JobSidecarSettings& aSettings);

} // namespace cornelfront
