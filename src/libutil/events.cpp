#include "cornelfront/events.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace cornelfront {
namespace {

struct EventInfo
{
  EventId id_;
  EventLevel level_;
  std::string_view name_;
};

// Sorted by id, ascending.
constexpr std::array kEvents{
  EventInfo{ EventId::ProcessStarted, EventLevel::Info, "process_started" },
  EventInfo{ EventId::ProcessStopping, EventLevel::Info, "process_stopping" },
  EventInfo{ EventId::ProcessStopped, EventLevel::Info, "process_stopped" },
  EventInfo{ EventId::LinkUp, EventLevel::Info, "link_up" },
  EventInfo{ EventId::LinkDown, EventLevel::Info, "link_down" },
  EventInfo{ EventId::LinkSilent, EventLevel::Warning, "link_silent" },
  EventInfo{ EventId::BadFrame, EventLevel::Warning, "bad_frame" },
  EventInfo{ EventId::MemberJoined, EventLevel::Info, "member_joined" },
  EventInfo{ EventId::MemberLeaving, EventLevel::Info, "member_leaving" },
  EventInfo{ EventId::MemberLost, EventLevel::Warning, "member_lost" },
  EventInfo{ EventId::ConfigApplied, EventLevel::Info, "config_applied" },
  EventInfo{ EventId::ConfigConflict, EventLevel::Info, "config_conflict" },
  EventInfo{ EventId::ConfigInvalid, EventLevel::Warning, "config_invalid" },
  EventInfo{ EventId::LogDown, EventLevel::Warning, "log_down" },
  EventInfo{ EventId::LogUp, EventLevel::Info, "log_up" },
  EventInfo{ EventId::UpstreamAnnounced,
             EventLevel::Info,
             "upstream_announced" },
  EventInfo{ EventId::UpstreamLeaving, EventLevel::Info, "upstream_leaving" },
  EventInfo{ EventId::UpstreamLost, EventLevel::Warning, "upstream_lost" },
  EventInfo{ EventId::TaskStarted, EventLevel::Detail, "task_started" },
  EventInfo{ EventId::TaskFinished, EventLevel::Detail, "task_finished" },
  EventInfo{ EventId::TaskRefused, EventLevel::Detail, "task_refused" },
  EventInfo{ EventId::TaskUnresolved, EventLevel::Warning, "task_unresolved" },
  EventInfo{ EventId::SubmissionAccepted,
             EventLevel::Detail,
             "submission_accepted" },
  EventInfo{ EventId::SubmissionRepeated,
             EventLevel::Detail,
             "submission_repeated" },
  EventInfo{ EventId::SubmissionFinished,
             EventLevel::Detail,
             "submission_finished" },
  EventInfo{ EventId::RequestRefused, EventLevel::Detail, "request_refused" },
};

const EventInfo&
InfoOf(EventId aId)
{
  for (const EventInfo& info : kEvents) {
    if (info.id_ == aId) {
      return info;
    }
  }
  throw std::logic_error("event " + std::to_string(static_cast<int>(aId)) +
                         " is missing from kEvents");
}

constexpr int kCounterBits = 16;
constexpr std::chrono::hours kMaxStampLead{ 24 };

uint64_t
StampOf(WallTime aTime)
{
  const auto millis =
    std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
  return static_cast<uint64_t>(millis) << kCounterBits;
}

bool
IsControl(char aChar)
{
  return static_cast<unsigned char>(aChar) < ' ' || aChar == '\x7f';
}

bool
NeedsQuotes(const std::string& aValue)
{
  const auto special = [](char aChar) {
    return IsControl(aChar) || aChar == ' ' || aChar == '"' || aChar == '\\';
  };
  return aValue.empty() || std::any_of(aValue.begin(), aValue.end(), special);
}

std::string
Quote(const std::string& aValue)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string quoted{ '"' };
  for (const char c : aValue) {
    if (IsControl(c)) {
      const auto code = static_cast<unsigned char>(c);
      quoted += "\\x";
      quoted += kDigits[code / kDigits.size()];
      quoted += kDigits[code % kDigits.size()];
      continue;
    }
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c;
  }
  return quoted + '"';
}

void
WriteLogLine(EventId aId, const EventFields& aFields)
{
  switch (LevelOf(aId)) {
    case EventLevel::Detail:
      VLOG(1) << FormatEvent(aId, aFields);
      break;
    case EventLevel::Info:
      LOG(INFO) << FormatEvent(aId, aFields);
      break;
    case EventLevel::Warning:
      LOG(WARNING) << FormatEvent(aId, aFields);
      break;
  }
}

} // namespace

EventLevel
LevelOf(EventId aId)
{
  return InfoOf(aId).level_;
}

std::string_view
ToString(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Detail:
      return "detail";
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
  }
  return "";
}

std::string_view
EventName(EventId aId)
{
  return InfoOf(aId).name_;
}

const std::vector<EventId>&
AllEventIds()
{
  static const std::vector<EventId> sIds = [] {
    std::vector<EventId> ids;
    ids.reserve(kEvents.size());
    for (const EventInfo& info : kEvents) {
      ids.push_back(info.id_);
    }
    return ids;
  }();
  return sIds;
}

std::string
FormatFields(const EventFields& aFields)
{
  std::string text;
  for (const auto& [key, value] : aFields) {
    if (!text.empty()) {
      text += ' ';
    }
    text += key;
    text += '=';
    text += NeedsQuotes(value) ? Quote(value) : value;
  }
  return text;
}

std::string
FormatEvent(EventId aId, const EventFields& aFields)
{
  std::string line{ '[' };
  line += std::to_string(static_cast<int>(aId));
  line += ' ';
  line += EventName(aId);
  line += ']';
  if (!aFields.empty()) {
    line += ' ';
    line += FormatFields(aFields);
  }
  return line;
}

uint64_t
HybridClock::Tick(WallTime aNow)
{
  std::lock_guard lock(mutex_);
  last_ = std::max(last_ + 1, StampOf(aNow));
  return last_;
}

void
HybridClock::Observe(uint64_t aRemote, WallTime aNow)
{
  if (aRemote > StampOf(aNow + kMaxStampLead)) {
    return;
  }
  std::lock_guard lock(mutex_);
  last_ = std::max(last_, aRemote);
}

EventLog::EventLog(EventLogOptions aOptions)
  : options_(aOptions)
{
}

void
EventLog::Record(EventId aId, EventFields aFields, WallTime aNow)
{
  WriteLogLine(aId, aFields);
  std::lock_guard lock(mutex_);
  // The stamp is taken under the lock, because Since relies on the buffer being
  // sorted by stamp.
  const uint64_t stamp = clock_.Tick(aNow);
  events_.push_back({ stamp, aId, std::move(aFields) });
  while (events_.size() > options_.capacity_) {
    events_.pop_front();
    ++dropped_;
  }
}

std::vector<Event>
EventLog::Since(uint64_t aAfter) const
{
  return Snapshot(aAfter).events_;
}

EventSnapshot
EventLog::Snapshot(uint64_t aAfter) const
{
  std::lock_guard lock(mutex_);
  const auto first = std::upper_bound(events_.begin(),
                                      events_.end(),
                                      aAfter,
                                      [](uint64_t aStamp, const Event& aEvent) {
                                        return aStamp < aEvent.stamp_;
                                      });
  return { .dropped_ = dropped_,
           .oldest_ = events_.empty() ? 0 : events_.front().stamp_,
           .events_ = { first, events_.end() } };
}

uint64_t
EventLog::Dropped() const
{
  std::lock_guard lock(mutex_);
  return dropped_;
}

} // namespace cornelfront
