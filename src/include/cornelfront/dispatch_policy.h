#pragma once

/// \file
/// The dispatch policy that operators publish under the key "policy".

#include "cornelfront/router.h"

#include <string>

namespace cornelfront {

/// What can be changed without a restart.
struct DispatchPolicy
{
  RouteRule rule_ = LeastLoaded{};
  /// Whether sidecars that fail more than the others are left out.
  bool ejection_ = true;
  /// Tasks that may wait at a sidecar beyond its slots.
  uint32_t queuePerSidecar_ = 2;
  /// Time in which a new or returned sidecar comes into full use.
  Millis rampTime_{ 3000 };
};

/// Parses and checks the text of the key "policy"; an empty text yields the
/// defaults.
/// \throws FileErrors (schema.h) with every fault found
DispatchPolicy
ParseDispatchPolicy(const std::string& aYaml);

} // namespace cornelfront
