/** Request ids that a connection has carried. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

/** Ids after which a connection is replaced. Opening one costs a server 6 ms
 * of a slot, which is little for so many requests, and up to here fewer than 3
 * in 100 new ids are mistaken for carried ones. */
constexpr std::uint32_t kMaxCarriedIds = 512;

/** Bloom filter of hashes of request ids: never forgets one, and may take a new
 * one for a carried one. */
struct CarriedIds
{
  std::array<std::uint64_t, 64> bits_{};
  std::uint32_t count_ = 0;
};

/** @param aHash Hash of a request id; zero, for no id, is not recorded. */
void
AddCarriedId(CarriedIds& aIds, std::uint64_t aHash);

/** Whether an id may have been carried; never for zero. */
bool
MayHaveCarried(const CarriedIds& aIds, std::uint64_t aHash);

} // namespace camphorfield
