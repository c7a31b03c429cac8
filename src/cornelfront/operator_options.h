#pragma once

/// \file
/// Options shared by the operator commands.

#include "commands.h"

#include <string>
#include <vector>

namespace cornelfront {

enum class OutputFormat
{
  Table,
  Json,
};

struct OperatorOptions
{
  /// URLs of one or more entries, "http://<ip>:<port>".
  std::vector<std::string> entries_;
  OutputFormat output_ = OutputFormat::Table;
};

/// Adds --output and --entry, which defaults to the comma-separated URLs in the
/// environment variable CORNELFRONT_ENTRY. \p aOptions must outlive the
/// command.
void
AddOperatorOptions(CLI::App& aCommand, OperatorOptions& aOptions);

/// Adds --output only. \p aOutput must outlive the command.
void
AddOutputOption(CLI::App& aCommand, OutputFormat& aOutput);

/// Ends the command with \p aCode; returns if it is ExitCode::Ok.
/// \throws CLI::RuntimeError, which main converts to the exit code
void
ExitWith(ExitCode aCode);

} // namespace cornelfront
