#pragma once

/// \file
/// A run of a task of the executor stand-in, as it is listed for tests.

#include "cornelfront/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront {

using Json = nlohmann::json;

/// Outcome of runs that a restart ended. A restarted executor has no state, but
/// the listing still contains the runs of its earlier incarnations.
constexpr std::string_view kCrashed = "crashed";
/// Outcome of runs that were cut off by the end of an executor that had
/// deregistered.
constexpr std::string_view kLeft = "left";

/// One run of a task.
struct Run
{
  std::string task_;
  int64_t run_ = 0;
  int64_t cpu_ = 0;
  MonoTime started_;
  Millis length_{ 0 };
  bool fails_ = false;
  /// When it ends because of a stop.
  std::optional<MonoTime> stopsAt_;
  MonoTime ended_;
  /// When the end was acknowledged, if the lease has not lapsed since that end;
  /// else the default value.
  MonoTime acknowledged_;
  /// Empty while the run has not ended.
  std::string outcome_;
};

inline int64_t
WallMs(MonoTime aTime)
{
  const auto wall = WallClock::now() + (aTime - MonoClock::now());
  return std::chrono::duration_cast<Millis>(wall.time_since_epoch()).count();
}

/// Returns the record of a run in the answer to /control/runs.
inline Json
Record(const Run& aRun)
{
  const auto wall = [](MonoTime aTime) {
    return aTime == MonoTime() ? 0 : WallMs(aTime);
  };
  return { { "task", aRun.task_ },
           { "run", aRun.run_ },
           { "begun", WallMs(aRun.started_) },
           { "ended", wall(aRun.ended_) },
           { "acknowledged", wall(aRun.acknowledged_) },
           { "how", aRun.outcome_ } };
}

} // namespace cornelfront
