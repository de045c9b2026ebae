// Applies the feed of another daemon. Messages may be lost, repeated or come
// from a source that restarted or that this daemon has left.
#include "discovery/feed_follower.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Changes apply only on top of what came from the same incarnation. */
bool
IsAcceptable(const FollowedFeed& aFeed,
             DaemonId aFrom,
             const FeedMessage& aMessage)
{
  return aFrom == aFeed.source_ && aMessage.age_ <= kMaxFeedAge &&
         (aMessage.whole_ || aMessage.incarnation_ == aFeed.incarnation_);
}

} // namespace

void
FollowFeed(FollowedFeed& aFeed, DaemonId aSource)
{
  if (aSource == aFeed.source_) {
    return;
  }
  aFeed.source_ = aSource;
  aFeed.incarnation_ = 0;
  aFeed.position_ = 0;
  aFeed.needsWhole_ = false;
  aFeed.kinds_.clear();
}

FeedEffect
TakeFeedMessage(FollowedFeed& aFeed,
                DaemonId aFrom,
                const FeedMessage& aMessage,
                const std::vector<TableSync*>& aTables,
                TimePoint aNow)
{
  FeedEffect effect;
  if (!IsAcceptable(aFeed, aFrom, aMessage)) {
    return effect;
  }
  // The position and the tables' revisions stand for everything before them,
  // so nothing is taken from a message that leaves a gap.
  effect.missed_ = !aMessage.whole_ && aMessage.follows_ > aFeed.position_;
  if (effect.missed_) {
    return effect;
  }
  effect.taken_ = true;
  aFeed.position_ = aMessage.incarnation_ == aFeed.incarnation_
                      ? std::max(aFeed.position_, aMessage.number_)
                      : aMessage.number_;
  aFeed.incarnation_ = aMessage.incarnation_;
  aFeed.receivedAt_ = aNow;
  aFeed.age_ = aMessage.age_;
  aFeed.kinds_.clear();
  for (const auto& [kind, revision] : aMessage.revisions_) {
    aFeed.kinds_.insert(kind);
  }
  // Changes don't complete a table that the source had not read before.
  const bool lacksTable =
    std::any_of(aTables.begin(), aTables.end(), [&](const TableSync* aTable) {
      return !aTable->complete_ && aFeed.kinds_.count(aTable->kind_) > 0;
    });
  if (!aMessage.whole_) {
    aFeed.needsWhole_ = aFeed.needsWhole_ || lacksTable;
  } else {
    aFeed.needsWhole_ =
      std::any_of(aTables.begin(), aTables.end(), [&](const TableSync* aTable) {
        return aFeed.kinds_.count(aTable->kind_) > 0 &&
               PositionOf(*aTable) > PositionOf(aMessage, aTable->kind_);
      });
  }
  for (std::size_t i = 0; i < aTables.size(); ++i) {
    TableSync& table = *aTables[i];
    if (!ShouldApplyFeed(aMessage, table)) {
      continue;
    }
    const StorePosition sent = PositionOf(aMessage, table.kind_);
    const bool fresh = IsTableFresh(table);
    const bool behind = sent > PositionOf(table);
    if (fresh && behind) {
      effect.stalled_.push_back(i);
    }
    if (sent.era_ > table.era_) {
      BeginEra(table, sent.era_, aNow);
      aFeed.needsWhole_ = aFeed.needsWhole_ || !aMessage.whole_;
    }
    if (fresh && !behind ? TakeLostContent(aMessage, table)
                         : ApplyFeed(aMessage, table)) {
      effect.changed_.push_back(i);
    }
  }
  return effect;
}

} // namespace camphorfield
