#pragma once

/// \file
/// Departures of executors, a kind of fault of the soak test: how an executor
/// that deregisters ends (standins/departure.h).

#include "cornelfront/clock.h"

#include <random>
#include <string>
#include <string_view>

namespace cornelfront::soak {

struct Departure
{
  /// One of the names in standins/departure.h.
  std::string_view way_;
  /// How long it drains before it deregisters.
  Millis drain_{ 0 };
  /// How long it lives on after that call, by its way.
  Millis livesOn_{ 0 };
  /// How long it waits for the answer; the answer is lost if this is short.
  Millis callTimeout_{ 0 };
  /// How long it is gone before it comes back.
  Millis away_{ 0 };

  /// Time from its beginning until the executor comes back.
  Millis Length() const { return drain_ + livesOn_ + away_; }
};

Departure
DrawDeparture(std::mt19937_64& aRandom);

/// Returns the body of the stand-in's POST /control.
std::string
DepartureFields(const Departure& aDeparture);

} // namespace cornelfront::soak
