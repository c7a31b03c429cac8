#pragma once

/// \file
/// Options that the operators' commands share.

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
  /// "http://<ip>:<port>" of one or more entries.
  std::vector<std::string> entries_;
  OutputFormat output_ = OutputFormat::Table;
};

/// Adds --entry (also read from CORNELFRONT_ENTRY, separated by commas) and
/// --output. \p aOptions must outlive the command.
void
AddOperatorOptions(CLI::App& aCommand, OperatorOptions& aOptions);

/// Adds --output alone.
void
AddOutputOption(CLI::App& aCommand, OutputFormat& aOutput);

/// Ends the command with \p aCode unless it is ExitCode::Ok.
/// \throws CLI::RuntimeError, which main turns into the exit code
void
ExitWith(ExitCode aCode);

} // namespace cornelfront
