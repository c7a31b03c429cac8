#pragma once

/// \file
/// Child processes, their files, and the record of a case.

#include "cornelfront/clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cornelfront::review {

/// Thrown if a case can't be played, which says nothing about the product.
class CannotRun : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Polls until \p aCondition holds; returns false if it does not in time.
bool
WaitUntil(const std::function<bool()>& aCondition, Millis aTimeout);

/// A child process, ended with SIGKILL by the destructor.
class Child
{
public:
  /// Standard output and standard error are appended to \p aLog.
  Child(const std::vector<std::string>& aCommand, std::string aLog);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int aSignal) const;
  void Kill();
  bool Running();
  /// Returns the rest of the first line of the log that begins with \p aStart.
  /// \throws CannotRun if there is none within 10 s.
  std::string WaitForLine(const std::string& aStart) const;

private:
  std::string log_;
  pid_t pid_ = -1;
};

/// The file record.txt of a case: what was sent, answered and run, with the
/// milliseconds since the start of the case.
class Record
{
public:
  explicit Record(const std::string& aFile);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText);
  int64_t NowMs() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront::review
