#pragma once

/// \file
/// What `config publish`, `zone out` and `zone in` share: appending a change,
/// having it accepted, and waiting until it is in force everywhere.

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
  /// How long to wait for acceptance, and again until it is in force.
  unsigned waitSeconds_ = 30;
};

/// Adds --log alone (also read from CORNELFRONT_LOG).
void
AddLogOption(CLI::App& aCommand, std::string& aLogUrl);

/// Adds --log, --entry, --output, --change-id, --author and --wait.
/// \p aOptions must outlive the command.
void
AddChangeOptions(CLI::App& aCommand, ChangeOptions& aOptions);

/// Publishes the change, reports it on standard output and its progress on
/// standard error. Says accepted only after the change was read back and the
/// same entries of a majority of the entry zones confirmed it in two rounds.
ExitCode
RunChange(const ChangeOptions& aOptions,
          const std::string& aKey,
          const std::string& aText);

} // namespace cornelfront
