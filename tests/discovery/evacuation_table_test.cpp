// The table of evacuations in feeds and over restores. Guards against daemons
// that take an unknown table for an empty one.
#include "discovery/feed_follower.h"
#include "discovery/stale_evacuations.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr const char* kKind = "evacuations";
const TimePoint kStart{ std::chrono::seconds(100) };

TableSync
MakeTable(const std::string& aKind, const std::vector<std::string>& aNames)
{
  TableSync table;
  table.kind_ = aKind;
  table.complete_ = true;
  table.era_ = 1;
  table.revision_ = 5;
  for (const std::string& name : aNames) {
    StoreObject object{ name, 3, "{}" };
    object.era_ = 1;
    table.objects_[name] = object;
  }
  return table;
}

FeedMessage
Pass(const FeedMessage& aMessage)
{
  const auto message = DecodeFeed(EncodeFeed(aMessage));
  CHECK_TRUE(message.ok());
  return *message;
}

StoreReply
MakeList(std::uint64_t aEra, const std::vector<std::string>& aNames)
{
  StoreReply reply;
  reply.era_ = aEra;
  reply.revision_ = 4;
  for (const std::string& name : aNames) {
    reply.items_.push_back(StoreObject{ name, 2, "{}" });
  }
  return reply;
}

/** What a source has of the table, and the follower gets of it. */
struct SourceCase
{
  const char* name_;
  bool hasTable_;
  bool complete_;
  bool known_; ///< The follower knows the evacuations then.
};

/** What a restored store's copy has of an evacuation. */
struct RestoreCase
{
  const char* name_;
  bool removedBefore_; ///< It had ended before the restore.
  bool inCopy_;
  bool holds_; ///< After the grace of lapsed objects.
};

} // namespace

TEST_GROUP(EvacuationTable){};

TEST(EvacuationTable, ASourceWithoutTheTableEndsEvacuations)
{
  const std::vector<SourceCase> cases{
    { "complete", true, true, true },
    { "not read yet", true, false, false },
    { "other settings", false, false, false },
  };
  for (const SourceCase& item : cases) {
    TableSync servers = MakeTable("servers", { "s" });
    TableSync evacuations = MakeTable(kKind, { "zone" });
    evacuations.complete_ = item.complete_;
    if (!item.complete_) {
      evacuations.objects_.clear();
      evacuations.revision_ = 0;
    }
    std::vector<const TableSync*> sent{ &servers };
    if (item.hasTable_) {
      sent.push_back(&evacuations);
    }
    TableFeed feed;
    feed.incarnation_ = 7;
    const FeedMessage message = Pass(MakeFeedMessage(feed, sent, 0, 0));
    TableSync ownServers = MakeTable("servers", {});
    ownServers.revision_ = 1;
    TableSync own;
    own.kind_ = kKind;
    FollowedFeed followed;
    FollowFeed(followed, DaemonId{ 9 });
    TakeFeedMessage(
      followed, DaemonId{ 9 }, message, { &ownServers, &own }, kStart);
    LONGS_EQUAL_TEXT(item.known_, own.complete_, item.name_);
    LONGS_EQUAL_TEXT(item.known_ ? 1 : 0, own.objects_.size(), item.name_);
    LONGS_EQUAL_TEXT(
      item.known_ ? 1 : 0, followed.kinds_.count(kKind), item.name_);
    // A follower that has read the table itself keeps it, and does not request
    // whole tables again and again.
    TableSync read = MakeTable(kKind, { "zone" });
    TakeFeedMessage(
      followed, DaemonId{ 9 }, message, { &ownServers, &read }, kStart);
    LONGS_EQUAL_TEXT(1, read.objects_.count("zone"), item.name_);
    CHECK_FALSE_TEXT(followed.needsWhole_, item.name_);
  }
}

TEST(EvacuationTable, EvacuationsAreUnknownToADaemonThatStartsInAnOutage)
{
  const TableSync evacuations = MakeTable(kKind, { "a", "b" });
  TableSync unread = MakeTable(kKind, {});
  unread.complete_ = false;
  FeedMessage message;
  message.storeUnavailable_ = true;
  AddEvacuations(message, kKind, { &evacuations });
  const auto known = FindEvacuations(Pass(message), kKind);
  CHECK_TRUE(known.has_value());
  LONGS_EQUAL(2, known->size());
  FeedMessage nothing;
  nothing.storeUnavailable_ = true;
  AddEvacuations(nothing, kKind, { &unread });
  AddEvacuations(nothing, "", { &evacuations });
  CHECK_FALSE(FindEvacuations(Pass(nothing), kKind).has_value());
  CHECK_FALSE(FindEvacuations(Pass(message), "").has_value());
}

TEST(EvacuationTable, ARestoredStoreDecides)
{
  const std::vector<RestoreCase> cases{
    { "in the copy", false, true, true },
    { "lost by the store", false, false, false },
    { "ended, in the copy again", true, true, true },
    { "ended", true, false, false },
  };
  for (const RestoreCase& item : cases) {
    Rng rng(1);
    TableSync table;
    table.kind_ = kKind;
    TakeStoreReply(table, MakeList(1, { "zone" }), kStart, rng);
    if (item.removedBefore_) {
      EraseObject(table, "zone");
    }
    const TimePoint restored = kStart + std::chrono::seconds(1);
    TakeStoreReply(table,
                   MakeList(2,
                            item.inCopy_ ? std::vector<std::string>{ "zone" }
                                         : std::vector<std::string>{}),
                   restored,
                   rng);
    DropLapsed(table, restored + kLapseGrace);
    LONGS_EQUAL_TEXT(item.holds_, table.objects_.count("zone"), item.name_);
  }
}
