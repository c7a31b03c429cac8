#pragma once

/// \file
/// Submission ids: `<key prefix>.<suffix>`. The prefix names the entry that
/// issued it, which alone may start the submission's tasks, and when it was
/// issued; the caller chooses the suffix.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront {

/// Most characters in the suffix of a submission id.
constexpr size_t kMaxSuffixLength = 64;

/// Issued by an entry; good for new submissions for a limited time.
struct KeyPrefix
{
  MemberId owner_;
  /// Issue time, counted from the start of the owner's process.
  Millis issued_{ 0 };

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

/// Parses exactly what ToString(SubmissionId) writes; nullopt for anything
/// else, so that two texts never name the same submission.
std::optional<SubmissionId>
ParseSubmissionId(std::string_view aText);

/// Returns a prefix issued at \p aNow by the process \p aOwner, which started
/// at \p aStart.
KeyPrefix
IssuePrefix(MemberId aOwner, MonoTime aStart, MonoTime aNow);

enum class PrefixAge
{
  /// May begin a new submission.
  Good,
  /// Issued later than now, hence never by this process.
  Future,
  /// Older than the prefix lifetime.
  Expired,
};

/// Judges a prefix of the process that started at \p aStart. Meaningful only
/// in that process.
PrefixAge
JudgePrefix(const KeyPrefix& aPrefix,
            MonoTime aStart,
            Millis aLifetime,
            MonoTime aNow);

} // namespace cornelfront
