#include "departures.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace cornelfront::soak {
namespace {

constexpr std::string_view kSilent = "silent";
constexpr std::array<std::string_view, 4> kWays = { "with_call",
                                                    "lives_on",
                                                    "on_ack",
                                                    kSilent };
constexpr int kMaxDrainMs = 1500;
constexpr int kMinLivesOnMs = 100;
constexpr int kMaxLivesOnMs = 3000;
/// Longer than a lease, with which the runs of a silent executor end.
constexpr Millis kSilentTime{ 1500 };
constexpr int kMinAwayMs = 300;
constexpr int kMaxAwayMs = 2000;
/// An answer that may be held back until nothing runs is waited for.
constexpr Millis kCallTimeout{ 4000 };
/// No answer that is held back comes within this time.
constexpr Millis kLostCallTimeout{ 30 };
/// Of this many calls, the answer to one is lost.
constexpr int kCallsPerLostAnswer = 4;

} // namespace

Departure
DrawDeparture(std::mt19937_64& aRandom)
{
  const auto pick = [&aRandom](int aMin, int aMax) {
    return std::uniform_int_distribution<int>(aMin, aMax)(aRandom);
  };
  Departure departure{
    .way_ = kWays.at(static_cast<size_t>(pick(0, kWays.size() - 1))),
    .drain_ = Millis(pick(0, kMaxDrainMs)),
    .livesOn_ = Millis(pick(kMinLivesOnMs, kMaxLivesOnMs)),
    .callTimeout_ =
      pick(1, kCallsPerLostAnswer) == 1 ? kLostCallTimeout : kCallTimeout,
    .away_ = Millis(pick(kMinAwayMs, kMaxAwayMs))
  };
  if (departure.way_ == kSilent) {
    departure.livesOn_ = std::max(departure.livesOn_, kSilentTime);
  }
  return departure;
}

std::string
DepartureFields(const Departure& aDeparture)
{
  return nlohmann::json{
    { "leave",
      { { "way", aDeparture.way_ },
        { "drain_ms", aDeparture.drain_.count() },
        { "lives_ms", aDeparture.livesOn_.count() },
        { "call_ms", aDeparture.callTimeout_.count() },
        { "back_ms", aDeparture.Length().count() } } }
  }.dump();
}

} // namespace cornelfront::soak
