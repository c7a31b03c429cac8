#pragma once

/// \file
/// A client of the callers' HTTP interface, and the decoded answers.

#include "cornelfront/http_client.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// Outcome of a submission or of a look-up.
enum class AnswerOutcome
{
  Completed,
  Failed,
  Refused,
  /// A look-up of a submission that is not finished.
  Running,
  /// No response, or a response without an outcome.
  None,
};

/// A decoded response of an entry.
struct CallerAnswer
{
  AnswerOutcome outcome_ = AnswerOutcome::None;
  int status_ = 0;
  /// False if the request certainly did not reach the entry.
  bool sent_ = true;
  std::string reason_;
  bool mayHaveRun_ = true;
  std::string submission_;
  /// Decoded results, one per task.
  std::vector<std::string> results_;
  /// The response body, followed by the error of the transport if there is one.
  std::string text_;
};

/// Prints the status and the text, for messages of failed checks.
std::ostream&
operator<<(std::ostream& aStream, const CallerAnswer& aAnswer);

/// A request to run tasks. If \c isJob_ is false, it is a call, which has one
/// body.
struct Submission
{
  std::string id_;
  bool isJob_ = false;
  std::string call_ = "match";
  std::vector<std::string> bodies_;
  Millis timeout_{ 30000 };
};

/// Returns a submission with \p aTasks distinct bodies that ask the upstream
/// stand-in to run for \p aRun. One task makes a call, several make a job.
Submission
MakeSubmission(const std::string& aId,
               unsigned aTasks,
               Millis aRun,
               const std::string& aCall = "match");

/// Returns true if the answer holds exactly the results of the submission's own
/// bodies, in order.
bool
HasExpectedResults(const CallerAnswer& aAnswer, const Submission& aSubmission);

/// HTTP client of one entry. Not thread-safe.
class Caller
{
public:
  /// \p aUrl is the URL of the entry, "http://<ip>:<port>".
  explicit Caller(std::string aUrl);

  /// Fetches a new key prefix.
  /// \throws std::runtime_error if the entry returns none.
  std::string FetchKeyPrefix();
  CallerAnswer Submit(const Submission& aSubmission);
  CallerAnswer LookUp(const std::string& aId);
  CallerAnswer Cancel(const std::string& aId);
  /// Sends \p aRequest unchanged; its \c url_ is a path on the entry.
  HttpResult Send(HttpClientRequest aRequest);

private:
  std::string url_;
  HttpClient http_;
};

} // namespace cornelfront::harness
