/** Organisations of callers, found by the key that a request carries. */
#pragma once

#include "core/keyed_hash.h"
#include "gateway/gateway_type.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace camphorfield {

/** Secrets of one process; differ for each start. */
using KeySeed = std::array<HashKey, 2>;

/** Stands for a key; the key can't be told from it. */
struct KeyDigest
{
  std::uint64_t first_ = 0;
  std::uint64_t second_ = 0;
};

/** Index of a request that belongs to no organisation. */
constexpr std::uint32_t kNoOrganisation = ~std::uint32_t{ 0 };

/** The keys of one configuration. */
struct OrganisationTable
{
  struct Entry
  {
    std::uint64_t second_ = 0; ///< Of the key's digest.
    std::uint32_t index_ = 0;  ///< Of its organisation.
  };

  bool configured_ = false;                        ///< Requests need keys.
  std::unordered_map<std::uint64_t, Entry> byKey_; ///< By first_ of the digest.
};

/** Digest of a key; empty keys have none that is ever found. */
KeyDigest
DigestKey(std::string_view aKey, const KeySeed& aSeed);

OrganisationTable
MakeOrganisationTable(const GatewayConfig& aConfig, const KeySeed& aSeed);

/** Index of the organisation that holds a key, or kNoOrganisation. */
std::uint32_t
FindOrganisation(const OrganisationTable& aTable, const KeyDigest& aDigest);

} // namespace camphorfield
