#pragma once

/// \file
/// The process beside one upstream: takes tasks from entries and is the last
/// gate before their start.

#include "cornelfront/settings.h"

#include <cstdint>
#include <memory>

namespace cornelfront {

class Sidecar
{
public:
  /// Starts to serve.
  /// \throws std::runtime_error if an address cannot be bound
  explicit Sidecar(SidecarSettings aSettings);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Port for the upstream's announcements and for operators.
  uint16_t HttpPort() const;

  /// Planned stop: refuses queued tasks as not run, waits for running ones
  /// within the drain limit, delivers their answers and ends all links.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
