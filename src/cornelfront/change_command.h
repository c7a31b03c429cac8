#pragma once

/// \file
/// Steps shared by `config publish`, `zone out` and `zone in`: append a change
/// to the log, wait until it is accepted, then until it is in force everywhere.

#include "commands.h"
#include "operator_options.h"

#include "cornelfront/clock.h"

#include <string>

namespace cornelfront {

struct ChangeOptions
{
  OperatorOptions operator_;
  /// "http://<ip>:<port>"
  std::string logUrl_;
  std::string changeId_;
  std::string author_;
  /// Limit in seconds for acceptance, and again until the change is in force.
  unsigned waitSeconds_ = 30;
};

/// Adds --log, which defaults to the environment variable CORNELFRONT_LOG.
void
AddLogOption(CLI::App& aCommand, std::string& aLogUrl);

/// Adds --log, --entry, --output, --change-id, --author and --wait.
/// \p aOptions must outlive the command.
void
AddChangeOptions(CLI::App& aCommand, ChangeOptions& aOptions);

/// Publishes the change, prints the result on standard output and the progress
/// on standard error. Reports the change as accepted only after it was read
/// back from the log and the same entries in a majority of the entry zones
/// confirmed it in two polling rounds.
ExitCode
RunChange(const ChangeOptions& aOptions,
          const std::string& aKey,
          const std::string& aText);

} // namespace cornelfront
