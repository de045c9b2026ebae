// SipHash-2-4 as its authors specify it. xxHash isn't used here: its seed isn't
// meant to be secret.
#include "core/keyed_hash.h"

#include <bit>

namespace camphorfield {

namespace {

struct SipState
{
  std::uint64_t v0_;
  std::uint64_t v1_;
  std::uint64_t v2_;
  std::uint64_t v3_;
};

void
Round(SipState& aState)
{
  aState.v0_ += aState.v1_;
  aState.v1_ = std::rotl(aState.v1_, 13) ^ aState.v0_;
  aState.v0_ = std::rotl(aState.v0_, 32);
  aState.v2_ += aState.v3_;
  aState.v3_ = std::rotl(aState.v3_, 16) ^ aState.v2_;
  aState.v0_ += aState.v3_;
  aState.v3_ = std::rotl(aState.v3_, 21) ^ aState.v0_;
  aState.v2_ += aState.v1_;
  aState.v1_ = std::rotl(aState.v1_, 17) ^ aState.v2_;
  aState.v2_ = std::rotl(aState.v2_, 32);
}

void
AddWord(SipState& aState, std::uint64_t aWord)
{
  aState.v3_ ^= aWord;
  Round(aState);
  Round(aState);
  aState.v0_ ^= aWord;
}

/** Up to eight bytes as a number, least significant first. */
std::uint64_t
ReadWord(std::string_view aBytes)
{
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    word |= static_cast<std::uint64_t>(static_cast<unsigned char>(aBytes[i]))
            << (8 * i);
  }
  return word;
}

} // namespace

std::uint64_t
HashKeyed(std::string_view aText, const HashKey& aKey)
{
  constexpr std::size_t kWordBytes = 8;
  SipState state{ aKey[0] ^ 0x736f6d6570736575ULL,
                  aKey[1] ^ 0x646f72616e646f6dULL,
                  aKey[0] ^ 0x6c7967656e657261ULL,
                  aKey[1] ^ 0x7465646279746573ULL };
  std::string_view rest = aText;
  for (; rest.size() >= kWordBytes; rest.remove_prefix(kWordBytes)) {
    AddWord(state, ReadWord(rest.substr(0, kWordBytes)));
  }
  AddWord(state,
          ReadWord(rest) | static_cast<std::uint64_t>(aText.size()) << 56U);
  state.v2_ ^= 0xffU;
  for (int i = 0; i < 4; ++i) {
    Round(state);
  }
  return state.v0_ ^ state.v1_ ^ state.v2_ ^ state.v3_;
}

} // namespace camphorfield
