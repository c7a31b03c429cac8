#include "cornelfront/refusal.h"

#include <utility>

namespace cornelfront {

namespace {

/// Maximum length of a caller's value that is quoted in an error message.
constexpr size_t kMaxQuotedLength = 80;

struct ReasonInfo
{
  std::string_view name_;
  int status_;
};

ReasonInfo
InfoOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::InvalidField:
      return { "invalid_field", 400 };
    case RefusalReason::UnknownPath:
      return { "unknown_path", 404 };
    case RefusalReason::UnknownService:
      return { "unknown_service", 404 };
    case RefusalReason::UnknownCall:
      return { "unknown_call", 404 };
    case RefusalReason::MethodNotAllowed:
      return { "method_not_allowed", 405 };
    case RefusalReason::BodyTooLarge:
      return { "body_too_large", 413 };
    case RefusalReason::SubmissionMismatch:
      return { "submission_mismatch", 422 };
    case RefusalReason::CanNeverRun:
      return { "can_never_run", 422 };
    case RefusalReason::KeyPrefixRequired:
      return { "key_prefix_required", 428 };
    case RefusalReason::QuotaExceeded:
      return { "quota_exceeded", 429 };
    case RefusalReason::Overloaded:
      return { "overloaded", 503 };
    case RefusalReason::TableFull:
      return { "table_full", 503 };
    case RefusalReason::Draining:
      return { "draining", 503 };
  }
  return { "unknown", 500 };
}

} // namespace

std::string_view
ToString(RefusalReason aReason)
{
  return InfoOf(aReason).name_;
}

int
StatusOf(RefusalReason aReason)
{
  return InfoOf(aReason).status_;
}

std::string
Describe(const Refusal& aRefusal)
{
  std::string text;
  if (!aRefusal.field_.empty()) {
    text += aRefusal.field_ + " '" +
            aRefusal.value_.substr(0, kMaxQuotedLength) + "': ";
  }
  text += aRefusal.bound_.empty() ? std::string(ToString(aRefusal.reason_))
                                  : aRefusal.bound_;
  return text;
}

RequestError::RequestError(Refusal aRefusal)
  : std::runtime_error(Describe(aRefusal))
  , refusal_(std::move(aRefusal))
{
}

} // namespace cornelfront
