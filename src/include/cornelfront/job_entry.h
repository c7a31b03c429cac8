#pragma once

/// \file
/// The process that takes jobs from the platform's clients and sees their
/// tasks through on the sidecars.

#include "cornelfront/job_settings.h"

#include <memory>

namespace cornelfront {

/// Serves from construction until Stop.
class JobEntry
{
public:
  /// \throws std::runtime_error if an address cannot be bound
  explicit JobEntry(const JobEntrySettings& aSettings);
  ~JobEntry();

  /// Leaves the balancer, answers what is in flight within the stop limit, and
  /// ends.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
