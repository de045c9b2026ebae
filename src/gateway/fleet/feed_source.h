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
/** A source that lacks a configuration for so long after another daemon put it
 * in force is left. Gossip may be that much ahead of the feed. */
constexpr Duration kMaxSourceLag = std::chrono::milliseconds(700);
/** A daemon that no source has helped by then reads the store itself. */
constexpr Duration kConfigReadAfter = std::chrono::seconds(2);

/** What a daemon knows when it chooses whom to follow. */
struct FeedSourceView
{
  DaemonId self_;
  std::string failureDomain_;      ///< Of this daemon.
  TimePoint storeUnavailableAt_{}; ///< Latest report of it by a source.
  Generation newestVersion_; ///< Newest configuration known of any daemon.
  /** How long a newer configuration than the own has been known. */
  Duration configLag_{};
};

/** What a daemon knows when it decides whether to read a table itself. */
struct StoreReadView
{
  bool isWatcher_ = false;
  bool complete_ = false;    ///< The table has been read or received.
  bool mayReadFirst_ = true; ///< Its turn among starting daemons has come.
  bool awaitsFirst_ = false; ///< Started a moment ago; a feed may come.
  bool hasFeed_ = false;     ///< A feed arrives, or the store is down.
  Duration configLag_{};     ///< Zero for other tables.
};

/**
 * Whether a daemon may try to read the store in place of watchers that the
 * store doesn't answer.
 * @param aPlace See FallbackPlace.
 * @param aUnavailableFor Time since a source reported the store unavailable,
 * without a feed message meanwhile.
 */
bool
MayReplaceWatcher(std::size_t aPlace, Duration aUnavailableFor);

/** Whether the reading of a table is left to other daemons. */
bool
IsReadByOthers(const StoreReadView& aView);

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
