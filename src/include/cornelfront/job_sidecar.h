#pragma once

/// \file
/// The process beside each executor of the platform. It starts and stops the
/// runs that entries order, and is the only process that extends the executor's
/// lease.

#include "cornelfront/job_settings.h"

#include <memory>

namespace cornelfront {

/// Serves from construction until Stop is called.
class JobSidecar
{
public:
  /// \throws std::runtime_error if an address cannot be bound
  explicit JobSidecar(const JobSidecarSettings& aSettings);
  ~JobSidecar();

  /// Accepts no new work, lets running tasks finish within the stop limit, then
  /// returns.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
