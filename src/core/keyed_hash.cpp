// xxHash isn't used here: its seed isn't meant to be secret.
#include "core/keyed_hash.h"

#include <memory>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdexcept>

namespace camphorfield {

namespace {

constexpr std::size_t kWordBytes = 8;
constexpr unsigned kBitsPerByte = 8;

using Context = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;
using Bytes = std::array<unsigned char, 2 * kWordBytes>;

/** Words as bytes, least significant first, as SipHash defines its key. */
Bytes
ToBytes(const HashKey& aKey)
{
  Bytes bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes.at(i) = static_cast<unsigned char>(aKey.at(i / kWordBytes) >>
                                             (kBitsPerByte * (i % kWordBytes)));
  }
  return bytes;
}

} // namespace

std::uint64_t
HashKeyed(std::string_view aText, const HashKey& aKey)
{
  static EVP_MAC* const kSipHash = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
  const Context context(EVP_MAC_CTX_new(kSipHash), EVP_MAC_CTX_free);
  std::size_t size = kWordBytes;
  const OSSL_PARAM parameters[] = {
    OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
    OSSL_PARAM_construct_end(),
  };
  const Bytes key = ToBytes(aKey);
  std::array<unsigned char, kWordBytes> out{};
  if (context == nullptr ||
      EVP_MAC_init(context.get(), key.data(), key.size(), parameters) != 1 ||
      EVP_MAC_update(context.get(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size()) != 1 ||
      EVP_MAC_final(context.get(), out.data(), &size, out.size()) != 1) {
    // A hash that doesn't depend on the text would admit every key.
    throw std::runtime_error("SipHash is not available");
  }
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < out.size(); ++i) {
    hash |= static_cast<std::uint64_t>(out.at(i)) << (kBitsPerByte * i);
  }
  return hash;
}

} // namespace camphorfield
