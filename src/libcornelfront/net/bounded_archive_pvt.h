#pragma once

/// \file
/// Input archive for bytes from other processes. It reads what
/// cereal::PortableBinaryOutputArchive writes in little-endian order, but
/// never trusts a length: cereal's own archives allocate whatever size the
/// bytes claim.

#include "cornelfront/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <bit>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace cornelfront {

class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
    , rest_(aBytes)
  {
  }

  size_t Remaining() const { return rest_.size(); }

  /// \throws DecodeError if fewer bytes are left
  template<size_t ElementSize>
  void LoadBinary(void* aTarget, size_t aSize)
  {
    if (aSize > rest_.size()) {
      throw DecodeError("truncated message");
    }
    std::memcpy(aTarget, rest_.data(), aSize);
    rest_.remove_prefix(aSize);
    if constexpr (std::endian::native == std::endian::big) {
      auto* bytes = static_cast<char*>(aTarget);
      for (size_t at = 0; at < aSize; at += ElementSize) {
        std::reverse(bytes + at, bytes + at + ElementSize);
      }
    }
  }

private:
  std::string_view rest_;
};

} // namespace cornelfront

// Loading functions found by cereal, which prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)
namespace cereal {

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(cornelfront::BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    // Any other byte in a bool is undefined behaviour.
    uint8_t byte = 0;
    aArchive.LoadBinary<1>(&byte, 1);
    if (byte > 1) {
      throw cornelfront::DecodeError("invalid bool");
    }
    aValue = byte == 1;
  } else {
    aArchive.LoadBinary<sizeof(T)>(&aValue, sizeof(T));
  }
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(cornelfront::BoundedInputArchive& aArchive,
                          NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(cornelfront::BoundedInputArchive& aArchive,
                          SizeTag<T>& aTag)
{
  aArchive(aTag.size);
  // Each element takes at least one byte.
  if (aTag.size > aArchive.Remaining()) {
    throw cornelfront::DecodeError("length exceeds the message");
  }
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(cornelfront::BoundedInputArchive& aArchive,
                          BinaryData<T>& aData)
{
  using Element = std::remove_pointer_t<T>;
  aArchive.LoadBinary<sizeof(Element)>(aData.data, aData.size);
}

/// Grows with the elements that are really there instead of resizing to the
/// claimed count at once.
template<class T, class A>
void
CEREAL_LOAD_FUNCTION_NAME(cornelfront::BoundedInputArchive& aArchive,
                          std::vector<T, A>& aVector)
{
  size_type count = 0;
  aArchive(make_size_tag(count));
  aVector.clear();
  for (size_type i = 0; i < count; ++i) {
    aArchive(aVector.emplace_back());
  }
}

namespace traits::detail {

/// Tells cereal which archive writes what this one reads. The usual macro
/// would also claim the reverse, which cereal's own input archive has taken.
template<>
struct get_output_from_input<cornelfront::BoundedInputArchive>
{
  using type = PortableBinaryOutputArchive;
};

} // namespace traits::detail

} // namespace cereal
// NOLINTEND(readability-identifier-naming)
