/** Choice of the daemon whose feed of table changes is followed. */
#pragma once

#include "core/rng_type.h"
#include "discovery/feed_follower.h"
#include "machine/peer_type.h"

#include <string>
#include <vector>

namespace camphorfield {

/** Without a feed message for this time, a follower tries other sources. */
constexpr Duration kFeedTimeout = std::chrono::milliseconds(1300);

/** What a daemon knows when it chooses whom to follow. */
struct FeedSourceView
{
  DaemonId self_;
  std::string failureDomain_;      ///< Of this daemon.
  TimePoint storeUnavailableAt_{}; ///< A source reported the store down.
};

/**
 * Chooses the daemon to follow next, which may be the present one.
 * @param aMembers All members but the dead, including this daemon.
 * @return Null when there is none.
 */
const MemberRecord*
ChooseFeedSource(const FollowedFeed& aFeed,
                 const FeedSourceView& aView,
                 const std::vector<MemberRecord>& aMembers,
                 TimePoint aNow,
                 Rng& aRng);

} // namespace camphorfield
