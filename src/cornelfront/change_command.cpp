#include "change_command.h"

#include "fleet.h"
#include "report.h"

#include "cornelfront/config_publisher.h"
#include "cornelfront/http_client.h"
#include "cornelfront/ids.h"
#include "cornelfront/start_gate.h"

#include <iostream>
#include <thread>

namespace cornelfront {

namespace {

using Json = nlohmann::ordered_json;

constexpr Millis kPollInterval{ 50 };
constexpr Millis kLogReadRequestTimeout{ 1000 };

/// Progress of a published change.
struct Progress
{
  bool accepted_ = false;
  bool inForce_ = false;
  /// Names of processes that have not confirmed the change, with the reason if
  /// they could not be reached.
  std::vector<std::string> unconfirmed_;
};

FetchOptions
FetchOptionsOf(const ChangeOptions& aOptions)
{
  return { .entries_ = aOptions.operator_.entries_ };
}

/// Asks the entries to read the log immediately. Failures are ignored, because
/// entries also read the log on their own.
void
RequestLogRead(const std::vector<std::string>& aEntries)
{
  HttpClient http;
  for (const std::string& url : aEntries) {
    http.Perform({ .method_ = "POST",
                   .url_ = url + "/v1/admin/poke",
                   .connectTimeout_ = kLogReadRequestTimeout,
                   .timeout_ = kLogReadRequestTimeout });
  }
}

EntryReport
MakeEntryReport(const AdminStatus& aStatus)
{
  EntryReport report{ .id_ = aStatus.process_.member_,
                      .zone_ = aStatus.process_.zone_,
                      .version_ = aStatus.configVersion_ };
  for (const KnownEntry& known : aStatus.entries_) {
    report.known_.push_back(
      { .entry_ = known.address_.id_, .zone_ = known.address_.zone_ });
  }
  return report;
}

std::vector<std::string>
UnconfirmedProcesses(const Fleet& aFleet, ConfigVersion aVersion)
{
  std::vector<std::string> unconfirmed;
  for (const AdminStatus& status : aFleet.entries_) {
    if (status.configVersion_ < aVersion) {
      unconfirmed.push_back(status.process_.name_);
    }
  }
  for (const UnreachableProcess& process : aFleet.unreachable_) {
    unconfirmed.push_back(process.process_ + " (" + process.reason_ + ")");
  }
  for (const SidecarReport& report : SidecarsOf(aFleet)) {
    if (report.sidecar_.configVersion_ < aVersion) {
      unconfirmed.push_back(report.sidecar_.process_.name_);
    }
  }
  return unconfirmed;
}

void
PrintUnconfirmed(const char* aWhat,
                 const std::vector<std::string>& aUnconfirmed)
{
  std::cerr << aWhat << ", waiting for " << aUnconfirmed.size() << ":";
  for (const std::string& name : aUnconfirmed) {
    std::cerr << "\n  " << name;
  }
  std::cerr << '\n';
}

/// Polls all processes until a published change is in force or the wait
/// deadline expires.
class ChangeMonitor
{
public:
  ChangeMonitor(const ChangeOptions& aOptions, const PublishResult& aResult)
    : options_(aOptions)
    , version_(aResult.version_)
    , rule_(aResult.version_, aResult.history_.zoneLists_)
    // Until entry zones are configured, no sidecar has outage evidence from
    // witnesses, so a change is accepted once it is in the log.
    , needsMajority_(!aResult.history_.zoneLists_.empty())
  {
  }

