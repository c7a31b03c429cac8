#pragma once

/// \file
/// Text encodings of binary data (base64, hexadecimal) and digests.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront {

/// Returns \p aBytes in standard base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

/// Decodes standard base64; nullopt if \p aText is not valid.
std::optional<std::string>
DecodeBase64(std::string_view aText);

/// Returns the SHA-256 digest of \p aBytes as 64 hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

} // namespace cornelfront
