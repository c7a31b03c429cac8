#pragma once

/// \file
/// Submission ids: `<key prefix>.<suffix>`. The prefix holds the id of the
/// entry that issued it and the time of issue; only that entry may start the
/// tasks of the submission. The caller chooses the suffix.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront {

/// Maximum length of the suffix of a submission id, in characters.
constexpr size_t kMaxSuffixLength = 64;

/// Prefix issued by an entry; valid for new submissions for a limited time.
struct KeyPrefix
{
  MemberId owner_;
  /// Time of issue, relative to the start of the process that owns the prefix.
  Millis issuedAt_{ 0 };

  bool operator==(const KeyPrefix&) const = default;
};

struct SubmissionId
{
  KeyPrefix prefix_;
  /// 1 to kMaxSuffixLength characters of [A-Za-z0-9_-].
  std::string suffix_;

  bool operator==(const SubmissionId&) const = default;
};

/// Returns "<member id>-<issue time in lowercase hexadecimal milliseconds>".
std::string
ToString(const KeyPrefix& aPrefix);

/// Returns "<key prefix>.<suffix>".
std::string
ToString(const SubmissionId& aId);

/// Parses the output of ToString(SubmissionId). Returns nullopt for any other
/// spelling, so that no two texts name the same submission.
std::optional<SubmissionId>
ParseSubmissionId(std::string_view aText);

/// Returns a prefix issued at \p aNow by the process \p aOwner, which started
/// at \p aStart.
KeyPrefix
IssuePrefix(MemberId aOwner, MonoTime aStart, MonoTime aNow);

enum class PrefixAge
{
  /// May begin a new submission.
  Valid,
  /// Time of issue in the future; this process has not issued the prefix.
  Future,
  /// Older than the prefix lifetime.
  Expired,
};

/// Classifies a prefix by its age at \p aNow. \p aStart is the start of the
/// process that owns the prefix; the result is meaningful only in that process.
PrefixAge
ClassifyPrefix(const KeyPrefix& aPrefix,
               MonoTime aStart,
               Millis aLifetime,
               MonoTime aNow);

} // namespace cornelfront
