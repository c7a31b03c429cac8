#pragma once

/// \file
/// Log output on standard output that never blocks the process.

#include "cornelfront/clock.h"

#include <glog/logging.h>

#include <cstddef>
#include <mutex>
#include <string>

namespace cornelfront {

struct StdoutLogOptions
{
  /// Lines below warning level that exceed this rate are dropped and counted.
  size_t maxLinesPerSecond_ = 2000;
  /// Lines that would make the buffer of unwritten output exceed this size are
  /// dropped and counted.
  size_t maxBufferBytes_ = 256U << 10U;
};

/// Writes lines of the form "<level> <wall time> <file>:<line> <key>=<value>
/// ...". While an object exists, glog writes nowhere else. Thread-safe.
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

  /// Writes as much of the buffer as standard output accepts without blocking.
  void Flush();

  /// Returns whether a line is within the limits; counts it as dropped if not.
  bool Admit(google::LogSeverity aLevel, size_t aBytes, MonoTime aNow);

private:
  void Append(const std::string& aLine);
  void WriteAvailable();

  const StdoutLogOptions options_;
  std::mutex mutex_;
  std::string buffer_;
  size_t dropped_ = 0;
  size_t linesInWindow_ = 0;
  MonoTime windowStart_;
};

} // namespace cornelfront
