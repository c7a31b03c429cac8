#pragma once

/// \file
/// Refusals of requests. An entry refuses a request only if no part of it has
/// run.

#include "cornelfront/clock.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cornelfront {

enum class RefusalReason : uint8_t
{
  /// A header, query argument or member of the JSON body is invalid.
  InvalidField,
  UnknownPath,
  UnknownService,
  UnknownCall,
  MethodNotAllowed,
  BodyTooLarge,
  /// The submission id is already in use for another request.
  SubmissionMismatch,
  /// No announced worker has the resources that the task needs.
  CanNeverRun,
  /// The prefix of the submission id may not begin a new submission.
  KeyPrefixRequired,
  QuotaExceeded,
  /// The predicted wait exceeds the start limit.
  Overloaded,
  /// The table of submissions is full.
  TableFull,
  Draining,
};

/// Machine-readable name, such as "invalid_field".
std::string_view
ToString(RefusalReason aReason);

/// HTTP status of a refusal.
int
StatusOf(RefusalReason aReason);

struct Refusal
{
  RefusalReason reason_ = RefusalReason::InvalidField;
  /// The offending field, its value and the limit that it violates; empty if
  /// they do not apply.
  std::string field_;
  std::string value_;
  std::string bound_;
  /// Time after which the caller may retry; zero if waiting does not help.
  Millis retryAfter_{ 0 };
};

/// Returns a human-readable text with the field, its value and the limit.
std::string
Describe(const Refusal& aRefusal);

/// Thrown when a request cannot be parsed or is invalid.
class RequestError : public std::runtime_error
{
public:
  explicit RequestError(Refusal aRefusal);
  const Refusal& Reason() const { return refusal_; }

private:
  Refusal refusal_;
};

} // namespace cornelfront
