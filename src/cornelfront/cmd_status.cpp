/// \file
/// `cornelfront status`, `members` and `version`.

#include "fleet.h"
#include "operator_options.h"
#include "report.h"
#include "table.h"

#include <iostream>
#include <memory>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

std::string
YesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

ExitCode
CodeOf(const Fleet& aFleet)
{
  if (aFleet.entries_.empty()) {
    return ExitCode::Failed;
  }
  return aFleet.unreachable_.empty() ? ExitCode::Ok : ExitCode::Partial;
}

// One row per process, with the version of the configuration in force there.
void
PrintStatusTable(const Fleet& aFleet)
{
  Table table({ "NAME", "ROLE", "ZONE", "CONFIG", "LOG", "WITNESS", "READY" });
  for (const AdminStatus& status : aFleet.entries_) {
    table.AddRow({ status.process_.name_,
                   "entry",
                   status.process_.zone_,
                   std::to_string(status.configVersion_.value_),
                   status.logReachable_ ? "reachable" : "down",
                   YesNo(status.witness_),
                   "" });
  }
  for (const SidecarReport& report : SidecarsOf(aFleet)) {
    const KnownSidecar& sidecar = report.sidecar_;
    table.AddRow({ sidecar.process_.name_,
                   "sidecar",
                   sidecar.process_.zone_,
                   std::to_string(sidecar.configVersion_.value_),
                   "",
                   "",
                   YesNo(sidecar.ready_) });
  }
  table.Print(std::cout);
}

Json
StatusJson(const Fleet& aFleet)
{
  Json processes = Json::array();
  for (const AdminStatus& status : aFleet.entries_) {
    processes.push_back({ { "name", status.process_.name_ },
                          { "role", "entry" },
                          { "zone", status.process_.zone_ },
                          { "config_version", status.configVersion_.value_ },
                          { "log_reachable", status.logReachable_ },
                          { "witness", status.witness_ } });
  }
  for (const SidecarReport& report : SidecarsOf(aFleet)) {
    const KnownSidecar& sidecar = report.sidecar_;
    processes.push_back({ { "name", sidecar.process_.name_ },
                          { "role", "sidecar" },
                          { "zone", sidecar.process_.zone_ },
                          { "config_version", sidecar.configVersion_.value_ },
                          { "ready", sidecar.ready_ } });
  }
  return { { "processes", std::move(processes) },
           { "unreached", ToJson(aFleet.unreachable_) } };
}

std::string
KnownBy(const SidecarReport& aReport, const Fleet& aFleet)
{
  return std::to_string(aReport.knownBy_) + " of " +
         std::to_string(aFleet.entries_.size());
}

void
PrintMembersTable(const Fleet& aFleet)
{
  Table table({ "MEMBER",
                "NAME",
                "ZONE",
                "SERVICE",
                "READY",
                "SLOTS",
                "RUNNING",
                "QUEUED",
                "KNOWN BY" });
  for (const AdminStatus& status : aFleet.entries_) {
    const ProcessIdentity& process = status.process_;
    table.AddRow({ ToString(process.member_),
                   process.name_,
                   process.zone_,
                   "(entry)",
                   "",
                   "",
                   "",
                   "",
                   "" });
  }
  for (const SidecarReport& report : SidecarsOf(aFleet)) {
    const KnownSidecar& sidecar = report.sidecar_;
    table.AddRow({ ToString(sidecar.process_.member_),
                   sidecar.process_.name_,
                   sidecar.process_.zone_,
                   sidecar.service_,
                   YesNo(sidecar.ready_),
                   std::to_string(sidecar.load_.slots_),
                   std::to_string(sidecar.load_.running_),
                   std::to_string(sidecar.load_.queued_),
                   KnownBy(report, aFleet) });
  }
  table.Print(std::cout);
}

Json
MembersJson(const Fleet& aFleet)
{
  Json members = Json::array();
  for (const AdminStatus& status : aFleet.entries_) {
    members.push_back({ { "member", ToString(status.process_.member_) },
                        { "name", status.process_.name_ },
                        { "role", "entry" },
                        { "zone", status.process_.zone_ },
                        { "http", status.http_ } });
  }
  for (const SidecarReport& report : SidecarsOf(aFleet)) {
    const KnownSidecar& sidecar = report.sidecar_;
    members.push_back({ { "member", ToString(sidecar.process_.member_) },
                        { "name", sidecar.process_.name_ },
                        { "role", "sidecar" },
                        { "zone", sidecar.process_.zone_ },
                        { "http", sidecar.http_ },
                        { "service", sidecar.service_ },
                        { "ready", sidecar.ready_ },
                        { "slots", sidecar.load_.slots_ },
                        { "running", sidecar.load_.running_ },
                        { "queued", sidecar.load_.queued_ },
                        { "known_by", report.knownBy_ } });
  }
  return { { "members", std::move(members) },
           { "entries_asked", aFleet.entries_.size() },
           { "unreached", ToJson(aFleet.unreachable_) } };
}

using PrintTable = void (*)(const Fleet&);
using MakeJson = Json (*)(const Fleet&);

void
ShowFleet(const OperatorOptions& aOptions, PrintTable aPrint, MakeJson aMake)
{
  const Fleet fleet = FetchFleet({ .entries_ = aOptions.entries_ });
  if (aOptions.output_ == OutputFormat::Json) {
    PrintJson(aMake(fleet));
  } else {
    aPrint(fleet);
    PrintUnreachable(fleet.unreachable_);
  }
  ExitWith(CodeOf(fleet));
}

void
AddFleetCommand(CLI::App& aApp,
                const std::string& aName,
                const std::string& aHelp,
                PrintTable aPrint,
                MakeJson aMake)
{
  auto options = std::make_shared<OperatorOptions>();
  CLI::App* command = aApp.add_subcommand(aName, aHelp);
  AddOperatorOptions(*command, *options);
  command->callback(
    [options, aPrint, aMake] { ShowFleet(*options, aPrint, aMake); });
}

void
ShowVersion(OutputFormat aOutput)
{
  if (aOutput == OutputFormat::Json) {
    PrintJson({ { "version", CORNELFRONT_VERSION } });
    return;
  }
  std::cout << "cornelfront " << CORNELFRONT_VERSION << "\n";
}

} // namespace

void
AddStatusCommands(CLI::App& aApp)
{
  AddFleetCommand(aApp,
                  "status",
                  "Show which configuration is in force in each process",
                  PrintStatusTable,
                  StatusJson);
  AddFleetCommand(aApp,
                  "members",
                  "List entries and sidecars with their load",
                  PrintMembersTable,
                  MembersJson);
  auto output = std::make_shared<OutputFormat>(OutputFormat::Table);
  CLI::App* version = aApp.add_subcommand("version", "Show the version");
  AddOutputOption(*version, *output);
  version->callback([output] { ShowVersion(*output); });
}

} // namespace cornelfront
