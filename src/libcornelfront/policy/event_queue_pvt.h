#pragma once

/// \file
/// Discrete events in simulated time.

#include "cornelfront/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace cornelfront {

/// Simulated time at which a replay begins.
inline constexpr MonoTime kReplayStart{ std::chrono::hours(1) };

/// Runs actions in order of time, then of insertion.
class EventQueue
{
public:
  using Action = std::function<void()>;

  void At(MonoTime aTime, Action aAction)
  {
    events_.push({ aTime, next_++, std::move(aAction) });
  }
  void After(Millis aDelay, Action aAction)
  {
    At(now_ + aDelay, std::move(aAction));
  }
  MonoTime Now() const { return now_; }
  /// Runs all events before \p aEnd.
  void RunUntil(MonoTime aEnd)
  {
    while (!events_.empty() && events_.top().time_ < aEnd) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.action_();
    }
    now_ = aEnd;
  }

private:
  struct Event
  {
    MonoTime time_;
    uint64_t number_ = 0;
    Action action_;

    bool operator<(const Event& aOther) const
    {
      return std::tie(time_, number_) > std::tie(aOther.time_, aOther.number_);
    }
  };

  MonoTime now_ = kReplayStart;
  uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

} // namespace cornelfront
