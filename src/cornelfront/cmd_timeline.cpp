/// \file
/// `cornelfront timeline` and `events`.

#include "fleet.h"
#include "operator_options.h"
#include "report.h"
#include "table.h"

#include <algorithm>
#include <iostream>
#include <memory>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

constexpr Millis kFetchTimeout{ 5000 };

struct TimelineOptions
{
  OperatorOptions shared_;
  unsigned sinceSeconds_ = 0;
  std::vector<std::string> names_;
  std::vector<std::string> fields_;
  size_t limit_ = 0;
};

uint64_t
AfterStamp(const TimelineOptions& aOptions, WallTime aNow)
{
  if (aOptions.sinceSeconds_ == 0) {
    return 0;
  }
  return FirstStampAt(aNow - std::chrono::seconds(aOptions.sinceSeconds_));
}

bool
HasField(const FetchedEvent& aEvent, const std::string& aField)
{
  return std::any_of(
    aEvent.fields_.begin(), aEvent.fields_.end(), [&](const auto& aPair) {
      return aPair.first + "=" + aPair.second == aField;
    });
}

bool
MatchesFilters(const FetchedEvent& aEvent, const TimelineOptions& aOptions)
{
  const auto& names = aOptions.names_;
  if (!names.empty() &&
      std::find(names.begin(), names.end(), aEvent.name_) == names.end()) {
    return false;
  }
  return std::all_of(
    aOptions.fields_.begin(),
    aOptions.fields_.end(),
    [&](const std::string& aField) { return HasField(aEvent, aField); });
}

// Keeps the events that match all filters; with --limit only the newest of
// them.
void
Filter(std::vector<TimelineEvent>& aEvents, const TimelineOptions& aOptions)
{
  const auto unwanted = [&](const TimelineEvent& aEvent) {
    return !MatchesFilters(aEvent.event_, aOptions);
  };
  aEvents.erase(std::remove_if(aEvents.begin(), aEvents.end(), unwanted),
                aEvents.end());
  if (aOptions.limit_ > 0 && aEvents.size() > aOptions.limit_) {
    const auto excess =
      static_cast<std::ptrdiff_t>(aEvents.size() - aOptions.limit_);
    aEvents.erase(aEvents.begin(), aEvents.begin() + excess);
  }
}

Json
ToJson(const TimelineEvent& aEvent)
{
  Json fields = Json::object();
  for (const auto& [key, value] : aEvent.event_.fields_) {
    fields[key] = value;
  }
  return { { "stamp", std::to_string(aEvent.event_.stamp_) },
           { "time", FormatUtc(WallTimeOf(aEvent.event_.stamp_)) },
           { "member", ToString(aEvent.process_.member_) },
           { "process", aEvent.process_.name_ },
           { "role", aEvent.process_.role_ },
           { "zone", aEvent.process_.zone_ },
           { "id", aEvent.event_.number_ },
           { "name", aEvent.event_.name_ },
           { "fields", std::move(fields) } };
}

void
PrintTimelineJson(const Timeline& aTimeline,
                  const std::vector<UnreachableProcess>& aUnreachable)
{
  Json events = Json::array();
  for (const TimelineEvent& event : aTimeline.events_) {
    events.push_back(ToJson(event));
  }
  Json gaps = Json::array();
  for (const TimelineGap& gap : aTimeline.gaps_) {
    gaps.push_back({ { "process", gap.process_.name_ },
                     { "before", FormatUtc(WallTimeOf(gap.before_)) },
                     { "dropped", gap.dropped_ } });
  }
  PrintJson({ { "events", std::move(events) },
              { "gaps", std::move(gaps) },
              { "unreached", ToJson(aUnreachable) } });
}

void
PrintTimelineTable(const Timeline& aTimeline,
                   const std::vector<UnreachableProcess>& aUnreachable)
{
  Table table({ "TIME", "PROCESS", "ZONE", "ID", "EVENT", "FIELDS" });
  for (const TimelineEvent& event : aTimeline.events_) {
    table.AddRow({ FormatUtc(WallTimeOf(event.event_.stamp_)),
                   event.process_.name_,
                   event.process_.zone_,
                   std::to_string(event.event_.number_),
                   event.event_.name_,
                   FormatFields(event.event_.fields_) });
  }
  table.Print(std::cout);
  for (const TimelineGap& gap : aTimeline.gaps_) {
    std::cerr << "gap: " << gap.process_.name_ << " has dropped "
              << gap.dropped_ << " events before "
              << FormatUtc(WallTimeOf(gap.before_)) << "\n";
  }
  PrintUnreachable(aUnreachable);
}

