// Servers may send an answer twice, the second copy where the next answer on
// the connection is expected. A request id names an answer only on a connection
// that carries it once.
#include "gateway/backend/carried_ids.h"

namespace camphorfield {

namespace {

constexpr unsigned kProbes = 4;
/** Bits of the hash that a probe takes: the filter has 2^12 bits. */
constexpr unsigned kProbeBits = 12;
constexpr std::uint64_t kProbeMask = (1U << kProbeBits) - 1;
constexpr unsigned kWordBits = 64;

/** Calls the function with the word and the bit of each probe. */
template<typename Function>
void
ForEachProbe(std::uint64_t aHash, const Function& aFunction)
{
  for (unsigned i = 0; i < kProbes; ++i) {
    const std::uint64_t place = (aHash >> (i * kProbeBits)) & kProbeMask;
    aFunction(place / kWordBits, std::uint64_t{ 1 } << (place % kWordBits));
  }
}

} // namespace

void
AddCarriedId(CarriedIds& aIds, std::uint64_t aHash)
{
  if (aHash == 0) {
    return;
  }
  ++aIds.count_;
  ForEachProbe(aHash, [&aIds](std::uint64_t aWord, std::uint64_t aBit) {
    aIds.bits_.at(aWord) |= aBit;
  });
}

bool
MayHaveCarried(const CarriedIds& aIds, std::uint64_t aHash)
{
  if (aHash == 0) {
    return false;
  }
  bool all = true;
  ForEachProbe(aHash, [&](std::uint64_t aWord, std::uint64_t aBit) {
    all = all && (aIds.bits_.at(aWord) & aBit) != 0;
  });
  return all;
}

} // namespace camphorfield
