#pragma once

/// \file
/// Subcommands of the `cornelfront` binary; each file cmd_*.cpp adds its own.

#include <CLI/CLI.hpp>

namespace cornelfront {

/// Exit codes of the binary.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  /// A racing change won.
  Conflict = 3,
  LogUnavailable = 4,
  /// A change was accepted but not confirmed by every process in time.
  NotConfirmed = 5,
  /// A settings or schema file has errors.
  BadFile = 6,
  /// The output lacks a process that did not answer, or dropped events.
  Partial = 7,
};

/// `entry` and `sidecar`.
void
AddServeCommands(CLI::App& aApp);

/// `status`, `members` and `version`.
void
AddStatusCommands(CLI::App& aApp);

/// `timeline`, `events` and `event-catalog`.
void
AddTimelineCommands(CLI::App& aApp);

/// `config check`, `publish`, `show` and `history`.
void
AddConfigCommands(CLI::App& aApp);

/// `zone out`, `in` and `list`.
void
AddZoneCommands(CLI::App& aApp);

} // namespace cornelfront
