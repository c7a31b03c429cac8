#include "cornelfront/codec.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

TEST(Codec, Base64RoundTripsEveryLength)
{
  std::string bytes;
  for (int length = 0; length < 300; ++length) {
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes) << length;
    bytes += static_cast<char>(length * 7);
  }
}

TEST(Codec, RejectsInvalidBase64)
{
  for (const char* text :
       { "A", "AAA", "A===", "====", "AA=A", "AA!A", " AAA", "AAA\n" }) {
    EXPECT_FALSE(DecodeBase64(text)) << text;
  }
}

TEST(Codec, DigestOfKnownText)
{
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223"
            "b00361a396177a9cb410ff61f20015ad");
}

} // namespace
} // namespace cornelfront
