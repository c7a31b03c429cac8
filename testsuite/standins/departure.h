#pragma once

/// \file
/// Departure of an executor stand-in: it drains, deregisters and ends, and
/// comes back later as a new incarnation. Where its process lives on after the
/// call, its tasks run on.

#include "cornelfront/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace cornelfront {

/// Decides what a leaving executor does next. Not thread-safe, except for
/// Aborted().
class Departure
{
public:
  /// Begins a departure given as a JSON object; does nothing if one is under
  /// way. "way" is one of
  /// - "with_call": ends when it deregisters,
  /// - "lives_on": ends "lives_ms" after that call, whatever its answer,
  /// - "on_ack": ends when the call is acknowledged, else as "lives_on",
  /// - "silent": answers no call from then on, and has no other end.
  /// It drains for "drain_ms" before the call, which ends after "call_ms"
  /// without an answer, and comes back "back_ms" after the beginning.
  /// \throws std::invalid_argument if the way is unknown
  void Begin(const nlohmann::json& aFields, MonoTime aNow)
  {
    if (stage_ != Stage::None) {
      return;
    }
    way_ = ParseWay(aFields.value("way", ""));
    callAt_ = aNow + Milliseconds(aFields, "drain_ms");
    livesOn_ = Milliseconds(aFields, "lives_ms");
    callTimeout_ = Milliseconds(aFields, "call_ms");
    backAt_ = aNow + Milliseconds(aFields, "back_ms");
    stage_ = Stage::Drains;
  }

  /// Forgets the departure and aborts its call.
  void Clear()
  {
    stage_ = Stage::None;
    aborted_ = true;
  }

  /// Returns true once if it is time to deregister.
  bool TakeCall(MonoTime aNow)
  {
    if (stage_ != Stage::Drains || aNow < callAt_) {
      return false;
    }
    stage_ = Stage::Left;
    aborted_ = false;
    endsAt_ = way_ == Way::WithCall ? aNow
              : way_ == Way::Silent ? MonoTime::max()
                                    : aNow + livesOn_;
    return true;
  }

  /// The call was acknowledged; does nothing if the departure is over.
  void OnAck(MonoTime aNow)
  {
    if (stage_ == Stage::Left && way_ == Way::OnAck) {
      endsAt_ = std::min(endsAt_, aNow);
    }
  }

  /// Returns true once if the process ends.
  bool TakeEnd(MonoTime aNow)
  {
    if (stage_ != Stage::Left || aNow < endsAt_) {
      return false;
    }
    stage_ = Stage::Gone;
    // The connections of a process end with it, but its call is still sent.
    aborted_ = way_ != Way::WithCall;
    return true;
  }

  bool IsBack(MonoTime aNow) const
  {
    return stage_ != Stage::None && aNow >= backAt_;
  }
  bool HasLeft() const { return stage_ >= Stage::Left; }
  bool IsGone() const { return stage_ == Stage::Gone; }
  bool IsSilent() const { return HasLeft() && way_ == Way::Silent; }
  bool Drains() const { return stage_ != Stage::None; }
  Millis CallTimeout() const { return callTimeout_; }
  /// Set when the answer to the call no longer matters. Thread-safe.
  const std::atomic<bool>& Aborted() const { return aborted_; }

private:
  enum class Way : uint8_t
  {
    WithCall,
    LivesOn,
    OnAck,
    Silent,
  };
  enum class Stage : uint8_t
  {
    None,
    Drains,
    /// It has deregistered.
    Left,
    Gone,
  };

  static Way ParseWay(const std::string& aName)
  {
    if (aName == "with_call") {
      return Way::WithCall;
    }
    if (aName == "lives_on") {
      return Way::LivesOn;
    }
    if (aName == "on_ack") {
      return Way::OnAck;
    }
    if (aName == "silent") {
      return Way::Silent;
    }
    throw std::invalid_argument("no departure has the way " + aName);
  }

  static Millis Milliseconds(const nlohmann::json& aFields, const char* aName)
  {
    return Millis(aFields.value(aName, int64_t{ 0 }));
  }

  Stage stage_ = Stage::None;
  Way way_ = Way::WithCall;
  MonoTime callAt_;
  MonoTime endsAt_;
  MonoTime backAt_;
  Millis livesOn_{ 0 };
  Millis callTimeout_{ 0 };
  std::atomic<bool> aborted_ = false;
};

} // namespace cornelfront
