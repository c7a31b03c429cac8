#pragma once

/// \file
/// Log lines on standard output that never hold up the process.

#include "cornelfront/clock.h"

#include <glog/logging.h>

#include <cstddef>
#include <mutex>
#include <string>

namespace cornelfront {

struct StdoutLogOptions
{
  /// Lines of less than warning level beyond this number in a second are
  /// dropped and counted.
  size_t maxLinesPerSecond_ = 2000;
  /// Lines beyond this many bytes that the reader has not taken are dropped.
  size_t maxBufferBytes_ = 256U << 10U;
};

/// A line is "<level> <wall time> <file>:<line> <key>=<value> ...". While it
/// exists, glog writes nowhere else. Thread-safe.
class StdoutLog : public google::LogSink
{
public:
  explicit StdoutLog(StdoutLogOptions aOptions = {});
  ~StdoutLog() override;
  StdoutLog(const StdoutLog&) = delete;
  StdoutLog& operator=(const StdoutLog&) = delete;

  void send(google::LogSeverity aLevel,
            const char* aPath,
            const char* aFile,
            int aLine,
            const google::LogMessageTime& aTime,
            const char* aMessage,
            size_t aBytes) override;

  /// Writes what standard output takes without waiting.
  void Flush();

  /// Decides whether a line may be kept; counts it if not.
  bool Admit(google::LogSeverity aLevel, size_t aBytes, MonoTime aNow);

private:
  void Append(const std::string& aLine);
  void WriteAvailable();

  const StdoutLogOptions options_;
  std::mutex mutex_;
  std::string buffer_;
  size_t dropped_ = 0;
  size_t linesInSecond_ = 0;
  MonoTime second_;
};

} // namespace cornelfront
