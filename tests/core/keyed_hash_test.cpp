// The keyed hash is SipHash-2-4: a mistake in it would make keys guessable
// without any other test failing.
#include "core/keyed_hash.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

TEST_GROUP(KeyedHash){};

TEST(KeyedHash, PublishedVectors)
{
  struct Case
  {
    std::size_t bytes_; ///< Text 00 01 02 ...
    std::uint64_t hash_;
  };
  // Of the key 00 01 ... 0f, from the paper and its reference implementation.
  const HashKey key{ 0x0706050403020100ULL, 0x0f0e0d0c0b0a0908ULL };
  const std::vector<Case> cases{
    { 0, 0x726fdb47dd0e0e31ULL },
    { 1, 0x74f839c593dc67fdULL },
    { 15, 0xa129ca6149be45e5ULL },
  };
  for (const Case& item : cases) {
    std::string text;
    for (std::size_t i = 0; i < item.bytes_; ++i) {
      text += static_cast<char>(i);
    }
    CHECK_TRUE(HashKeyed(text, key) == item.hash_);
  }
}
