#include "commands.h"

#include <glog/logging.h>

namespace {

/// Runs before the constructors of all libraries, which take milliseconds. What
/// the dynamic linker does before it can't be covered from here.
void
HoldReloadSignalEarly(int aCount, char** aArguments, char** /*aEnvironment*/)
{
  if (aCount > 1) {
    cornelfront::HoldReloadSignal(aArguments[1]);
  }
}

[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kHoldReloadSignalEarly)(int, char**, char**) =
  HoldReloadSignalEarly;

} // namespace

int
main(int argc, char** argv)
{
  if (argc > 1) {
    cornelfront::HoldReloadSignal(argv[1]);
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Dispatcher for sub-second tasks", "cornelfront");
  app.require_subcommand(1);
  cornelfront::AddServeCommands(app);
  cornelfront::AddConfigCommands(app);
  cornelfront::AddZoneCommands(app);
  cornelfront::AddStatusCommands(app);
  cornelfront::AddTimelineCommands(app);
  cornelfront::AddReplayCommand(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::RuntimeError& error) {
    return error.get_exit_code();
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(cornelfront::ExitCode::Usage);
  }
  return 0;
}
