#include "operator_options.h"

namespace cornelfront {

void
AddOutputOption(CLI::App& aCommand, OutputFormat& aOutput)
{
  static const std::map<std::string, OutputFormat> sFormats{
    { "table", OutputFormat::Table },
    { "json", OutputFormat::Json },
  };
  aCommand.add_option("--output", aOutput, "table (default) or json")
    ->transform(CLI::CheckedTransformer(sFormats).description(""));
}

void
AddOperatorOptions(CLI::App& aCommand, OperatorOptions& aOptions)
{
  aCommand
    .add_option("--entry",
                aOptions.entries_,
                "URL of an entry, such as http://127.0.0.1:8080; repeatable")
    ->envname("CORNELFRONT_ENTRY")
    ->delimiter(',')
    ->required();
  AddOutputOption(aCommand, aOptions.output_);
}

void
ExitWith(ExitCode aCode)
{
  if (aCode != ExitCode::Ok) {
    throw CLI::RuntimeError(static_cast<int>(aCode));
  }
}

} // namespace cornelfront
