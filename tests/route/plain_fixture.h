/** Baseline tier: random replica, fixed timeout, one retry. */
#pragma once

#include "route/route_fixture.h"

#include <vector>

namespace camphorfield {

constexpr Duration kPlainTimeout = milliseconds(200);

/** Results of the baseline tier. */
struct PlainTier
{
  std::vector<Duration> times_; ///< Answer times of complete queries.
  std::uint32_t incomplete_ = 0;
  std::uint64_t attempts_ = 0;
};

/** Send a query to the servers directly, without the policies of routing.
 * @param aTier Receives the outcome; must outlive the events of the world.
 */
void
SendPlainQuery(RouteWorld& aWorld, PlainTier& aTier);

/** Quantile of the answer times of complete queries. */
Duration
PlainQuantile(const PlainTier& aTier, double aQuantile);

} // namespace camphorfield
