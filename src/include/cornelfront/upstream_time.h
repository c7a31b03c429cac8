#pragma once

/// \file
/// Time on an upstream's clock.

#include "cornelfront/clock.h"

#include <compare>

namespace cornelfront {

/// Time on an upstream's monotonic clock, which restarts with each incarnation.
struct UpstreamTime
{
  Millis value_{ 0 };

  auto operator<=>(const UpstreamTime&) const = default;
};

} // namespace cornelfront
