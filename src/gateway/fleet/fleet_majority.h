/** Growth of the fleet, and whether this daemon is on the larger side of a
 * partition. */
#pragma once

#include "core/time_type.h"

#include <cstddef>

namespace camphorfield {

/** Recent size of the fleet. */
struct FleetSize
{
  std::size_t largest_ = 0;
  TimePoint reachedAt_{};  ///< Latest time with as many members.
  TimePoint majorityAt_{}; ///< Latest time with a majority; zero: never.
};

/**
 * Whether a view of the fleet has grown by a part that counts.
 * @param aGrownTo Its size when it last had; updated.
 */
bool
HasGrown(std::size_t& aGrownTo, std::size_t aMembers);

/** Whether the live members are more than half of the recent fleet. */
bool
SeesMajority(FleetSize& aSize, std::size_t aAlive, TimePoint aNow);

/**
 * Whether this daemon may go on granting what one daemon grants for all: it
 * sees the majority, or did so until a moment ago.
 */
bool
MayGoOnGranting(FleetSize& aSize, std::size_t aAlive, TimePoint aNow);

} // namespace camphorfield
