#pragma once

/// \file
/// Service schemas: the properties of a service and its calls as operators
/// declare them.

#include "cornelfront/clock.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// Priority of a call; tasks with a lower value are served first.
enum class Priority : uint8_t
{
  Urgent,
  Normal,
  Batch,
};

/// Declared resource needs of one task.
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
  /// Start limit: a task that has not started within this time after its
  /// request is refused.
  Millis startWithin_{ 2000 };
  /// Run limit: a task that runs for longer is stopped.
  Millis runLimit_{ 10000 };
  /// Whether the call may run again if the result of a run was lost.
  bool repeatable_ = false;
  Priority priority_ = Priority::Normal;
  DeclaredSize size_;
  uint64_t maxBodyBytes_ = 1U << 20;
};

struct TeamQuota
{
  /// Task starts per second, over all entries.
  double startsPerSecond_ = 100;
  /// Starts that may come at once after an idle period.
  double burst_ = 100;
};

struct ServiceSchema
{
  std::string service_;
  std::map<std::string, CallSchema> calls_;
  std::map<std::string, TeamQuota> teams_;
};

/// One error in a schema, settings or policy file.
struct FileError
{
  /// Line number, from 1; 0 if the error concerns the whole file.
  int line_ = 0;
  /// Dotted path of the key, such as "services.event_desk.calls.match".
  std::string key_;
  std::string message_;
};

/// Thrown by the parsers of files; holds every error found, not only the first.
class FileErrors : public std::runtime_error
{
public:
  explicit FileErrors(std::vector<FileError> aErrors);
  const std::vector<FileError>& Errors() const { return errors_; }

private:
  std::vector<FileError> errors_;
};

/// Parses and validates a schema file, which may define several services under
/// the top-level key `services`.
/// \throws FileErrors
std::vector<ServiceSchema>
ParseSchema(const std::string& aYaml);

} // namespace cornelfront
