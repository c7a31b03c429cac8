#pragma once

/// \file
/// The process that runs next to one upstream. It accepts tasks from entries
/// and makes the final check of the configuration before a task starts.

#include "cornelfront/settings.h"

#include <cstdint>
#include <memory>

namespace cornelfront {

class Sidecar
{
public:
  /// Starts serving.
  /// \throws std::runtime_error if an address cannot be bound
  explicit Sidecar(SidecarSettings aSettings);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Port of the HTTP server for upstream announcements and operators.
  uint16_t HttpPort() const;

  /// Graceful shutdown: refuses queued tasks as not run, waits up to the drain
  /// limit for running ones, delivers their answers and closes all links.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
