/// \file
/// `cornelfront replay`.

#include "file_input.h"
#include "operator_options.h"
#include "report.h"
#include "table.h"

#include "cornelfront/load_replay.h"
#include "cornelfront/schema.h"

#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

struct ReplayCommand
{
  std::string file_;
  OutputFormat output_ = OutputFormat::Table;
};

Json
ToJson(const LoadOutcomes& aOutcomes)
{
  return {
    { "submitted", aOutcomes.submitted_ }, { "in_time", aOutcomes.inTime_ },
    { "late", aOutcomes.late_ },           { "refused", aOutcomes.refused_ },
    { "failed", aOutcomes.failed_ },       { "worth", aOutcomes.Worth() }
  };
}

void
PrintResultJson(const LoadReplayResult& aResult)
{
  Json kinds = Json::object();
  for (const LoadKindOutcomes& kind : aResult.kinds_) {
    kinds[kind.kind_] = ToJson(kind.outcomes_);
  }
  Json windows = Json::array();
  for (const LoadOutcomes& window : aResult.windows_) {
    windows.push_back(ToJson(window));
  }
  PrintJson({ { "total", ToJson(aResult.total_) },
              { "kinds", std::move(kinds) },
              { "windows", std::move(windows) },
              { "worst_window", aResult.WorstWindow() },
              { "starts", aResult.starts_ },
              { "returned", aResult.returned_ },
              { "reports", aResult.reports_ } });
}

std::string
Fixed(double aNumber)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << aNumber;
  return text.str();
}

void
AddOutcomes(Table& aTable,
            const std::string& aName,
            const LoadOutcomes& aOutcomes)
{
  aTable.AddRow({ aName,
                  std::to_string(aOutcomes.submitted_),
                  std::to_string(aOutcomes.inTime_),
                  std::to_string(aOutcomes.late_),
                  std::to_string(aOutcomes.refused_),
                  std::to_string(aOutcomes.failed_),
                  Fixed(aOutcomes.Worth()) });
}

void
PrintResultTable(const LoadReplayResult& aResult)
{
  Table table(
    { "JOBS", "SUBMITTED", "IN TIME", "LATE", "REFUSED", "FAILED", "WORTH" });
  for (const LoadKindOutcomes& kind : aResult.kinds_) {
    AddOutcomes(table, kind.kind_, kind.outcomes_);
  }
  AddOutcomes(table, "all", aResult.total_);
  for (size_t i = 0; i < aResult.windows_.size(); ++i) {
    AddOutcomes(
      table, "from " + std::to_string(2 * i) + " s", aResult.windows_[i]);
  }
  table.Print(std::cout);
  std::cout << "worst window " << Fixed(aResult.WorstWindow()) << ", starts "
            << aResult.starts_ << ", returned orders " << aResult.returned_
            << ", reports " << aResult.reports_ << '\n';
}

ExitCode
RunReplay(const ReplayCommand& aCommand)
{
  const auto text = ReadInputFile(aCommand.file_);
  if (!text) {
    return ExitCode::BadFile;
  }
  try {
    const LoadReplayResult result = ReplayLoad(ParseLoadPattern(*text));
    if (aCommand.output_ == OutputFormat::Json) {
      PrintResultJson(result);
    } else {
      PrintResultTable(result);
    }
    return ExitCode::Ok;
  } catch (const FileErrors& errors) {
    PrintFileErrors(aCommand.file_, errors);
    return ExitCode::BadFile;
  }
}

} // namespace

void
AddReplayCommand(CLI::App& aApp)
{
  auto options = std::make_shared<ReplayCommand>();
  CLI::App* command = aApp.add_subcommand(
    "replay",
    "Replay a load pattern against the scheduling decisions, without processes "
    "or sockets, and show how jobs fare");
  command->add_option("file", options->file_, "Load pattern in YAML")
    ->required();
  AddOutputOption(*command, options->output_);
  command->callback([options] { ExitWith(RunReplay(*options)); });
}

} // namespace cornelfront
