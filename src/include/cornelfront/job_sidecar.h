#pragma once

/// \file
/// The process beside each executor of the platform: it starts and stops the
/// runs that entries order, and is the only one to hold the executor's lease.

#include "cornelfront/job_settings.h"

#include <memory>

namespace cornelfront {

/// Serves from construction until Stop.
class JobSidecar
{
public:
  /// \throws std::runtime_error if an address cannot be bound
  explicit JobSidecar(const JobSidecarSettings& aSettings);
  ~JobSidecar();

  /// Takes no new work, lets what runs end within the stop limit, and ends.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
