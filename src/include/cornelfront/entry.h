#pragma once

/// \file
/// The process that serves callers. It accepts requests over HTTP and runs them
/// on the upstreams whose sidecars are connected to it.

#include "cornelfront/settings.h"

#include <cstdint>
#include <memory>

namespace cornelfront {

class Entry
{
public:
  /// Starts serving.
  /// \throws std::runtime_error if an address cannot be bound
  explicit Entry(EntrySettings aSettings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  uint16_t HttpPort() const;
  uint16_t MessagePort() const;

  /// Graceful shutdown: makes /readyz fail, refuses new submissions after the
  /// drain notice period and waits up to the drain limit for submissions in
  /// flight.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
