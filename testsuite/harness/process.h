#pragma once

/// \file
/// Real programs as children of a test.

#include "cornelfront/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cornelfront::harness {

/// Longest wait for something that has no bound of its own.
constexpr Millis kPatience{ 20000 };

/// Polls until \p aCondition holds; false if it does not within \p aTimeout.
bool
WaitUntil(const std::function<bool()>& aCondition, Millis aTimeout = kPatience);

/// Returns a port of loopback that is free now.
uint16_t
FreePort();

/// A folder that is removed with its content, unless the test failed.
class TempFolder
{
public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  std::string Path(const std::string& aName) const;
  /// Writes a file and returns its path.
  std::string Write(const std::string& aName, const std::string& aText) const;

private:
  std::string path_;
};

struct ProcessOptions
{
  /// Program and arguments.
  std::vector<std::string> command_;
  /// File that receives the standard error.
  std::string errorFile_;
  /// File that receives the standard output, which can't be waited for then.
  std::string outputFile_ = {};
};

/// One child process; killed and reaped by the destructor, and by the system
/// if the test dies.
class Process
{
public:
  /// \throws std::system_error if the process cannot be started.
  explicit Process(const ProcessOptions& aOptions);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Reads standard output up to the line that begins with \p aStart and
  /// returns the rest of that line.
  /// \throws std::runtime_error if there is none within kPatience.
  std::string WaitForLine(const std::string& aStart);

  /// Sends a signal; does nothing after the process was reaped.
  void Signal(int aSignal) const;
  /// SIGKILL, then reaps.
  void Kill();
  /// Waits for the exit and returns the exit status, -1 for a signal;
  /// nullopt if the process still runs after \p aTimeout.
  std::optional<int> WaitExit(Millis aTimeout = kPatience);

private:
  std::string ReadLine(MonoTime aDeadline);

  std::string errorFile_;
  pid_t pid_ = -1;
  int output_ = -1;
  std::string buffer_;
};

} // namespace cornelfront::harness
