#include "cornelfront/codec.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>

namespace cornelfront {

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(aBytes.data()),
                  static_cast<int>(aBytes.size()));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock ignores surrounding whitespace and decodes padding to zero
  // bytes. Encoding the result again detects all non-canonical input.
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  if (EncodeBase64(bytes) != aText) {
    return std::nullopt;
  }
  return bytes;
}

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    text += "0123456789abcdef"[byte >> 4U];
    text += "0123456789abcdef"[byte & 0xFU];
  }
  return text;
}

} // namespace cornelfront
