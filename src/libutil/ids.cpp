#include "cornelfront/ids.h"

#include <charconv>
#include <cstdio>
#include <random>

namespace cornelfront {

namespace {

constexpr size_t kMemberIdDigits = 16;

} // namespace

MemberId
NewMemberId()
{
  std::random_device source;
  MemberId id;
  while (id.value_ == 0) {
    id.value_ = (uint64_t{ source() } << 32U) | source();
  }
  return id;
}

std::string
ToString(MemberId aId)
{
  std::string text(kMemberIdDigits, '0');
  for (size_t i = 0; i < kMemberIdDigits; ++i) {
    const auto nibble = (aId.value_ >> (4 * (kMemberIdDigits - 1 - i))) & 0xFU;
    text[i] = "0123456789abcdef"[nibble];
  }
  return text;
}

std::string
ToString(const TaskId& aId)
{
  return ToString(aId.owner_) + ":" + std::to_string(aId.serial_);
}

std::optional<MemberId>
ParseMemberId(std::string_view aText)
{
  MemberId id;
  const char* last = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), last, id.value_, 16);
  if (aText.size() != kMemberIdDigits || result.ec != std::errc{} ||
      result.ptr != last || ToString(id) != aText) {
    return std::nullopt;
  }
  return id;
}

} // namespace cornelfront
