#pragma once

/// \file
/// The process that serves callers: takes their requests over HTTP and runs
/// them on the upstreams whose sidecars are linked to it.

#include "cornelfront/settings.h"

#include <cstdint>
#include <memory>

namespace cornelfront {

class Entry
{
public:
  /// Starts to serve.
  /// \throws std::runtime_error if an address cannot be bound
  explicit Entry(EntrySettings aSettings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  uint16_t HttpPort() const;
  uint16_t MessagePort() const;

  /// Planned stop: fails /readyz, refuses new submissions after the drain
  /// notice and waits for those in flight within the drain limit.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
