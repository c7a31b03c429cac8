#pragma once

/// \file
/// Service schemas: what operators declare about a service and its calls.

#include "cornelfront/clock.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// Lower values are served first.
enum class Priority : uint8_t
{
  Urgent,
  Normal,
  Batch,
};

/// Resources that one task is declared to take.
struct DeclaredSize
{
  double processors_ = 1;
  uint64_t memoryMb_ = 64;
  uint32_t accelerators_ = 0;
  /// Expected run time.
  Millis runTime_{ 200 };
};

struct CallSchema
{
  std::string name_;
  /// A task that has not started this long after its request is refused.
  Millis startWithin_{ 2000 };
  /// A task that runs longer is stopped.
  Millis runLimit_{ 10000 };
  /// Whether the call may run again after a run whose result was lost.
  bool repeatable_ = false;
  Priority priority_ = Priority::Normal;
  DeclaredSize size_;
  uint64_t maxBodyBytes_ = 1U << 20;
};

struct TeamQuota
{
  /// Task starts per second, over all entries together.
  double startsPerSecond_ = 100;
  /// Starts that may come at once after a pause.
  double burst_ = 100;
};

struct ServiceSchema
{
  std::string service_;
  std::map<std::string, CallSchema> calls_;
  std::map<std::string, TeamQuota> teams_;
};

/// One fault in a schema or settings file.
struct FileError
{
  /// Line counted from 1; 0 if the file as a whole is meant.
  int line_ = 0;
  /// Dotted path of the key, such as "services.event_desk.calls.match".
  std::string key_;
  std::string message_;
};

/// Every fault found, not only the first.
class FileErrors : public std::runtime_error
{
public:
  explicit FileErrors(std::vector<FileError> aErrors);
  const std::vector<FileError>& Errors() const { return errors_; }

private:
  std::vector<FileError> errors_;
};

/// Parses and checks a whole schema file, which may hold several services
/// under the top-level key `services`.
/// \throws FileErrors
std::vector<ServiceSchema>
ParseSchema(const std::string& aYaml);

} // namespace cornelfront
