#pragma once

/// \file
/// What the entry's request handling asks of the dispatcher.

#include "cornelfront/clock.h"
#include "cornelfront/messages.h"
#include "cornelfront/schema.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront {

/// One task of a job; a call is a job of one task.
struct TaskSpec
{
  /// The call's schema as of the job's acceptance.
  std::shared_ptr<const CallSchema> call_;
  std::string body_;
};

struct JobSpec
{
  std::string submission_;
  std::string service_;
  std::string team_;
  std::vector<TaskSpec> tasks_;
  /// True if a task may run again after a run whose result was lost: only for
  /// single calls that their schema marks repeatable.
  bool mayRepeat_ = false;
  MonoTime startBy_;
};

/// Outcome of a whole submission, as told to the caller.
enum class Outcome : uint8_t
{
  Completed,
  /// Something ran or may have run.
  Failed,
  /// Certainly nothing ran.
  Refused,
};

std::string_view
ToString(Outcome aOutcome);

struct JobResult
{
  Outcome outcome_ = Outcome::Refused;
  TaskReason reason_ = TaskReason::None;
  /// True if outcome_ is Failed and it is not known whether a task ran.
  bool mayHaveRun_ = false;
  /// When to come back; set on refusals.
  Millis retryAfter_{ 0 };
  /// One for each task, in order; bodies only if outcome_ is Completed.
  std::vector<TaskAnswer> answers_;
};

/// Runs jobs on the sidecars of one entry. Thread-safe.
class JobRunner
{
public:
  using Done = std::function<void(JobResult)>;

  virtual ~JobRunner() = default;

  /// Takes the job. \p aDone is called exactly once, from any thread, as soon
  /// as the final result is known, possibly before Submit returns.
  virtual void Submit(JobSpec aJob, Done aDone, MonoTime aNow) = 0;

  /// Cancels what has not started and asks to stop what has; the job's Done
  /// follows. Does nothing for an unknown submission.
  virtual void Cancel(const std::string& aSubmission, MonoTime aNow) = 0;

  /// Expected wait of the last of \p aTasks new tasks of the service before
  /// its start; zero while slots are free. Takes part in admission.
  virtual Millis PredictedWait(const std::string& aService,
                               Priority aPriority,
                               size_t aTasks,
                               MonoTime aNow) const = 0;
};

} // namespace cornelfront
