/// \file
/// `cornelfront config check|publish|show|history`.

#include "change_command.h"
#include "file_input.h"
#include "report.h"
#include "table.h"

#include "cornelfront/config_publisher.h"
#include "cornelfront/dispatch_policy.h"
#include "cornelfront/schema.h"

#include <iostream>
#include <memory>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

constexpr Millis kLogTimeout{ 3000 };
constexpr const char* kSchemaPrefix = "schema/";
constexpr const char* kPolicyKey = "policy";
constexpr const char* kEntryZonesKey = "entry_zones";

struct PublishCommand
{
  ChangeOptions change_;
  std::string file_;
  std::string key_;
};

struct ReadCommand
{
  std::string logUrl_;
  std::string key_;
  OutputFormat output_ = OutputFormat::Table;
};

/// Parses a schema file. Prints the errors and returns nullopt if there are
/// any.
std::optional<std::vector<ServiceSchema>>
CheckSchema(const std::string& aPath, const std::string& aText)
{
  try {
    return ParseSchema(aText);
  } catch (const FileErrors& errors) {
    PrintFileErrors(aPath, errors);
    return std::nullopt;
  }
}

/// Parses a policy file. Prints the errors and returns false if there are any.
bool
CheckPolicy(const std::string& aPath, const std::string& aText)
{
  try {
    ParseDispatchPolicy(aText);
    return true;
  } catch (const FileErrors& errors) {
    PrintFileErrors(aPath, errors);
    return false;
  }
}

ExitCode
RunCheck(const std::string& aPath)
{
  const auto text = ReadInputFile(aPath);
  if (!text) {
    return ExitCode::BadFile;
  }
  const auto schemas = CheckSchema(aPath, *text);
  if (!schemas) {
    return ExitCode::BadFile;
  }
  for (const ServiceSchema& schema : *schemas) {
    std::cout << schema.service_ << ": " << schema.calls_.size() << " calls, "
              << schema.teams_.size() << " teams\n";
  }
  return ExitCode::Ok;
}

ExitCode
RunPublish(const PublishCommand& aCommand)
{
  const auto text = ReadInputFile(aCommand.file_);
  if (!text) {
    return ExitCode::BadFile;
  }
  if (aCommand.key_ == kPolicyKey && !CheckPolicy(aCommand.file_, *text)) {
    return ExitCode::BadFile;
  }
  if (!aCommand.key_.empty()) {
    return RunChange(aCommand.change_, aCommand.key_, *text);
  }
  const auto schemas = CheckSchema(aCommand.file_, *text);
  if (!schemas) {
    return ExitCode::BadFile;
  }
  if (schemas->size() != 1) {
    std::cerr << aCommand.file_ << ": contains " << schemas->size()
              << " services; publish each service from its own file\n";
    return ExitCode::BadFile;
  }
  return RunChange(
    aCommand.change_, kSchemaPrefix + schemas->front().service_, *text);
}

/// Reads the configuration history from the log. Prints the error and returns
/// nullopt if the log is unavailable.
std::optional<ConfigHistory>
FetchHistory(const std::string& aLogUrl)
{
  try {
    LogClient log({ .url_ = aLogUrl });
    return ReadConfigHistory(log, kLogTimeout);
  } catch (const LogUnavailable& error) {
    std::cerr << error.what() << '\n';
    return std::nullopt;
  }
}

ExitCode
PrintOneKey(const ReadCommand& aCommand, const ConfigState& aState)
{
  const ConfigValue value = aState.Get(aCommand.key_);
  if (value.version_ == ConfigVersion{}) {
    std::cerr << "no key '" << aCommand.key_ << "'\n";
    return ExitCode::Failed;
  }
  if (aCommand.output_ == OutputFormat::Json) {
    PrintJson({ { "key", aCommand.key_ },
                { "version", value.version_.value_ },
                { "text", value.text_ } });
  } else {
    std::cout << value.text_ << '\n';
  }
  return ExitCode::Ok;
}

