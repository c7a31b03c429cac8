#pragma once

/// \file
/// Structured events of one process. Each event is kept in a bounded buffer,
/// which /v1/admin/events serves, and written as a glog line. docs/EVENTS.md
/// lists all events.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelfront {

/// Event numbers are stable: they never change meaning, and numbers of removed
/// events are not reused.
enum class EventId : uint16_t
{
  ProcessStarted = 100,
  ProcessStopping = 101,
  ProcessStopped = 102,
  LinkUp = 200,
  LinkDown = 201,
  LinkSilent = 202,
  BadFrame = 203,
  MemberJoined = 210,
  MemberLeaving = 211,
  MemberLost = 212,
  ConfigApplied = 300,
  ConfigConflict = 301,
  ConfigInvalid = 302,
  LogDown = 310,
  LogUp = 311,
  UpstreamAnnounced = 400,
  UpstreamLeaving = 401,
  UpstreamLost = 402,
  TaskStarted = 500,
  TaskFinished = 501,
  TaskRefused = 502,
  TaskUnresolved = 503,
  SubmissionAccepted = 520,
  SubmissionRepeated = 521,
  SubmissionFinished = 522,
  RequestRefused = 530,
};

/// Log level of an event. The buffer keeps events of all levels.
enum class EventLevel : uint8_t
{
  /// Occurs several times per task; logged only with --v=1.
  Detail,
  Info,
  Warning,
};

EventLevel
LevelOf(EventId aId);

/// "detail", "info" or "warning".
std::string_view
ToString(EventLevel aLevel);

/// Returns the name of the event as listed in docs/EVENTS.md, such as
/// "task_started".
std::string_view
EventName(EventId aId);

/// Returns all event ids in ascending order.
const std::vector<EventId>&
AllEventIds();

/// Hybrid logical clock. The upper 48 bits of a stamp hold wall-clock
/// milliseconds, the lower 16 bits a counter, so that every event has a greater
/// stamp than the events that caused it. Thread-safe. Source: Kulkarni et al.,
/// "Logical Physical Clocks", 2014.
class HybridClock
{
public:
  /// Returns the stamp of a local event or of a message to be sent. Stamps
  /// strictly increase.
  uint64_t Tick(WallTime aNow);
  /// Advances the clock to the stamp of a received message. A stamp more than a
  /// day ahead of \p aNow is ignored, so that one wrong clock does not advance
  /// the clocks of all processes.
  void Observe(uint64_t aRemote, WallTime aNow);

private:
  std::mutex mutex_;
  uint64_t last_ = 0;
};

using EventFields = std::vector<std::pair<std::string, std::string>>;

struct Event
{
  /// Stamp of the hybrid clock.
  uint64_t stamp_ = 0;
  EventId id_ = EventId::ProcessStarted;
  EventFields fields_;
};

/// Consistent snapshot of an event buffer.
struct EventSnapshot
{
  /// Number of events dropped from the buffer so far.
  uint64_t dropped_ = 0;
  /// Stamp of the oldest event in the buffer; 0 if it is empty.
  uint64_t oldest_ = 0;
  /// The requested events, oldest first.
  std::vector<Event> events_;
};

struct EventLogOptions
{
  /// The oldest events are dropped when the buffer exceeds this number.
  size_t capacity_ = 20000;
};

/// Formats the fields as "key=value" separated by spaces. Values that are empty
/// or contain spaces, quotes, backslashes or control characters are quoted and
/// escaped.
std::string
FormatFields(const EventFields& aFields);

/// Returns the log line of an event, such as "[202 link_silent] peer=7f2c".
std::string
FormatEvent(EventId aId, const EventFields& aFields);

/// Bounded buffer of the newest events of a process. Thread-safe.
class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions = {});

  /// Stamps the event, adds it to the buffer and logs it at its level.
  void Record(EventId aId, EventFields aFields, WallTime aNow);

  /// Returns the events with a stamp greater than \p aAfter, oldest first.
  std::vector<Event> Since(uint64_t aAfter) const;

  /// Returns the same events as Since, together with the state of the buffer at
  /// the same moment.
  EventSnapshot Snapshot(uint64_t aAfter) const;

  /// Number of events dropped from the buffer so far.
  uint64_t Dropped() const;

  HybridClock& Clock() { return clock_; }

private:
  EventLogOptions options_;
  HybridClock clock_;
  mutable std::mutex mutex_;
  std::deque<Event> events_;
  uint64_t dropped_ = 0;
};

} // namespace cornelfront
