#pragma once

/// \file
/// What callers ask for: routes, and calls and jobs as they arrive.

#include "cornelfront/clock.h"
#include "cornelfront/http_server.h"
#include "cornelfront/job.h"
#include "cornelfront/submission.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelfront {

struct KeyPrefixRoute
{};

/// POST /v1/services/<service>/calls/<call>
struct CallRoute
{
  std::string service_;
  std::string call_;
};

/// POST /v1/services/<service>/jobs
struct JobRoute
{
  std::string service_;
};

/// GET /v1/jobs/<id>
struct LookUpRoute
{
  SubmissionId id_;
};

/// DELETE /v1/jobs/<id>
struct CancelRoute
{
  SubmissionId id_;
};

/// The path exists, with other methods.
struct WrongMethod
{
  /// Value for the header Allow.
  std::string allowed_;
};

struct UnknownRoute
{};

using CallerRoute = std::variant<KeyPrefixRoute,
                                 CallRoute,
                                 JobRoute,
                                 LookUpRoute,
                                 CancelRoute,
                                 WrongMethod,
                                 UnknownRoute>;

/// \throws RequestError if the id in the path is not a submission id
CallerRoute
ParseRoute(const std::string& aMethod, const std::string& aPath);

struct TaskRequest
{
  std::string call_;
  std::string body_;
};

/// A call or a job; a call has exactly one task.
struct SubmissionRequest
{
  std::string service_;
  std::string team_;
  /// Absent only for a call without an idempotency key.
  std::optional<SubmissionId> id_;
  bool isJob_ = false;
  std::vector<TaskRequest> tasks_;
  /// The caller's own limit, if it gave one.
  std::optional<Millis> startWithin_;
  /// False if the caller asked not to wait for the answer.
  bool wait_ = true;
};

/// \throws RequestError
SubmissionRequest
ParseCall(const HttpRequest& aRequest, const CallRoute& aRoute);

/// \throws RequestError
SubmissionRequest
ParseJob(const HttpRequest& aRequest, const JobRoute& aRoute);

/// Digest of everything that makes two requests the same: service, team, calls
/// and bodies, not how long the caller waits.
std::string
DigestOf(const SubmissionRequest& aRequest);

} // namespace cornelfront
