/** Routes and counts that several tests of the gateway use. */
#pragma once

#include "gateway/replay_fixture.h"

#include <cstddef>
#include <vector>

namespace camphorfield {

/** Route "plain" under /plain/ to service shard0, with an objective of 400 ms
 * and two attempts. */
GatewayRoute
MakePlainRoute(RequestKind aKind, Duration aTimeout);

/** Cuts the index anew: the shards of a route, renamed, on two servers each. */
void
Reshard(Replay& aReplay, GatewayRoute aRoute);

/** Most of the times, in ascending order, that are in one window of the given
 * length which begins at or after aFrom and is cut off at aTo. */
std::size_t
CountLargestWindow(const std::vector<TimePoint>& aTimes,
                   Duration aWindow,
                   TimePoint aFrom = TimePoint::min(),
                   TimePoint aTo = kNever);

} // namespace camphorfield
