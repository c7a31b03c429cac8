#pragma once

/// \file
/// The dispatch policy that operators publish under the key "policy".

#include "cornelfront/router.h"

#include <string>

namespace cornelfront {

/// Dispatch options that can be changed without a restart.
struct DispatchPolicy
{
  RouteRule rule_ = LeastLoaded{};
  /// Whether sidecars that fail more often than the others are ejected.
  bool ejection_ = true;
  /// Number of tasks that may wait at a sidecar in addition to those in its
  /// slots.
  uint32_t queuePerSidecar_ = 2;
  /// Time over which the load of a new or returned sidecar ramps up.
  Millis rampTime_{ 3000 };
};

/// Parses and validates the value of the key "policy"; an empty text yields the
/// defaults.
/// \throws FileErrors (schema.h) with every error found
DispatchPolicy
ParseDispatchPolicy(const std::string& aYaml);

} // namespace cornelfront
