// SHA-256 digests, which identify configuration content and detect content that
// was damaged in the store or on the way.
#include "core/digest_func.h"

#include <array>
#include <openssl/sha.h>

namespace camphorfield {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kNibbleBits = 4;
constexpr unsigned kNibbleMask = 0xF;

} // namespace

std::string
DigestText(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    text += kHexDigits[byte >> kNibbleBits];
    text += kHexDigits[byte & kNibbleMask];
  }
  return text;
}

std::string
FormatHex(std::uint64_t aNumber)
{
  std::string text;
  for (unsigned shift = 64; shift > 0; shift -= kNibbleBits) {
    text += kHexDigits[(aNumber >> (shift - kNibbleBits)) & kNibbleMask];
  }
  return text;
}

} // namespace camphorfield
