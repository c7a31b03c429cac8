#pragma once

/// \file
/// Routes of the callers' interface, and parsing of submitted calls and jobs.

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

/// The path exists but does not accept the request's method.
struct WrongMethod
{
  /// Value of the Allow response header.
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

/// A submitted call or job. A call has exactly one task.
struct SubmissionRequest
{
  std::string service_;
  std::string team_;
  /// Absent only for a call that was sent without an idempotency key.
  std::optional<SubmissionId> id_;
  bool isJob_ = false;
  std::vector<TaskRequest> tasks_;
  /// Start limit requested by the caller, if any.
  std::optional<Millis> startWithin_;
  /// False if the caller requested an immediate response (wait_ms=0).
  bool wait_ = true;
};

/// \throws RequestError
SubmissionRequest
ParseCall(const HttpRequest& aRequest, const CallRoute& aRoute);

/// \throws RequestError
SubmissionRequest
ParseJob(const HttpRequest& aRequest, const JobRoute& aRoute);

/// Digest of the fields that identify a request: service, team, calls and
/// bodies. Start limit and wait mode are excluded, so a resubmission may change
/// them.
std::string
RequestDigest(const SubmissionRequest& aRequest);

} // namespace cornelfront
