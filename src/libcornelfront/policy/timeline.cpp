#include "cornelfront/timeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <tuple>
#include <unordered_set>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kCounterBits = 16;

uint64_t
ParseStamp(const Json& aValue)
{
  const std::string text = aValue.get<std::string>();
  uint64_t stamp = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, stamp);
  if (result.ec != std::errc() || result.ptr != end) {
    throw EventPageError("event page: '" + text + "' is not a stamp");
  }
  return stamp;
}

Json
EncodeEvent(const Event& aEvent)
{
  Json fields = Json::object();
  for (const auto& [key, value] : aEvent.fields_) {
    fields[key] = value;
  }
  return { { "stamp", std::to_string(aEvent.stamp_) },
           { "id", static_cast<uint16_t>(aEvent.id_) },
           { "name", EventName(aEvent.id_) },
           { "fields", std::move(fields) } };
}

FetchedEvent
DecodeEvent(const Json& aJson)
{
  FetchedEvent event{ .stamp_ = ParseStamp(aJson.at("stamp")),
                      .number_ = aJson.at("id").get<uint16_t>(),
                      .name_ = aJson.at("name").get<std::string>(),
                      .fields_ = {} };
  for (const auto& [key, value] : aJson.at("fields").items()) {
    event.fields_.emplace_back(key, value.get<std::string>());
  }
  return event;
}

ProcessIdentity
DecodeProcess(const Json& aJson)
{
  const auto member = ParseMemberId(aJson.at("member").get<std::string>());
  if (!member) {
    throw EventPageError("event page: 'member' is not a member id");
  }
  return { .member_ = *member,
           .name_ = aJson.at("name").get<std::string>(),
           .role_ = aJson.at("role").get<std::string>(),
           .zone_ = aJson.at("zone").get<std::string>() };
}

std::tuple<uint64_t, uint64_t>
SortKey(const TimelineEvent& aEvent)
{
  return { aEvent.event_.stamp_, aEvent.process_.member_.value_ };
}

} // namespace

std::string
EncodeEventPage(const ProcessIdentity& aProcess, const EventSnapshot& aSnapshot)
{
  Json events = Json::array();
  for (const Event& event : aSnapshot.events_) {
    events.push_back(EncodeEvent(event));
  }
  const Json page{ { "member", ToString(aProcess.member_) },
                   { "name", aProcess.name_ },
                   { "role", aProcess.role_ },
                   { "zone", aProcess.zone_ },
                   { "dropped", aSnapshot.dropped_ },
                   { "oldest", std::to_string(aSnapshot.oldest_) },
                   { "events", std::move(events) } };
  // Field values may come from other systems and may be invalid UTF-8.
  return page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

EventPage
DecodeEventPage(const std::string& aJson)
{
  try {
    const Json json = Json::parse(aJson);
    EventPage page{ .process_ = DecodeProcess(json),
                    .dropped_ = json.at("dropped").get<uint64_t>(),
                    .oldest_ = ParseStamp(json.at("oldest")),
                    .events_ = {} };
    for (const Json& event : json.at("events")) {
      page.events_.push_back(DecodeEvent(event));
    }
    return page;
  } catch (const Json::exception& error) {
    throw EventPageError(std::string("event page: ") + error.what());
  }
}

Timeline
MergeEventPages(const std::vector<EventPage>& aPages, uint64_t aAfter)
{
  Timeline timeline;
  std::unordered_set<MemberId> seen;
  for (const EventPage& page : aPages) {
    if (!seen.insert(page.process_.member_).second) {
      continue;
    }
    if (page.dropped_ > 0 && page.oldest_ > aAfter) {
      timeline.gaps_.push_back({ .process_ = page.process_,
                                 .before_ = page.oldest_,
                                 .dropped_ = page.dropped_ });
    }
    for (const FetchedEvent& event : page.events_) {
      timeline.events_.push_back({ page.process_, event });
    }
  }
  std::sort(timeline.events_.begin(),
            timeline.events_.end(),
            [](const TimelineEvent& aLeft, const TimelineEvent& aRight) {
              return SortKey(aLeft) < SortKey(aRight);
            });
  return timeline;
}

WallTime
WallTimeOf(uint64_t aStamp)
{
  return WallTime(Millis(aStamp >> kCounterBits));
}

uint64_t
FirstStampAt(WallTime aTime)
{
  const auto millis =
    std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
  return static_cast<uint64_t>(std::max<int64_t>(millis, 0)) << kCounterBits;
}

std::string
FormatUtc(WallTime aTime)
{
  const auto second = std::chrono::floor<std::chrono::seconds>(aTime);
  const auto millis = std::chrono::duration_cast<Millis>(aTime - second);
  const std::time_t time = WallClock::to_time_t(second);
  std::tm parts{};
  gmtime_r(&time, &parts);
  std::array<char, 32> date{};
  const size_t length =
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string digits = std::to_string(1000 + millis.count());
  return std::string(date.data(), length) + "." + digits.substr(1) + "Z";
}

} // namespace cornelfront
