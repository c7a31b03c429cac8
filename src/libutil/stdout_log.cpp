#include "cornelfront/stdout_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace cornelfront {
namespace {

constexpr char
LevelLetter(google::LogSeverity aLevel)
{
  constexpr std::string_view kLetters = "IWEF";
  return kLetters[static_cast<size_t>(std::clamp(aLevel, 0, 3))];
}

} // namespace

StdoutLog::StdoutLog(StdoutLogOptions aOptions)
  : options_(aOptions)
{
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (int level = 0; level < google::NUM_SEVERITIES; ++level) {
    google::SetLogDestination(level, "");
  }
  google::AddLogSink(this);
}

StdoutLog::~StdoutLog()
{
  google::RemoveLogSink(this);
  Flush();
}

void
StdoutLog::send(google::LogSeverity aLevel,
                const char*,
                const char* aFile,
                int aLine,
                const google::LogMessageTime& aTime,
                const char* aMessage,
                size_t aBytes)
{
  if (!Admit(aLevel, aBytes, MonoClock::now())) {
    return;
  }
  char time[32];
  const std::tm& tm = aTime.tm();
  const size_t length = strftime(time, sizeof(time), "%FT%T", &tm);
  std::string line;
  line += LevelLetter(aLevel);
  line += ' ';
  line.append(time, length);
  line += '.' + std::to_string(1000000 + aTime.usec()).substr(1);
  line += ' ';
  line += aFile;
  line += ':' + std::to_string(aLine) + ' ';
  line.append(aMessage, aBytes);
  line += '\n';
  Append(line);
}

bool
StdoutLog::Admit(google::LogSeverity aLevel, size_t aBytes, MonoTime aNow)
{
  std::lock_guard lock(mutex_);
  if (aNow - windowStart_ >= std::chrono::seconds(1)) {
    windowStart_ = aNow;
    linesInWindow_ = 0;
  }
  ++linesInWindow_;
  const bool fits = buffer_.size() + aBytes <= options_.maxBufferBytes_;
  const bool inRate = aLevel >= google::GLOG_WARNING ||
                      linesInWindow_ <= options_.maxLinesPerSecond_;
  if (fits && inRate) {
    return true;
  }
  ++dropped_;
  return false;
}

void
StdoutLog::Append(const std::string& aLine)
{
  std::lock_guard lock(mutex_);
  if (dropped_ > 0) {
    buffer_ += "W log lines_dropped=" + std::to_string(dropped_) + "\n";
    dropped_ = 0;
  }
  buffer_ += aLine;
}

void
StdoutLog::Flush()
{
  std::lock_guard lock(mutex_);
  WriteAvailable();
}

void
StdoutLog::WriteAvailable()
{
  while (!buffer_.empty()) {
    pollfd output{ .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
    if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const size_t chunk = std::min<size_t>(buffer_.size(), PIPE_BUF);
    const ssize_t written = write(STDOUT_FILENO, buffer_.data(), chunk);
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

} // namespace cornelfront
