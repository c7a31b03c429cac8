#pragma once

/// \file
/// HTTP interface that the platform's clients call on an entry.

#include "cornelfront/http_server.h"
#include "cornelfront/job_replica.h"
#include "cornelfront/job_scheduler.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"

#include <string>
#include <variant>

namespace cornelfront::platform {

struct JobSubmission
{
  JobDescription job_;
  JobQueue queue_;
  /// How long the client waits for the response.
  Millis clientTimeout_{ 0 };
  /// The request arrived later than this, see HttpRequest::arrivedAfter_.
  MonoTime arrivedAfter_;
};

/// Query for the state of a job.
struct JobQuery
{
  std::string job_;
};

struct JobCancellation
{
  std::string job_;
};

/// Query for the number of pending jobs in a queue.
struct QueueLengthQuery
{
  std::string queue_;
};

/// A parsed call, or the error response if the call is invalid or cannot be
/// served yet.
using JobCall = std::variant<JobSubmission,
                             JobQuery,
                             JobCancellation,
                             QueueLengthQuery,
                             HttpResponse>;

/// Parses a call on the route that matches its host and path. \p aConfigAge is
/// the time since the read began that brought the configuration in \p aState:
/// without a match, a caller is told that there is no such queue only while
/// that is known.
JobCall
ParseJobCall(const HttpRequest& aRequest,
             const OperatorState& aState,
             Millis aConfigAge);

HttpResponse
UnknownJobResponse();
HttpResponse
StateResponse(JobState aState);
/// Response to a submission or cancellation, by the outcome of storing it.
HttpResponse
StoredResponse(StoreOutcome aOutcome);
HttpResponse
CancelledResponse();
HttpResponse
PendingResponse(size_t aPending);
/// The job has not run and will not run as a result of this request.
HttpResponse
RefusedResponse(const std::string& aReason, Millis aRetryAfter);
/// The job may have run partially.
HttpResponse
GivenUpResponse(const std::string& aReason);
HttpResponse
OutcomeResponse(const AnswerJob& aAnswer);

} // namespace cornelfront::platform
