// Partitions, in which the smaller side must not use what the larger one uses,
// too, and fleets that are made smaller for good, which must not stay without.
#include "gateway/fleet_majority.h"

namespace camphorfield {

namespace {

/** A fleet that has been smaller for as long is taken as it is; partitions are
 * over before. */
constexpr Duration kSizeTtl = std::chrono::minutes(10);

} // namespace

bool
SeesMajority(FleetSize& aSize, std::size_t aAlive, TimePoint aNow)
{
  if (aAlive >= aSize.largest_ || aNow > aSize.reachedAt_ + kSizeTtl) {
    aSize.largest_ = aAlive;
    aSize.reachedAt_ = aNow;
  }
  return aAlive * 2 > aSize.largest_;
}

} // namespace camphorfield
