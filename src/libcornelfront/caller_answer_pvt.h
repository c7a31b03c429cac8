#pragma once

/// \file
/// Responses to callers.

#include "cornelfront/http_server.h"
#include "cornelfront/submission_table.h"

#include <string>

namespace cornelfront {

/// How the caller wants its answer.
struct AnswerFormat
{
  /// Empty if the request named no submission.
  std::string submission_;
  /// Give the results as `results_base64`, one for each task.
  bool list_ = false;
  /// Give the result as `result_base64` if there is exactly one task.
  bool single_ = true;
  /// Give a completed call's result as the bare body of the response.
  bool raw_ = false;
};

HttpResponse
RespondFinal(const FinalAnswer& aAnswer, const AnswerFormat& aFormat);

HttpResponse
RespondRefusal(const Refusal& aRefusal, const std::string& aSubmission);

/// The submission was accepted and has no final answer yet.
HttpResponse
RespondRunning(const std::string& aSubmission);

/// The submission ran and its answer is not kept any more.
HttpResponse
RespondAnswerDropped(const std::string& aSubmission);

/// The id is too old to know whether it was ever accepted.
HttpResponse
RespondExpired(const std::string& aSubmission);

/// Nothing was accepted under the id so far.
HttpResponse
RespondNotAccepted(const std::string& aSubmission);

} // namespace cornelfront
