#pragma once

/// \file
/// A caller of the system, and what its answers say.

#include "cornelfront/http_client.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelfront::harness {

enum class Answer
{
  Completed,
  Failed,
  Refused,
  /// Look-up of a submission that has no answer yet.
  Running,
  /// No response, or one that names no outcome.
  None,
};

struct CallerAnswer
{
  Answer outcome_ = Answer::None;
  int status_ = 0;
  /// False if nothing can have reached the entry.
  bool sent_ = true;
  std::string reason_;
  bool mayHaveRun_ = true;
  std::string submission_;
  /// Decoded results, one per task.
  std::vector<std::string> results_;
  /// The whole response body, or the transport's error.
  std::string text_;
};

/// For messages of failed checks.
std::ostream&
operator<<(std::ostream& aStream, const CallerAnswer& aAnswer);

/// A submission: a call if isJob_ is false, which then has one body.
struct Submission
{
  std::string id_;
  bool isJob_ = false;
  std::string call_ = "match";
  std::vector<std::string> bodies_;
  Millis timeout_{ 30000 };
};

/// A submission with \p aTasks distinct bodies that ask the upstream stand-in
/// to run for \p aRun. One task is a call, several are a job.
Submission
MakeSubmission(const std::string& aId,
               unsigned aTasks,
               Millis aRun,
               const std::string& aCall = "match");

/// True if the answer has exactly the results of the submission's own bodies.
bool
IsWhole(const CallerAnswer& aAnswer, const Submission& aSubmission);

/// Sends requests to one entry. Not thread-safe.
class Caller
{
public:
  /// \p aUrl is the entry's, "http://<ip>:<port>".
  explicit Caller(std::string aUrl);

  /// Returns a fresh key prefix.
  /// \throws std::runtime_error if the entry gives none.
  std::string TakePrefix();
  CallerAnswer Submit(const Submission& aSubmission);
  CallerAnswer LookUp(const std::string& aId);
  CallerAnswer Cancel(const std::string& aId);
  /// Sends \p aRequest as it is, its url_ being a path.
  HttpResult Send(HttpClientRequest aRequest);

private:
  std::string url_;
  HttpClient http_;
};

} // namespace cornelfront::harness
