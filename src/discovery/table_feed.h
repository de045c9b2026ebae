/** Feed of table changes for daemons that do not watch the store themselves. */
#pragma once

#include "discovery/table_sync.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** Number of changes kept; a follower further behind gets whole tables. */
constexpr std::size_t kMaxFeedChanges = 2048;
/** Longest text of a message, before compression. */
constexpr std::size_t kMaxFeedBytes = 64UL << 20U;

/** Oldest tables that a daemon passes on or accepts. Each daemon on the way
 * from a watcher adds the time since it was told, so daemons that follow each
 * other in a circle don't take each other's old tables for fresh ones. */
constexpr Duration kMaxFeedAge = std::chrono::milliseconds(2500);

/** Change of one object of a table. */
struct FeedChange
{
  std::uint64_t number_ = 0;
  std::string kind_;
  StoreChange change_;
};

/** Numbered changes that one daemon sends to its followers. */
struct TableFeed
{
  std::uint64_t incarnation_ = 0; ///< Of the daemon; numbers restart with it.
  std::uint64_t newest_ = 0;
  std::deque<FeedChange> changes_;
  /** Newest state in the feed, by kind and name. */
  std::map<std::string,
           std::map<std::string, std::pair<StorePosition, ContentOrder>>>
    published_;
};

/** Content of a message of a feed. */
struct FeedMessage
{
  std::uint64_t incarnation_ = 0;
  std::uint64_t number_ = 0;      ///< Of the newest change included.
  std::uint64_t follows_ = 0;     ///< Newest change that it doesn't repeat.
  bool whole_ = false;            ///< Contains whole tables, not changes.
  bool storeUnavailable_ = false; ///< The sender can't reach the store.
  Duration age_{}; ///< Since a watcher knew the tables to be up to date.
  std::map<std::string, std::uint64_t> revisions_; ///< Of the tables, by kind.
  std::map<std::string, std::uint64_t> eras_; ///< Of the tables; none: zero.
  std::vector<FeedChange> changes_;           ///< If whole_: one per object.
  /** Evacuations that others stated to a sender that has not read their table.
   */
  std::optional<std::set<std::string>> statedEvacuations_;
};

/** Adds the changes of a table since the last call to the feed. */
void
CollectChanges(TableFeed& aFeed, const TableSync& aTable);

/** Whether a follower needs whole tables; parameters as of MakeFeedMessage. */
bool
NeedsWholeTables(const TableFeed& aFeed,
                 std::uint64_t aIncarnation,
                 std::uint64_t aNumber);

/**
 * Makes the message that brings a follower's tables up to date.
 * @param aIncarnation Incarnation of the feed that it has followed.
 * @param aNumber Newest change of that feed that it has.
 */
FeedMessage
MakeFeedMessage(const TableFeed& aFeed,
                const std::vector<const TableSync*>& aTables,
                std::uint64_t aIncarnation,
                std::uint64_t aNumber);

/** Position of the sender's table, or the lowest one if it has none. */
StorePosition
PositionOf(const FeedMessage& aMessage, const std::string& aKind);

/**
 * Whether a message should be applied to a table: the table isn't kept up to
 * date by the store, or the sender has a newer revision despite an open watch.
 */
bool
ShouldApplyFeed(const FeedMessage& aMessage, const TableSync& aTable);

/**
 * Applies a message to a table.
 * @return False when the table did not change.
 */
bool
ApplyFeed(const FeedMessage& aMessage, TableSync& aTable);

/**
 * Takes over only content that the restored store has lost.
 * @return False when the table did not change.
 */
bool
TakeLostContent(const FeedMessage& aMessage, TableSync& aTable);

/** Encodes a message as compressed JSON. */
std::string
EncodeFeed(const FeedMessage& aMessage);

/** @return InvalidArgument when the bytes are malformed or too long. */
absl::StatusOr<FeedMessage>
DecodeFeed(const std::string& aBytes);

} // namespace camphorfield
