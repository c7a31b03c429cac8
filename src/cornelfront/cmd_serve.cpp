/// \file
/// `cornelfront entry`, `sidecar`, `job-entry` and `job-sidecar`: the server
/// processes.

#include "commands.h"
#include "file_input.h"

#include "cornelfront/entry.h"
#include "cornelfront/file.h"
#include "cornelfront/job_entry.h"
#include "cornelfront/job_sidecar.h"
#include "cornelfront/schema.h"
#include "cornelfront/settings.h"
#include "cornelfront/sidecar.h"
#include "cornelfront/stdout_log.h"
#include "cornelfront/ticker.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <pthread.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace cornelfront {

namespace {

constexpr std::string_view kJobEntry = "job-entry";
constexpr std::string_view kJobSidecar = "job-sidecar";

/// Interval at which buffered log lines are written to standard output.
constexpr Millis kLogFlushInterval{ 200 };

struct ServeOptions
{
  std::string settingsFile_;
  bool printSettings_ = false;
};

/// Blocks SIGTERM and SIGINT in this thread and in all threads it starts, so
/// that only sigwait receives them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
WaitForStopSignal(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
}

void
ServeEntry(const EntrySettings& aSettings)
{
  const sigset_t signals = BlockStopSignals();
  Entry entry(aSettings);
  std::cout << "listening http " << entry.HttpPort() << " messages "
            << entry.MessagePort() << std::endl;
  WaitForStopSignal(signals);
  entry.Stop();
}

void
ServeSidecar(const SidecarSettings& aSettings)
{
  const sigset_t signals = BlockStopSignals();
  Sidecar sidecar(aSettings);
  std::cout << "listening http " << sidecar.HttpPort() << std::endl;
  WaitForStopSignal(signals);
  sidecar.Stop();
}

/// Runs a \p Process until SIGTERM or SIGINT.
template<class Process, class Settings>
void
ServeJobs(const Settings& aSettings)
{
  sigset_t signals = BlockStopSignals();
  sigaddset(&signals, SIGHUP); // held since HoldReloadSignal
  StdoutLog log;
  const Ticker flusher(kLogFlushInterval, [&log] { log.Flush(); });
  Process process(aSettings);
  int received = 0;
  for (sigwait(&signals, &received); received == SIGHUP;
       sigwait(&signals, &received)) {
    // Every setting belongs to a listener or link that exists for the whole
    // lifetime of the process, so none can be reloaded.
    LOG(INFO) << "reload outcome=settings_apply_at_next_start";
  }
  process.Stop();
}

/// Reads the settings, then prints them or runs the server. Errors end the
/// command with the matching exit code.
template<class Parse, class Serve>
void
RunServe(const ServeOptions& aOptions, Parse&& aParse, Serve&& aServe)
{
  try {
    const auto settings = aParse(ReadFile(aOptions.settingsFile_));
    if (aOptions.printSettings_) {
      std::cout << PrintSettings(settings);
      return;
    }
    aServe(settings);
  } catch (const FileErrors& errors) {
    PrintFileErrors(aOptions.settingsFile_, errors);
    throw CLI::RuntimeError(static_cast<int>(ExitCode::BadFile));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    throw CLI::RuntimeError(static_cast<int>(ExitCode::Failed));
  }
}

CLI::App*
AddServeCommand(CLI::App& aApp,
                const std::string& aName,
                const std::string& aHelp,
                const std::shared_ptr<ServeOptions>& aOptions)
{
  CLI::App* command = aApp.add_subcommand(aName, aHelp);
  command
    ->add_option("--settings", aOptions->settingsFile_, "YAML settings file")
    ->required();
  command->add_flag("--print-settings",
                    aOptions->printSettings_,
                    "Print the effective settings and exit");
  return command;
}

} // namespace

void
HoldReloadSignal(std::string_view aCommand)
{
  if (aCommand == kJobEntry || aCommand == kJobSidecar) {
    sigset_t reload;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &reload, nullptr);
  }
}

void
AddServeCommands(CLI::App& aApp)
{
  auto entry = std::make_shared<ServeOptions>();
  AddServeCommand(aApp, "entry", "Serve callers", entry)->callback([entry] {
    RunServe(*entry, ParseEntrySettings, ServeEntry);
  });
  auto sidecar = std::make_shared<ServeOptions>();
  AddServeCommand(
    aApp, "sidecar", "Serve one upstream on the same machine", sidecar)
    ->callback(
      [sidecar] { RunServe(*sidecar, ParseSidecarSettings, ServeSidecar); });
  auto jobEntry = std::make_shared<ServeOptions>();
  AddServeCommand(aApp,
                  std::string(kJobEntry),
                  "Take jobs from the platform's clients",
                  jobEntry)
    ->callback([jobEntry] {
      RunServe(*jobEntry,
               ParseJobEntrySettings,
               ServeJobs<JobEntry, JobEntrySettings>);
    });
  auto jobSidecar = std::make_shared<ServeOptions>();
  AddServeCommand(aApp,
                  std::string(kJobSidecar),
                  "Run tasks on one executor of the platform",
                  jobSidecar)
    ->callback([jobSidecar] {
      RunServe(*jobSidecar,
               ParseJobSidecarSettings,
               ServeJobs<JobSidecar, JobSidecarSettings>);
    });
}

} // namespace cornelfront