void
Show(const TimelineOptions& aOptions,
     const FetchedPages& aFetched,
     uint64_t aAfter)
{
  Timeline timeline = MergeEventPages(aFetched.pages_, aAfter);
  Filter(timeline.events_, aOptions);
  if (aOptions.shared_.output_ == OutputFormat::Json) {
    PrintTimelineJson(timeline, aFetched.unreachable_);
  } else {
    PrintTimelineTable(timeline, aFetched.unreachable_);
  }
  if (aFetched.pages_.empty()) {
    ExitWith(ExitCode::Failed);
  }
  const bool whole = aFetched.unreachable_.empty() && timeline.gaps_.empty();
  ExitWith(whole ? ExitCode::Ok : ExitCode::Partial);
}

void
ShowTimeline(const TimelineOptions& aOptions, WallTime aNow)
{
  const uint64_t after = AfterStamp(aOptions, aNow);
  const FetchOptions fetch{ .entries_ = aOptions.shared_.entries_,
                            .timeout_ = kFetchTimeout };
  Show(aOptions, FetchAllPages(fetch, after), after);
}

void
ShowEvents(const TimelineOptions& aOptions, WallTime aNow)
{
  const uint64_t after = AfterStamp(aOptions, aNow);
  Show(aOptions,
       FetchPages(aOptions.shared_.entries_, after, kFetchTimeout),
       after);
}

void
ShowCatalog(OutputFormat aOutput)
{
  Table table({ "ID", "EVENT", "LEVEL" });
  Json list = Json::array();
  for (const EventId id : AllEventIds()) {
    const int number = static_cast<int>(id);
    const std::string name(EventName(id));
    const std::string level(ToString(LevelOf(id)));
    table.AddRow({ std::to_string(number), name, level });
    list.push_back({ { "id", number }, { "name", name }, { "level", level } });
  }
  if (aOutput == OutputFormat::Json) {
    PrintJson(list);
  } else {
    table.Print(std::cout);
  }
}

void
AddFilters(CLI::App& aCommand, TimelineOptions& aOptions)
{
  aCommand.add_option("--since",
                      aOptions.sinceSeconds_,
                      "Only events of the last SINCE seconds; 0 for all");
  aCommand.add_option(
    "--event", aOptions.names_, "Only events of this name; repeatable");
  aCommand.add_option(
    "--field", aOptions.fields_, "Only events with this KEY=VALUE; repeatable");
  aCommand.add_option(
    "--limit", aOptions.limit_, "Only the newest LIMIT events; 0 for all");
}

using ShowFunction = void (*)(const TimelineOptions&, WallTime);

void
AddTimelineCommand(CLI::App& aApp,
                   const std::string& aName,
                   const std::string& aHelp,
                   ShowFunction aShow)
{
  auto options = std::make_shared<TimelineOptions>();
  CLI::App* command = aApp.add_subcommand(aName, aHelp);
  AddOperatorOptions(*command, options->shared_);
  AddFilters(*command, *options);
  command->callback([options, aShow] { aShow(*options, WallClock::now()); });
}

} // namespace

void
AddTimelineCommands(CLI::App& aApp)
{
  AddTimelineCommand(aApp,
                     "timeline",
                     "Show the events of all processes in one causal order",
                     ShowTimeline);
  AddTimelineCommand(aApp,
                     "events",
                     "Show the events of the processes at --entry alone, "
                     "which may be sidecars",
                     ShowEvents);
  auto output = std::make_shared<OutputFormat>(OutputFormat::Table);
  CLI::App* catalog =
    aApp.add_subcommand("event-catalog", "List every event that can occur");
  AddOutputOption(*catalog, *output);
  catalog->callback([output] { ShowCatalog(*output); });
}

} // namespace cornelfront
