#pragma once

/// \file
/// Refusals of requests: the entry answers one only if nothing of the request
/// was run.

#include "cornelfront/clock.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cornelfront {

enum class RefusalReason : uint8_t
{
  /// A header, query argument or member of the JSON body is not valid.
  InvalidField,
  UnknownPath,
  UnknownService,
  UnknownCall,
  MethodNotAllowed,
  BodyTooLarge,
  /// The submission id is already in use for another request.
  SubmissionMismatch,
  /// No announced worker is large enough.
  CanNeverRun,
  /// The submission id carries no prefix that may begin a submission.
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
  /// What is wrong, its value and the bound it breaks; empty if they do not
  /// apply.
  std::string field_;
  std::string value_;
  std::string bound_;
  /// When to come back; zero if waiting does not help.
  Millis retryAfter_{ 0 };
};

/// Text for people: names the field, its value and the bound.
std::string
Describe(const Refusal& aRefusal);

/// Thrown while a request is parsed.
class RequestError : public std::runtime_error
{
public:
  explicit RequestError(Refusal aRefusal);
  const Refusal& Reason() const { return refusal_; }

private:
  Refusal refusal_;
};

} // namespace cornelfront
