#pragma once

/// \file
/// The time line: events of many processes in one causal order.

#include "cornelfront/clock.h"
#include "cornelfront/events.h"
#include "cornelfront/ids.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// Whose events these are.
struct ProcessIdentity
{
  MemberId member_;
  std::string name_;
  /// "entry" or "sidecar"
  std::string role_;
  std::string zone_;
};

/// An event as fetched. Number and name are kept as received, so that a newer
/// process's events can be shown by an older command.
struct FetchedEvent
{
  uint64_t stamp_ = 0;
  uint16_t number_ = 0;
  std::string name_;
  EventFields fields_;
};

/// Answer of one process to GET /v1/admin/events.
struct EventPage
{
  ProcessIdentity process_;
  /// Events dropped from the buffer so far.
  uint64_t dropped_ = 0;
  /// Stamp of the oldest event in the buffer; 0 if it is empty.
  uint64_t oldest_ = 0;
  std::vector<FetchedEvent> events_;
};

/// The text is not an event page.
class EventPageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// JSON text of what \p aSnapshot holds. Stamps are decimal strings, because
/// many JSON readers round numbers of this size.
std::string
EncodeEventPage(const ProcessIdentity& aProcess,
                const EventSnapshot& aSnapshot);

/// \throws EventPageError
EventPage
DecodeEventPage(const std::string& aJson);

struct TimelineEvent
{
  ProcessIdentity process_;
  FetchedEvent event_;
};

/// Events of one process that its bounded buffer no longer holds.
struct TimelineGap
{
  ProcessIdentity process_;
  /// Nothing is known of this process before this stamp.
  uint64_t before_ = 0;
  uint64_t dropped_ = 0;
};

struct Timeline
{
  /// Ordered by stamp, then by member. An event comes after every event that
  /// it follows from.
  std::vector<TimelineEvent> events_;
  std::vector<TimelineGap> gaps_;
};

/// Merges pages fetched with after=\p aAfter; a process fetched twice is shown
/// once.
Timeline
MergeEventPages(const std::vector<EventPage>& aPages, uint64_t aAfter);

/// The wall time in a hybrid clock stamp.
WallTime
WallTimeOf(uint64_t aStamp);

/// The least stamp of a wall time.
uint64_t
FirstStampAt(WallTime aTime);

/// UTC time with milliseconds, such as "2026-03-04T05:06:07.089Z".
std::string
FormatUtc(WallTime aTime);

} // namespace cornelfront
