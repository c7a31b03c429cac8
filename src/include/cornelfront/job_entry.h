#pragma once

/// \file
/// The process that accepts jobs from the platform's clients and runs their
/// tasks through the sidecars.

#include "cornelfront/job_settings.h"

#include <memory>

namespace cornelfront {

/// Serves from construction until Stop is called.
class JobEntry
{
public:
  /// \throws std::runtime_error if an address cannot be bound
  explicit JobEntry(const JobEntrySettings& aSettings);
  ~JobEntry();

  /// Reports not ready so that the load balancer sends no new connections,
  /// answers pending requests within the stop limit, then returns.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
