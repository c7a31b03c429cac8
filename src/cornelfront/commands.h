#pragma once

/// \file
/// Subcommands of the `cornelfront` binary, each group in a file cmd_*.cpp.

#include <CLI/CLI.hpp>

#include <string_view>

namespace cornelfront {

/// Exit codes of the binary; part of its command-line interface.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  /// Another change to the same key was appended first.
  Conflict = 3,
  LogUnavailable = 4,
  /// A change is in the log, but was not confirmed by every process in time.
  NotConfirmed = 5,
  /// A settings or schema file has errors.
  BadFile = 6,
  /// The output is incomplete: a process did not answer, or events were
  /// dropped.
  Partial = 7,
};

/// Adds `entry`, `sidecar`, `job-entry` and `job-sidecar`.
void
AddServeCommands(CLI::App& aApp);

/// Blocks SIGHUP if \p aCommand is one that reloads on it. The platform may
/// send it right after the start, and its default action would end the process.
void
HoldReloadSignal(std::string_view aCommand);

/// Adds `status`, `members` and `version`.
void
AddStatusCommands(CLI::App& aApp);

/// Adds `timeline`, `events` and `event-catalog`.
void
AddTimelineCommands(CLI::App& aApp);

/// Adds `config check`, `publish`, `show` and `history`.
void
AddConfigCommands(CLI::App& aApp);

/// Adds `replay`.
void
AddReplayCommand(CLI::App& aApp);

/// Adds `zone out`, `in` and `list`.
void
AddZoneCommands(CLI::App& aApp);

} // namespace cornelfront
