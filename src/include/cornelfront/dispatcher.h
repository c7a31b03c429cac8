#pragma once

/// \file
/// Interface of the dispatcher to the entry's request handling.

#include "cornelfront/clock.h"
#include "cornelfront/messages.h"
#include "cornelfront/schema.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront {

/// One task of a job. A call is a job with one task.
struct TaskSpec
{
  /// Schema of the call at the time when the job was accepted.
  std::shared_ptr<const CallSchema> call_;
  std::string body_;
};

struct JobSpec
{
  std::string submission_;
  std::string service_;
  std::string team_;
  std::vector<TaskSpec> tasks_;
  /// True if a task may run again after the result of a run was lost. Set only
  /// for single calls that their schema marks as repeatable.
  bool mayRepeat_ = false;
  MonoTime startBy_;
};

/// Outcome of a submission as reported to the caller.
enum class Outcome : uint8_t
{
  Completed,
  /// At least one task ran or may have run.
  Failed,
  /// No task ran.
  Refused,
};

std::string_view
ToString(Outcome aOutcome);

struct JobResult
{
  Outcome outcome_ = Outcome::Refused;
  TaskReason reason_ = TaskReason::None;
  /// True if outcome_ is Failed and it is unknown whether any task ran.
  bool mayHaveRun_ = false;
  /// Suggested delay before a retry; set on refusals.
  Millis retryAfter_{ 0 };
  /// One answer for each task, in task order. Bodies are present only if
  /// outcome_ is Completed.
  std::vector<TaskAnswer> answers_;
};

/// Runs jobs on the sidecars that are connected to one entry. Thread-safe.
class JobRunner
{
public:
  using Done = std::function<void(JobResult)>;

  virtual ~JobRunner() = default;

  /// Accepts the job for execution. \p aDone is called exactly once, from any
  /// thread, when the final result is known, possibly before Submit() returns.
  virtual void Submit(JobSpec aJob, Done aDone, MonoTime aNow) = 0;

  /// Cancels tasks that have not started and requests that running ones stop.
  /// The job's Done callback is still called with the result. Does nothing for
  /// an unknown submission.
  virtual void Cancel(const std::string& aSubmission, MonoTime aNow) = 0;

  /// Expected time until the last of \p aTasks new tasks of the service starts;
  /// zero while slots are free. Used for admission control.
  virtual Millis PredictedWait(const std::string& aService,
                               Priority aPriority,
                               size_t aTasks,
                               MonoTime aNow) const = 0;
};

} // namespace cornelfront