  Progress Wait()
  {
    Progress progress;
    MonoTime deadline = Deadline();
    while (true) {
      PollOnce(progress);
      if (progress.accepted_ && !announced_) {
        announced_ = true;
        deadline = Deadline();
        std::cerr << "accepted as version " << version_.value_ << '\n';
      }
      progress.inForce_ = progress.accepted_ && progress.unconfirmed_.empty();
      if (progress.inForce_ || MonoClock::now() >= deadline) {
        return progress;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

private:
  MonoTime Deadline() const
  {
    return MonoClock::now() + std::chrono::seconds(options_.waitSeconds_);
  }

  void PollOnce(Progress& aProgress)
  {
    if (!aProgress.accepted_) {
      RequestLogRead(options_.operator_.entries_);
    }
    rule_.BeginRound();
    const Fleet fleet = FetchFleet(FetchOptionsOf(options_));
    for (const AdminStatus& status : fleet.entries_) {
      rule_.OnReport(MakeEntryReport(status));
    }
    aProgress.accepted_ =
      aProgress.accepted_ || !needsMajority_ || rule_.Accepted();
    std::vector<std::string> unconfirmed =
      UnconfirmedProcesses(fleet, version_);
    if (unconfirmed != aProgress.unconfirmed_ && !unconfirmed.empty()) {
      PrintUnconfirmed(aProgress.accepted_ ? "in force in part"
                                           : "not yet accepted",
                       unconfirmed);
    }
    aProgress.unconfirmed_ = std::move(unconfirmed);
  }

  const ChangeOptions& options_;
  ConfigVersion version_;
  AcceptanceRule rule_;
  bool needsMajority_;
  bool announced_ = false;
};

struct ChangeReport
{
  std::string outcome_;
  std::string changeId_;
  std::string key_;
  ConfigVersion version_;
  Progress progress_;
  ExitCode code_ = ExitCode::Ok;
};

ExitCode
Print(const ChangeReport& aReport, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    PrintJson({ { "outcome", aReport.outcome_ },
                { "change_id", aReport.changeId_ },
                { "key", aReport.key_ },
                { "version", aReport.version_.value_ },
                { "accepted", aReport.progress_.accepted_ },
                { "in_force", aReport.progress_.inForce_ },
                { "not_confirmed_by", aReport.progress_.unconfirmed_ } });
    return aReport.code_;
  }
  std::cout << aReport.key_ << ": " << aReport.outcome_ << ", version "
            << aReport.version_.value_ << ", change id " << aReport.changeId_
            << '\n';
  for (const std::string& name : aReport.progress_.unconfirmed_) {
    std::cout << "not confirmed by " << name << '\n';
  }
  return aReport.code_;
}

ChangeReport
Publish(const ChangeOptions& aOptions, const PublishRequest& aRequest)
{
  ChangeReport report{ .changeId_ = aRequest.changeId_, .key_ = aRequest.key_ };
  LogClient log({ .url_ = aOptions.logUrl_ });
  const PublishResult result = PublishChange(
    log,
    aRequest,
    { .totalTimeout_ = std::chrono::seconds(aOptions.waitSeconds_) });
  report.version_ = result.version_;
  if (result.outcome_ == PublishOutcome::Conflict) {
    report.outcome_ = "conflict: another change came first";
    report.code_ = ExitCode::Conflict;
    return report;
  }
  report.progress_ = ChangeMonitor(aOptions, result).Wait();
  if (!report.progress_.accepted_) {
    report.outcome_ = "in the log, but not confirmed by a majority";
  } else if (!report.progress_.inForce_) {
    report.outcome_ = "accepted, but not yet in force everywhere";
  } else {
    report.outcome_ = result.outcome_ == PublishOutcome::Unchanged
                        ? "unchanged and in force everywhere"
                        : "accepted and in force everywhere";
    return report;
  }
  report.code_ = ExitCode::NotConfirmed;
  return report;
}

} // namespace

void
AddLogOption(CLI::App& aCommand, std::string& aLogUrl)
{
  aCommand
    .add_option("--log", aLogUrl, "URL of the log, such as http://127.0.0.1:9")
    ->envname("CORNELFRONT_LOG")
    ->required();
}

void
AddChangeOptions(CLI::App& aCommand, ChangeOptions& aOptions)
{
  AddLogOption(aCommand, aOptions.logUrl_);
  AddOperatorOptions(aCommand, aOptions.operator_);
  aCommand.add_option("--change-id",
                      aOptions.changeId_,
                      "names the change; repeat it to repeat a command whose "
                      "outcome is not known");
  aCommand.add_option("--author", aOptions.author_, "for the history")
    ->envname("USER");
  aCommand.add_option("--wait",
                      aOptions.waitSeconds_,
                      "seconds to wait for acceptance, and then until the "
                      "change is in force everywhere");
}

ExitCode
RunChange(const ChangeOptions& aOptions,
          const std::string& aKey,
          const std::string& aText)
{
  const PublishRequest request{ .changeId_ = aOptions.changeId_.empty()
                                               ? ToString(NewMemberId())
                                               : aOptions.changeId_,
                                .author_ = aOptions.author_,
                                .key_ = aKey,
                                .text_ = aText };
  std::cerr << "change id " << request.changeId_ << '\n';
  try {
    return Print(Publish(aOptions, request), aOptions.operator_.output_);
  } catch (const LogUnavailable& error) {
    std::cerr << error.what()
              << "; the change may be applied, repeat the command with "
                 "--change-id "
              << request.changeId_ << '\n';
    return ExitCode::LogUnavailable;
  } catch (const ConfigRecordError& error) {
    std::cerr << error.what() << '\n';
    return ExitCode::BadFile;
  }
}

} // namespace cornelfront
