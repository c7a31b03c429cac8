#include "cornelfront/submission.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelfront {

namespace {

/// Maximum number of hexadecimal digits of the time of issue; 48 bits of
/// milliseconds are 8,900 years.
constexpr size_t kMaxIssueDigits = 12;

std::string
ToHex(uint64_t aValue)
{
  std::array<char, kMaxIssueDigits + 4> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aValue, 16);
  return { digits.data(), end.ptr };
}

std::optional<Millis>
ParseIssueTime(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxIssueDigits) {
    return std::nullopt;
  }
  uint64_t value = 0;
  const char* last = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), last, value, 16);
  if (result.ec != std::errc{} || result.ptr != last || ToHex(value) != aText) {
    return std::nullopt;
  }
  return Millis(value);
}

bool
IsSuffixCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '_' ||
         aCharacter == '-';
}

bool
IsSuffix(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxSuffixLength &&
         std::all_of(aText.begin(), aText.end(), &IsSuffixCharacter);
}

} // namespace

std::string
ToString(const KeyPrefix& aPrefix)
{
  return ToString(aPrefix.owner_) + "-" +
         ToHex(static_cast<uint64_t>(aPrefix.issuedAt_.count()));
}

std::string
ToString(const SubmissionId& aId)
{
  return ToString(aId.prefix_) + "." + aId.suffix_;
}

std::optional<SubmissionId>
ParseSubmissionId(std::string_view aText)
{
  const size_t dash = aText.find('-');
  const size_t dot = aText.find('.');
  if (dash == std::string_view::npos || dot == std::string_view::npos ||
      dot < dash) {
    return std::nullopt;
  }
  const auto owner = ParseMemberId(aText.substr(0, dash));
  const auto issued = ParseIssueTime(aText.substr(dash + 1, dot - dash - 1));
  const std::string_view suffix = aText.substr(dot + 1);
  if (!owner || !issued || !IsSuffix(suffix)) {
    return std::nullopt;
  }
  return SubmissionId{ .prefix_ = { .owner_ = *owner, .issuedAt_ = *issued },
                       .suffix_ = std::string(suffix) };
}

KeyPrefix
IssuePrefix(MemberId aOwner, MonoTime aStart, MonoTime aNow)
{
  const auto age = std::chrono::duration_cast<Millis>(aNow - aStart);
  return { .owner_ = aOwner, .issuedAt_ = std::max(age, Millis(0)) };
}

PrefixAge
ClassifyPrefix(const KeyPrefix& aPrefix,
               MonoTime aStart,
               Millis aLifetime,
               MonoTime aNow)
{
  const MonoTime issued = aStart + aPrefix.issuedAt_;
  if (issued > aNow) {
    return PrefixAge::Future;
  }
  return aNow - issued <= aLifetime ? PrefixAge::Valid : PrefixAge::Expired;
}

} // namespace cornelfront
