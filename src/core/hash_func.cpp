// Hashes with xxHash. Daemons must compute the same value for the same input
// to agree on rendezvous hashing; std::hash does not guarantee that.
#include "core/hash_func.h"

#include <array>
#include <xxhash.h>

namespace camphorfield {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  // Zero is reserved: it marks an unset identifier.
  const std::uint64_t hash =
    XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
  return hash == 0 ? 1 : hash;
}

std::uint64_t
HashPair(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> words{ aFirst, aSecond };
  const std::uint64_t hash = XXH3_64bits(words.data(), sizeof(words));
  return hash == 0 ? 1 : hash;
}

} // namespace camphorfield
