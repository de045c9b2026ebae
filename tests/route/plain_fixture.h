/** Plain tier for comparison: random replica, fixed timeout, one retry. */
#pragma once

#include "route/route_fixture.h"

#include <vector>

namespace camphorfield {

constexpr Duration kPlainTimeout = milliseconds(200);

/** Times of the queries that a plain tier answered. */
struct PlainTier
{
  std::vector<Duration> times_; ///< Of queries with all shards.
  std::uint32_t incomplete_ = 0;
  std::uint64_t attempts_ = 0;
};

/**
 * Send a query to the world's servers without any of the daemon's policy.
 * @param aTier Receives the outcome; outlives the world's events.
 */
void
SendPlainQuery(RouteWorld& aWorld, PlainTier& aTier);

/** Quantile of the times of complete queries. */
Duration
PlainQuantile(const PlainTier& aTier, double aQuantile);

} // namespace camphorfield
