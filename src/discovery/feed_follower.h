/** Following another daemon's feed of table changes. */
#pragma once

#include "core/id_type.h"
#include "discovery/table_feed.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** What a daemon has received of the feed that it follows. */
struct FollowedFeed
{
  DaemonId source_;               ///< Daemon that is followed; 0: none.
  std::uint64_t incarnation_ = 0; ///< Of the source; 0: nothing received yet.
  std::uint64_t position_ = 0;    ///< Newest change received.
  TimePoint receivedAt_{};        ///< Time of the latest message.
  Duration age_{};                ///< Age of the tables in that message.
  /** Whole tables are needed once more: these were ahead of the source's, or a
   * new era has begun. Changes may lack removals of what a source never had. */
  bool needsWhole_ = false;
  std::set<std::string> kinds_; ///< Of the tables in the latest message.
};

/** Effect of a message on the tables, by their index. */
struct FeedEffect
{
  bool taken_ = false;  ///< False: it was ignored.
  bool missed_ = false; ///< Ignored, because changes before it were lost.
  std::vector<std::size_t> changed_; ///< Tables with other objects than before.
  /** Tables whose open watch of the store missed what the message contains. */
  std::vector<std::size_t> stalled_;
};

/** Starts to follow a daemon, unless it is followed already. */
void
FollowFeed(FollowedFeed& aFeed, DaemonId aSource);

/** Applies a message of a feed to the tables. */
FeedEffect
TakeFeedMessage(FollowedFeed& aFeed,
                DaemonId aFrom,
                const FeedMessage& aMessage,
                const std::vector<TableSync*>& aTables,
                TimePoint aNow);

} // namespace camphorfield
