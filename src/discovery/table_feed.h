/** Changes of tables, told to daemons that don't ask the store themselves. */
#pragma once

#include "discovery/table_sync.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace camphorfield {

/** Changes kept; a daemon that is further behind gets whole tables. */
constexpr std::size_t kMaxFeedChanges = 2048;
/** Longest text of a message before it is compressed. */
constexpr std::size_t kMaxFeedBytes = 64UL << 20U;

/** Change of one object of one kind. */
struct FeedChange
{
  std::uint64_t number_ = 0;
  std::string kind_;
  StoreChange change_;
};

/** What one daemon tells others of its tables. */
struct TableFeed
{
  std::uint64_t life_ = 0; ///< Numbers are of this life of the daemon.
  std::uint64_t newest_ = 0;
  std::deque<FeedChange> changes_;
  /** What has been told: revision by kind and name. */
  std::map<std::string, std::map<std::string, std::uint64_t>> published_;
};

/** Content of a message of a feed. */
struct FeedMessage
{
  std::uint64_t life_ = 0;
  std::uint64_t number_ = 0; ///< Of the newest change in it.
  bool whole_ = false;       ///< Tables are whole; else changes of them.
  bool storeUnavailable_ =
    false; ///< The store doesn't answer the sender, either.
  std::map<std::string, std::uint64_t> revisions_; ///< Of the store, by kind.
  std::vector<FeedChange> changes_; ///< Whole: one for each object.
};

/** Notes what has changed in a table since it was last noted. */
void
CollectChanges(TableFeed& aFeed, const TableSync& aTable);

/** Whether a follower needs whole tables; see MakeFeedMessage. */
bool
NeedsWholeTables(const TableFeed& aFeed,
                 std::uint64_t aLife,
                 std::uint64_t aNumber);

/**
 * What a daemon needs to have the tables as they are here.
 * @param aLife Feed that it followed so far.
 * @param aNumber Newest change that it has of it.
 */
FeedMessage
MakeFeedMessage(const TableFeed& aFeed,
                const std::vector<const TableSync*>& aTables,
                std::uint64_t aLife,
                std::uint64_t aNumber);

/**
 * Whether a message should be put into a table: the store doesn't keep the
 * table up to date, or has told the sender more, though a watch is open.
 */
bool
ShouldApplyFeed(const FeedMessage& aMessage, const TableSync& aTable);

/**
 * Puts a message's content into a table.
 * @return False when nothing differs.
 */
bool
ApplyFeed(const FeedMessage& aMessage, TableSync& aTable);

/** A message as compressed text. */
std::string
EncodeFeed(const FeedMessage& aMessage);

/** @return InvalidArgument when the bytes are malformed or too long. */
absl::StatusOr<FeedMessage>
DecodeFeed(const std::string& aBytes);

} // namespace camphorfield
