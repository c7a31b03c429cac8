#pragma once

/// \file
/// Input archive for untrusted data from other processes. It reads the output
/// of cereal::PortableBinaryOutputArchive in little-endian order, but checks
/// every length against the remaining input: cereal's own archives allocate
/// whatever size the data claims.

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

  /// Copies \p aSize bytes of elements of ElementSize bytes each, converted to
  /// the native byte order.
  /// \throws DecodeError if fewer bytes are left
  template<size_t ElementSize>
  void LoadBinary(void* aTarget, size_t aSize)
  {
    if (aSize > rest_.size()) {
      throw DecodeError("truncated message: " + std::to_string(rest_.size()) +
                        " bytes left, " + std::to_string(aSize) + " needed");
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

// Load functions that cereal finds by argument-dependent lookup; cereal
// prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)
namespace cereal {

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(cornelfront::BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    // A bool whose byte is neither 0 nor 1 is undefined behaviour.
    uint8_t byte = 0;
    aArchive.LoadBinary<1>(&byte, 1);
    if (byte > 1) {
      throw cornelfront::DecodeError("invalid bool value " +
                                     std::to_string(byte));
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
  // Each element is encoded in at least one byte.
  if (aTag.size > aArchive.Remaining()) {
    throw cornelfront::DecodeError(
      "length " + std::to_string(aTag.size) + " exceeds the " +
      std::to_string(aArchive.Remaining()) + " bytes left in the message");
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

/// Appends elements one by one instead of allocating the claimed count up
/// front.
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

/// Declares PortableBinaryOutputArchive as the matching output archive. The
/// macro CEREAL_SETUP_ARCHIVE_TRAITS would also declare the reverse mapping,
/// which already refers to cereal's own input archive.
template<>
struct get_output_from_input<cornelfront::BoundedInputArchive>
{
  using type = PortableBinaryOutputArchive;
};

} // namespace traits::detail

} // namespace cereal
// NOLINTEND(readability-identifier-naming)
