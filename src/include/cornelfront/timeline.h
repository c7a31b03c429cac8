#pragma once

/// \file
/// Timeline: the events of several processes merged in causal order.

#include "cornelfront/clock.h"
#include "cornelfront/events.h"
#include "cornelfront/ids.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// Process to which events or a status belong.
struct ProcessIdentity
{
  MemberId member_;
  std::string name_;
  /// "entry" or "sidecar"
  std::string role_;
  std::string zone_;
};

/// An event as received from a process. Number and name are not mapped to an
/// EventId, so that an older command can show the events of a newer process.
struct FetchedEvent
{
  uint64_t stamp_ = 0;
  uint16_t number_ = 0;
  std::string name_;
  EventFields fields_;
};

/// Response of one process to GET /v1/admin/events.
struct EventPage
{
  ProcessIdentity process_;
  /// Number of events dropped from the buffer so far.
  uint64_t dropped_ = 0;
  /// Stamp of the oldest event in the buffer; 0 if it is empty.
  uint64_t oldest_ = 0;
  std::vector<FetchedEvent> events_;
};

/// Thrown when a text is not a valid event page.
class EventPageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Encodes \p aSnapshot as JSON. Stamps are decimal strings, because many JSON
/// parsers round numbers of this size.
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
  /// No event of the process before this stamp is available.
  uint64_t before_ = 0;
  uint64_t dropped_ = 0;
};

struct Timeline
{
  /// Ordered by stamp, then by member id, so that an event comes after all
  /// events that causally precede it.
  std::vector<TimelineEvent> events_;
  std::vector<TimelineGap> gaps_;
};

/// Merges pages that were fetched with after=\p aAfter. If a process was
/// fetched twice, only its first page is used.
Timeline
MergeEventPages(const std::vector<EventPage>& aPages, uint64_t aAfter);

/// Returns the wall time contained in a stamp of a hybrid logical clock.
WallTime
WallTimeOf(uint64_t aStamp);

/// Returns the smallest stamp of a wall time.
uint64_t
FirstStampAt(WallTime aTime);

/// Formats a time as UTC with milliseconds, such as "2026-03-04T05:06:07.089Z".
std::string
FormatUtc(WallTime aTime);

} // namespace cornelfront
