#pragma once

/// \file
/// Jobs as clients submit them, and the identifiers of their tasks.

#include "cornelfront/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cornelfront {

/// Resources that a task requests or that an upstream has.
struct Resources
{
  /// In thousandths of a core.
  int64_t cpu_ = 0;
  int64_t memoryMb_ = 0;
  int64_t gpus_ = 0;

  auto operator<=>(const Resources&) const = default;
  Resources& operator+=(const Resources& aOther)
  {
    cpu_ += aOther.cpu_;
    memoryMb_ += aOther.memoryMb_;
    gpus_ += aOther.gpus_;
    return *this;
  }
  Resources& operator-=(const Resources& aOther)
  {
    cpu_ -= aOther.cpu_;
    memoryMb_ -= aOther.memoryMb_;
    gpus_ -= aOther.gpus_;
    return *this;
  }
  /// True if \p aOther does not exceed this in any dimension.
  bool CanFit(const Resources& aOther) const
  {
    return aOther.cpu_ <= cpu_ && aOther.memoryMb_ <= memoryMb_ &&
           aOther.gpus_ <= gpus_;
  }
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(cpu_, memoryMb_, gpus_);
  }
};

/// A group of equal tasks of a job. Its tasks run independently unless it is a
/// gang.
struct StepSpec
{
  uint32_t count_ = 1;
  Resources resources_;
  /// Estimated duration of a task, from the client; may be imprecise.
  Millis estimate_{ 0 };
  /// Indices of the steps that must finish before this one starts.
  std::vector<uint32_t> dependsOn_;
  bool checkpointing_ = false;
  /// All tasks must run at the same time (gang scheduling).
  bool gang_ = false;
  /// For gangs: the tasks run slower if they are spread over several racks.
  bool sameRack_ = false;
  /// Several copies of a task may run in parallel.
  bool speculative_ = false;
  bool longRunning_ = false;
  /// Runs only on capacity that other tasks leave unused.
  bool usesIdleCapacity_ = false;
  /// Label that an upstream must have to run the tasks; empty if none.
  std::string requiredLabel_;
  /// Rack on which the tasks run fastest; empty if none.
  std::string preferredRack_;
  /// Maximum number of the step's tasks on one upstream; 0 if unlimited.
  uint32_t maxPerUpstream_ = 0;
  /// Maximum number of tasks that the system's own actions may make unavailable
  /// at the same time.
  uint32_t maxUnavailable_ = 0;
  std::string image_;
  /// Upper bound of the tail latency that the users of a long-running task see;
  /// 0 if none.
  Millis latencyTarget_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(count_,
             resources_,
             estimate_,
             dependsOn_,
             checkpointing_,
             gang_,
             sameRack_,
             speculative_,
             longRunning_,
             usesIdleCapacity_,
             requiredLabel_,
             preferredRack_,
             maxPerUpstream_,
             maxUnavailable_,
             image_,
             latencyTarget_);
  }
};

struct JobDescription
{
  /// Sixteen hexadecimal digits that the client generates.
  std::string id_;
  /// Opaque text passed to every task.
  std::string payload_;
  std::vector<StepSpec> steps_;
  /// The client waits for the result on the open request; the job is not
  /// stored.
  bool bestEffort_ = false;
  /// Number of occurrences of a scheduled job; 0 if the job runs once and at
  /// once.
  uint32_t repeats_ = 0;
  /// First scheduled start, as time since the Unix epoch.
  Millis firstDue_{ 0 };
  Millis interval_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      id_, payload_, steps_, bestEffort_, repeats_, firstDue_, interval_);
  }
};

/// Identifies one task of one occurrence of a job.
struct JobTaskId
{
  std::string job_;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  uint32_t index_ = 0;

  auto operator<=>(const JobTaskId&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(job_, occurrence_, step_, index_);
  }
};

/// Formats as "<job>.<occurrence>.<step>.<index>".
std::string
ToString(const JobTaskId& aTaskId);

/// Parses the format of ToString; returns nullopt for any other text.
std::optional<JobTaskId>
ParseJobTaskId(std::string_view aText);

/// True if \p aText consists of exactly sixteen hexadecimal digits.
bool
IsJobId(std::string_view aText);

/// Thrown for an invalid job description; the message names the field, its
/// value and the limit.
class JobError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Maximum size of a job's payload, in bytes.
constexpr size_t kMaxPayloadBytes = 4000;
/// Maximum number of tasks in one job.
constexpr size_t kMaxTasksPerJob = 1900;

/// Validates sizes, resource requests and dependencies between steps.
/// \throws JobError
void
CheckJob(const JobDescription& aJob);

/// How a run ended.
enum class RunEnd : uint8_t
{
  Done,
  /// The task or its upstream failed.
  Failed,
  /// Stopped on request.
  Stopped,
  /// The upstream's lease expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not start.
  GangIncomplete,
  /// Is known not to have started.
  NotStarted,
  /// The upstream is gone, and all runs on it with it.
  Lost,
};

/// Machine-readable name, such as "not_started"; used in metrics and log lines.
std::string_view
ToString(RunEnd aEnd);

} // namespace cornelfront
