#pragma once

/// \file
/// Numbered events of one process: a bounded buffer for the time line, and a
/// glog line each. docs/EVENTS.md is the catalogue.

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

/// Numbers never change meaning; retired ones stay reserved.
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

/// How an event reaches the log; the time line's buffer holds all of them.
enum class EventLevel : uint8_t
{
  /// Several for each task: logged only under --v=1.
  Detail,
  Info,
  Warning,
};

EventLevel
LevelOf(EventId aId);

/// "detail", "info" or "warning".
std::string_view
ToString(EventLevel aLevel);

/// Name of the event as the catalogue has it, such as "task_started".
std::string_view
EventName(EventId aId);

/// Every event id, in ascending order.
const std::vector<EventId>&
AllEventIds();

/// Hybrid logical clock: wall milliseconds in the upper 48 bits, a counter in
/// the lower 16, so that an event always sorts after those it follows from.
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
class HybridClock
{
public:
  /// Stamp of a local event or of a message to be sent.
  uint64_t Tick(WallTime aNow);
  /// Takes note of the stamp of a received message. A stamp more than a day
  /// ahead of \p aNow is ignored, so that one wrong clock does not spoil all.
  void Observe(uint64_t aRemote, WallTime aNow);

private:
  std::mutex mutex_;
  uint64_t last_ = 0;
};

using EventFields = std::vector<std::pair<std::string, std::string>>;

struct Event
{
  /// Hybrid clock stamp.
  uint64_t stamp_ = 0;
  EventId id_ = EventId::ProcessStarted;
  EventFields fields_;
};

/// What a buffer held at one moment.
struct EventSnapshot
{
  /// Number of events dropped from the buffer so far.
  uint64_t dropped_ = 0;
  /// Stamp of the oldest event in the buffer; 0 if it is empty.
  uint64_t oldest_ = 0;
  /// The events asked for, oldest first.
  std::vector<Event> events_;
};

struct EventLogOptions
{
  /// Oldest events are dropped beyond this number.
  size_t capacity_ = 20000;
};

/// "key=value" of each field, separated by spaces; values with spaces, quotes
/// or control characters are quoted and escaped.
std::string
FormatFields(const EventFields& aFields);

/// Text of an event's log line, such as "[202 link_silent] peer=7f2c".
std::string
FormatEvent(EventId aId, const EventFields& aFields);

/// Thread-safe.
class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions = {});

  /// Stamps and keeps the event and logs it according to its level.
  void Record(EventId aId, EventFields aFields, WallTime aNow);

  /// Events with a stamp greater than \p aAfter, oldest first.
  std::vector<Event> Since(uint64_t aAfter) const;

  /// Since together with the state of the buffer at the same moment.
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
