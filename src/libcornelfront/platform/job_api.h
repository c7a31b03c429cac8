#pragma once

/// \file
/// What the platform's clients call at an entry.

#include "cornelfront/http_server.h"
#include "cornelfront/job_engine.h"
#include "cornelfront/job_ledger.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"

#include <string>
#include <variant>

namespace cornelfront::platform {

struct JobSubmission
{
  JobDescription job_;
  JobQueue queue_;
  /// How long the client waits for its answer.
  Millis clientWait_{ 0 };
};

/// For the state of a job.
struct JobQuestion
{
  std::string job_;
};

struct JobCancellation
{
  std::string job_;
};

/// For the number of jobs that wait in a queue.
struct QueueQuestion
{
  std::string queue_;
};

/// A call, or the answer to one that is at fault or can't be served yet.
using JobCall = std::variant<JobSubmission,
                             JobQuestion,
                             JobCancellation,
                             QueueQuestion,
                             HttpResponse>;

JobCall
ParseJobCall(const HttpRequest& aRequest, const OperatorState& aState);

HttpResponse
UnknownJobResponse();
HttpResponse
StateResponse(JobState aState);
/// Whether a submission or cancellation is in the store.
HttpResponse
StoredResponse(StoreOutcome aOutcome);
HttpResponse
CancelledResponse();
HttpResponse
PendingResponse(size_t aPending);
/// The job has not run and will not on this request.
HttpResponse
RefusedResponse(const std::string& aReason, Millis aRetryAfter);
/// The job may have run in part.
HttpResponse
GivenUpResponse(const std::string& aReason);
HttpResponse
OutcomeResponse(const AnswerJob& aAnswer);

} // namespace cornelfront::platform
