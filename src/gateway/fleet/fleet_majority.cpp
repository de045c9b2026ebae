// Partitions, in which the smaller side must not use what the larger one uses,
// too, and fleets that are made smaller for good, which must not stay without.
#include "gateway/fleet/fleet_majority.h"

namespace camphorfield {

namespace {

/** A fleet that has been smaller for as long is taken as it is; partitions are
 * over before. */
constexpr Duration kSizeTtl = std::chrono::minutes(10);

/** When half of the fleet is killed at once, the others go on granting while it
 * restarts. In a partition no other daemon takes over sooner than 3 s after the
 * members are suspected, and 1.5 s more pass until it grants. */
constexpr Duration kMajorityGrace = std::chrono::seconds(2);

/** Growth that counts. The last members of a large fleet become known one by
 * one over seconds and change little in what is chosen by the view. */
constexpr double kMinGrowth = 1.05;

} // namespace

bool
HasGrown(std::size_t& aGrownTo, std::size_t aMembers)
{
  if (static_cast<double>(aMembers) <=
      kMinGrowth * static_cast<double>(aGrownTo)) {
    return false;
  }
  aGrownTo = aMembers;
  return true;
}

bool
SeesMajority(FleetSize& aSize, std::size_t aAlive, TimePoint aNow)
{
  if (aAlive >= aSize.largest_ || aNow > aSize.reachedAt_ + kSizeTtl) {
    aSize.largest_ = aAlive;
    aSize.reachedAt_ = aNow;
  }
  return aAlive * 2 > aSize.largest_;
}

bool
MayGoOnGranting(FleetSize& aSize, std::size_t aAlive, TimePoint aNow)
{
  if (SeesMajority(aSize, aAlive, aNow)) {
    aSize.majorityAt_ = aNow;
    return true;
  }
  return aSize.majorityAt_ != TimePoint{} &&
         aNow < aSize.majorityAt_ + kMajorityGrace;
}

} // namespace camphorfield
