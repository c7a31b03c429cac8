/// \file
/// `cornelfront zone out|in|list`.

#include "change_command.h"
#include "fleet.h"
#include "report.h"
#include "table.h"

#include "cornelfront/config_publisher.h"

#include <iostream>
#include <map>
#include <memory>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

constexpr Millis kLogTimeout{ 3000 };
const std::string kZonePrefix = "zone/";

struct ZoneOptions
{
  ChangeOptions change_;
  std::string zone_;
  bool force_ = false;
};

/// State of one availability zone and the number of its processes.
struct ZoneRow
{
  bool inService_ = true;
  size_t entries_ = 0;
  size_t sidecars_ = 0;
};

std::map<std::string, ZoneRow>
ZonesOf(const ConfigState& aState, const Fleet& aFleet)
{
  std::map<std::string, ZoneRow> zones;
  for (const auto& [key, value] : aState.keys_) {
    if (key.starts_with(kZonePrefix)) {
      zones[key.substr(kZonePrefix.size())];
    }
  }
  for (const std::string& zone : aState.EntryZones()) {
    zones[zone];
  }
  for (const AdminStatus& status : aFleet.entries_) {
    ++zones[status.process_.zone_].entries_;
  }
  for (const SidecarReport& report : SidecarsOf(aFleet)) {
    ++zones[report.sidecar_.process_.zone_].sidecars_;
  }
  for (auto& [name, row] : zones) {
    row.inService_ = aState.ZoneIsIn(name);
  }
  return zones;
}

/// Collects the zones named by the configuration or by any running process.
/// \throws LogUnavailable
std::map<std::string, ZoneRow>
FetchZones(const ChangeOptions& aOptions)
{
  LogClient log({ .url_ = aOptions.logUrl_ });
  const ConfigHistory history = ReadConfigHistory(log, kLogTimeout);
  return ZonesOf(history.state_,
                 FetchFleet({ .entries_ = aOptions.operator_.entries_ }));
}

ExitCode
RunZoneChange(const ZoneOptions& aOptions, const std::string& aText)
{
  if (!aOptions.force_) {
    try {
      if (!FetchZones(aOptions.change_).contains(aOptions.zone_)) {
        std::cerr
          << "no process and no configuration change refers to availability "
             "zone '"
          << aOptions.zone_ << "'; use --force to change it anyway\n";
        return ExitCode::Usage;
      }
    } catch (const LogUnavailable&) {
      // Publishing retries by itself and reports the outage if it persists.
      std::cerr << "log unavailable, retrying\n";
    }
  }
  return RunChange(aOptions.change_, kZonePrefix + aOptions.zone_, aText);
}

ExitCode
RunZoneList(const ChangeOptions& aOptions)
{
  std::map<std::string, ZoneRow> zones;
  try {
    zones = FetchZones(aOptions);
  } catch (const LogUnavailable& error) {
    std::cerr << error.what() << '\n';
    return ExitCode::LogUnavailable;
  }
  Table table({ "ZONE", "STATE", "ENTRIES", "SIDECARS" });
  Json list = Json::array();
  for (const auto& [name, row] : zones) {
    const char* state = row.inService_ ? "in" : "out";
    table.AddRow({ name,
                   state,
                   std::to_string(row.entries_),
                   std::to_string(row.sidecars_) });
    list.push_back({ { "zone", name },
                     { "state", state },
                     { "entries", row.entries_ },
                     { "sidecars", row.sidecars_ } });
  }
  if (aOptions.operator_.output_ == OutputFormat::Json) {
    PrintJson({ { "zones", std::move(list) } });
  } else {
    table.Print(std::cout);
  }
  return ExitCode::Ok;
}

void
AddZoneChange(CLI::App& aZone,
              const std::string& aText,
              const std::string& aHelp)
{
  const auto options = std::make_shared<ZoneOptions>();
  CLI::App* command = aZone.add_subcommand(aText, aHelp);
  command->add_option("name", options->zone_, "availability zone")->required();
  command->add_flag(
    "--force",
    options->force_,
    "change the zone even if no process or change refers to it");
  AddChangeOptions(*command, options->change_);
  command->callback(
    [options, aText] { ExitWith(RunZoneChange(*options, aText)); });
}

} // namespace

void
AddZoneCommands(CLI::App& aApp)
{
  CLI::App* zone = aApp.add_subcommand("zone", "Availability zones");
  zone->require_subcommand(1);
  AddZoneChange(
    *zone, "out", "Take the zone out of service: no more tasks start there");
  AddZoneChange(*zone, "in", "Bring the zone back into service");
  const auto options = std::make_shared<ChangeOptions>();
  CLI::App* list = zone->add_subcommand("list", "List the zones");
  AddLogOption(*list, options->logUrl_);
  AddOperatorOptions(*list, options->operator_);
  list->callback([options] { ExitWith(RunZoneList(*options)); });
}

} // namespace cornelfront