ExitCode
RunShow(const ReadCommand& aCommand)
{
  const auto history = FetchHistory(aCommand.logUrl_);
  if (!history) {
    return ExitCode::LogUnavailable;
  }
  const ConfigState& state = history->state_;
  if (!aCommand.key_.empty()) {
    return PrintOneKey(aCommand, state);
  }
  Table table({ "KEY", "VERSION", "BYTES" });
  Json keys = Json::array();
  for (const auto& [key, value] : state.keys_) {
    table.AddRow({ key,
                   std::to_string(value.version_.value_),
                   std::to_string(value.text_.size()) });
    keys.push_back({ { "key", key },
                     { "version", value.version_.value_ },
                     { "text", value.text_ } });
  }
  if (aCommand.output_ == OutputFormat::Json) {
    PrintJson(
      { { "version", state.version_.value_ }, { "keys", std::move(keys) } });
  } else {
    table.Print(std::cout);
  }
  return ExitCode::Ok;
}

const char*
NameOf(FoldResult aResult)
{
  switch (aResult) {
    case FoldResult::Applied:
      return "applied";
    case FoldResult::Conflict:
      return "conflict";
    case FoldResult::SnapshotIgnored:
      return "snapshot";
    case FoldResult::SnapshotLoaded:
      return "snapshot loaded";
    case FoldResult::Invalid:
      break;
  }
  return "invalid";
}

ExitCode
RunHistory(const ReadCommand& aCommand)
{
  const auto history = FetchHistory(aCommand.logUrl_);
  if (!history) {
    return ExitCode::LogUnavailable;
  }
  Table table({ "OFFSET", "RESULT", "KEY", "BASE", "AUTHOR", "CHANGE ID" });
  Json records = Json::array();
  for (const HistoryRecord& record : history->records_) {
    const ConfigChange change = record.change_.value_or(ConfigChange{});
    const uint64_t base = change.base_.value_;
    table.AddRow({ std::to_string(record.offset_),
                   NameOf(record.result_),
                   change.key_,
                   record.change_ ? std::to_string(base) : "",
                   change.author_,
                   change.changeId_ });
    records.push_back({ { "offset", record.offset_ },
                        { "result", NameOf(record.result_) },
                        { "key", change.key_ },
                        { "base", base },
                        { "author", change.author_ },
                        { "change_id", change.changeId_ },
                        { "text", change.text_ } });
  }
  if (aCommand.output_ == OutputFormat::Json) {
    PrintJson({ { "records", std::move(records) } });
  } else {
    table.Print(std::cout);
  }
  return ExitCode::Ok;
}

void
AddCheckCommand(CLI::App& aConfig)
{
  const auto path = std::make_shared<std::string>();
  CLI::App* check = aConfig.add_subcommand(
    "check", "Check a schema file without publishing it");
  check->add_option("file", *path, "schema file")
    ->required()
    ->check(CLI::ExistingFile);
  check->callback([path] { ExitWith(RunCheck(*path)); });
}

void
AddPublishCommand(CLI::App& aConfig)
{
  const auto command = std::make_shared<PublishCommand>();
  CLI::App* publish = aConfig.add_subcommand(
    "publish",
    "Publish the schema of one service, or the value of another key");
  publish->add_option("file", command->file_, "file to publish")
    ->required()
    ->check(CLI::ExistingFile);
  publish
    ->add_option(
      "--key", command->key_, "configuration key, if the file is not a schema")
    ->check(CLI::IsMember({ kPolicyKey, kEntryZonesKey }));
  AddChangeOptions(*publish, command->change_);
  publish->callback([command] { ExitWith(RunPublish(*command)); });
}

void
AddReadCommand(CLI::App& aConfig,
               const std::string& aName,
               const std::string& aHelp,
               ExitCode (*aRun)(const ReadCommand&))
{
  const auto command = std::make_shared<ReadCommand>();
  CLI::App* read = aConfig.add_subcommand(aName, aHelp);
  AddLogOption(*read, command->logUrl_);
  AddOutputOption(*read, command->output_);
  if (aRun == &RunShow) {
    read->add_option("key", command->key_, "print only the value of this key");
  }
  read->callback([command, aRun] { ExitWith(aRun(*command)); });
}

} // namespace

void
AddConfigCommands(CLI::App& aApp)
{
  CLI::App* config = aApp.add_subcommand("config", "Published configuration");
  config->require_subcommand(1);
  AddCheckCommand(*config);
  AddPublishCommand(*config);
  AddReadCommand(*config, "show", "Show the published configuration", &RunShow);
  AddReadCommand(*config,
                 "history",
                 "List all configuration records in the log",
                 &RunHistory);
}

} // namespace cornelfront
