/**
 * Order tokens: keys that name their issuer and carry a MAC with a secret of
 * its incarnation. A daemon that restarted without memory never runs an old
 * token.
 */
#include "order/order_internal.h"

#include <array>
#include <cstdio>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace camphorfield {

namespace {

constexpr std::size_t kMacBytes = 8;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aNumber));
  return { text.data(), text.size() - 1 };
}

std::string
ComputeMac(const std::string& aSecret, std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       &length);
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kMacBytes; ++i) {
    number = (number << 8U) | digest[i];
  }
  return ToHex(number);
}

} // namespace

std::string
IssueToken(const OrderState& aState, const Now& aNow, Rng& aRng)
{
  const OrderSettings& settings = aState.settings_;
  std::string text = "cft1." + ToHex(settings.self_.value_) + '.' +
                     ToHex(settings.incarnation_.value_) + '.' +
                     std::to_string(aNow.unixMicros_ / kMicrosPerMilli) + '.' +
                     ToHex(aRng());
  return text + '.' + ComputeMac(aState.secret_, text);
}

bool
VerifyToken(const OrderState& aState, std::string_view aKey)
{
  const std::size_t dot = aKey.rfind('.');
  const std::string mac = ComputeMac(aState.secret_, aKey.substr(0, dot));
  const std::string_view stated = aKey.substr(dot + 1);
  return stated.size() == mac.size() &&
         CRYPTO_memcmp(stated.data(), mac.data(), mac.size()) == 0;
}

} // namespace camphorfield
