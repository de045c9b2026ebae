/**
 * Parsing and digests of idempotency keys. Keys carry a time, so that an
 * expired key is never mistaken for a new one.
 */
#include "core/hash_func.h"
#include "order/order_internal.h"

#include <array>
#include <charconv>
#include <openssl/sha.h>
#include <optional>

namespace camphorfield {

namespace {

constexpr std::size_t kMaxKeyLength = 200;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kMillisDigits = 13;
constexpr std::size_t kTokenParts = 6;
constexpr std::size_t kHexDigits = 16;
constexpr std::string_view kTokenPrefix = "cft1.";

template<typename Number>
std::optional<Number>
ReadNumber(std::string_view aText, int aBase)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number, aBase);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string_view>
SplitParts(std::string_view aText)
{
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t dot = aText.find('.');
    parts.push_back(aText.substr(0, dot));
    if (dot == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(dot + 1);
  }
}

ParsedKey
ParseToken(std::string_view aKey)
{
  const ParsedKey malformed{ .kind_ = KeyKind::Malformed };
  const std::vector<std::string_view> parts = SplitParts(aKey);
  if (parts.size() != kTokenParts || parts[1].size() != kHexDigits ||
      parts[2].size() != kHexDigits) {
    return malformed;
  }
  const auto issuer = ReadNumber<std::uint64_t>(parts[1], 16);
  const auto incarnation = ReadNumber<std::uint64_t>(parts[2], 16);
  const auto millis = ReadNumber<std::int64_t>(parts[3], 10);
  if (!issuer || !incarnation || !millis || *millis < 0) {
    return malformed;
  }
  return { .kind_ = KeyKind::Token,
           .unixMs_ = *millis,
           .issuer_ = { *issuer },
           .incarnation_ = { *incarnation } };
}

std::optional<std::int64_t>
ReadUuidTime(std::string_view aKey)
{
  if (aKey.size() != kUuidLength || aKey[8] != '-' || aKey[13] != '-' ||
      aKey[18] != '-' || aKey[23] != '-' || aKey[14] != '7') {
    return std::nullopt;
  }
  const std::string digits =
    std::string(aKey.substr(0, 8)) + std::string(aKey.substr(9, 4));
  return ReadNumber<std::int64_t>(digits, 16);
}

std::optional<std::int64_t>
ReadPlainTime(std::string_view aKey)
{
  if (aKey.size() <= kMillisDigits + 1 || aKey[kMillisDigits] != '-') {
    return std::nullopt;
  }
  return ReadNumber<std::int64_t>(aKey.substr(0, kMillisDigits), 10);
}

std::uint64_t
ReadBigEndian(const unsigned char* aBytes)
{
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < sizeof(number); ++i) {
    number = (number << 8U) | aBytes[i];
  }
  return number;
}

} // namespace

ParsedKey
ParseKey(std::string_view aKey)
{
  if (aKey.empty()) {
    return {};
  }
  if (aKey.size() > kMaxKeyLength) {
    return { .kind_ = KeyKind::Malformed };
  }
  if (aKey.starts_with(kTokenPrefix)) {
    return ParseToken(aKey);
  }
  // A time is required: without one, an expired key would look like a new one
  // and its order would run again.
  std::optional<std::int64_t> millis = ReadUuidTime(aKey);
  if (!millis) {
    millis = ReadPlainTime(aKey);
  }
  if (!millis || *millis < 0) {
    return { .kind_ = KeyKind::Malformed };
  }
  return { .kind_ = KeyKind::Plain, .unixMs_ = *millis };
}

KeyDigest
DigestKey(std::string_view aCaller, std::string_view aKey)
{
  // A collision would answer one order with the outcome of another, so a
  // collision-resistant hash is needed, not a fast one.
  std::string text = std::to_string(aCaller.size()) + ':';
  text.append(aCaller).append(aKey);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         digest.data());
  return { ReadBigEndian(digest.data()), ReadBigEndian(digest.data() + 8) };
}

Fingerprint
DigestContent(std::string_view aRoute, std::string_view aBody)
{
  return { HashPair(HashText(aRoute), HashText(aBody)) };
}

std::uint32_t
RangeOfKey(const KeyDigest& aKey, std::uint32_t aRanges)
{
  return static_cast<std::uint32_t>(aKey.high_ % aRanges);
}

} // namespace camphorfield
