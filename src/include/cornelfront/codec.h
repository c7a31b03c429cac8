#pragma once

/// \file
/// Base64 encoding and SHA-256 digests.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront {

/// Returns \p aBytes in standard base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

/// Decodes standard base64 with padding. Returns nullopt if \p aText is not in
/// canonical form.
std::optional<std::string>
DecodeBase64(std::string_view aText);

/// Returns the SHA-256 digest of \p aBytes as 64 hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

} // namespace cornelfront
