#pragma once

/// \file
/// Builders of HTTP responses to callers.

#include "cornelfront/http_server.h"
#include "cornelfront/submission_table.h"

#include <string>

namespace cornelfront {

/// Representation of the answer that the caller requested.
struct AnswerFormat
{
  /// Empty if the request has no submission id.
  std::string submission_;
  /// Return the results as `results_base64`, one for each task.
  bool resultList_ = false;
  /// Return the result as `result_base64` if there is exactly one task.
  bool singleResult_ = true;
  /// Return the result of a completed call as the raw response body.
  bool rawBody_ = false;
};

HttpResponse
FinalResponse(const FinalAnswer& aAnswer, const AnswerFormat& aFormat);

HttpResponse
RefusalResponse(const Refusal& aRefusal, const std::string& aSubmission);

/// The submission was accepted but has no final answer yet.
HttpResponse
RunningResponse(const std::string& aSubmission);

/// The submission ran, but its answer is no longer retained.
HttpResponse
AnswerDroppedResponse(const std::string& aSubmission);

/// The id is too old to determine whether the submission was accepted.
HttpResponse
ExpiredResponse(const std::string& aSubmission);

/// No submission has been accepted with this id so far.
HttpResponse
NotAcceptedResponse(const std::string& aSubmission);

} // namespace cornelfront
