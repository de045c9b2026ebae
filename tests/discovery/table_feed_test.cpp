// Tests of the table feed: gaps, restarts, silent watches and corrupt messages.
#include "discovery/table_feed.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

TableSync
MakeTable(const std::string& aKind)
{
  TableSync table;
  table.kind_ = aKind;
  table.complete_ = true;
  return table;
}

void
Put(TableSync& aTable, const std::string& aName, std::uint64_t aRevision)
{
  aTable.objects_[aName] =
    StoreObject{ aName, aRevision, "t" + std::to_string(aRevision) };
  aTable.revision_ = aRevision;
}

bool
AreSame(const TableSync& aLeft, const TableSync& aRight)
{
  if (aLeft.objects_.size() != aRight.objects_.size()) {
    return false;
  }
  for (const auto& [name, object] : aLeft.objects_) {
    const auto other = aRight.objects_.find(name);
    if (other == aRight.objects_.end() || other->second.text_ != object.text_) {
      return false;
    }
  }
  return true;
}

/** A feeding daemon and a follower. */
struct Pair
{
  TableSync source_ = MakeTable("servers");
  TableSync copy_ = MakeTable("servers");
  TableFeed feed_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t number_ = 0;

  /** Sends one encoded message to the follower; returns it. */
  FeedMessage Exchange()
  {
    CollectChanges(feed_, source_);
    const auto message = DecodeFeed(
      EncodeFeed(MakeFeedMessage(feed_, { &source_ }, incarnation_, number_)));
    CHECK_TRUE(message.ok());
    ApplyFeed(*message, copy_);
    incarnation_ = message->incarnation_;
    number_ = message->number_;
    return *message;
  }
};

} // namespace

TEST_GROUP(TableFeed){};

TEST(TableFeed, WholeOnceThenChangesOnly)
{
  Pair pair;
  pair.feed_.incarnation_ = 7;
  Put(pair.source_, "a", 1);
  Put(pair.source_, "b", 2);
  CHECK_TRUE(pair.Exchange().whole_);
  CHECK_TRUE(AreSame(pair.source_, pair.copy_));
  Put(pair.source_, "c", 3);
  pair.source_.objects_.erase("a");
  const FeedMessage changes = pair.Exchange();
  CHECK_FALSE(changes.whole_);
  LONGS_EQUAL(2, changes.changes_.size());
  CHECK_TRUE(AreSame(pair.source_, pair.copy_));
  LONGS_EQUAL(0, pair.Exchange().changes_.size());
}

TEST(TableFeed, NewIncarnationOrGapSendsTheWholeTable)
{
  Pair pair;
  pair.feed_.incarnation_ = 7;
  Put(pair.source_, "a", 1);
  pair.Exchange();
  pair.feed_ = TableFeed{};
  pair.feed_.incarnation_ = 8;
  Put(pair.source_, "b", 2);
  CHECK_TRUE(pair.Exchange().whole_);
  CHECK_TRUE(AreSame(pair.source_, pair.copy_));
  for (std::uint64_t i = 0; i < kMaxFeedChanges + 10; ++i) {
    Put(pair.source_, "c", 10 + i);
    CollectChanges(pair.feed_, pair.source_);
  }
  CHECK_TRUE(pair.Exchange().whole_);
  CHECK_TRUE(AreSame(pair.source_, pair.copy_));
}

// Entries of other writers may hold bytes that are no text.
TEST(TableFeed, OneUnreadableEntryHidesAllServers)
{
  Pair pair;
  pair.feed_.incarnation_ = 7;
  Put(pair.source_, "a", 1);
  Put(pair.source_, "x\xc3\x28", 2);
  pair.source_.objects_["x\xc3\x28"].text_ = "\"\xff\xfe\"";
  Put(pair.source_, "b", 3);
  CHECK_TRUE(pair.Exchange().whole_);
  CHECK_TRUE(AreSame(pair.source_, pair.copy_));
}

// During an outage of the store the sender must say so. Without messages all
// followers would call the store themselves.
TEST(TableFeed, TransmitsThatTheStoreIsUnavailable)
{
  for (const bool unavailable : { false, true }) {
    FeedMessage message;
    message.storeUnavailable_ = unavailable;
    const auto received = DecodeFeed(EncodeFeed(message));
    CHECK_TRUE(received.ok());
    CHECK_TRUE(received->storeUnavailable_ == unavailable);
  }
}

TEST(TableFeed, CorruptBytesAreRejected)
{
  TableSync table = MakeTable("servers");
  Put(table, "a", 1);
  TableFeed feed;
  CollectChanges(feed, table);
  const std::string good = EncodeFeed(MakeFeedMessage(feed, { &table }, 9, 0));
  CHECK_TRUE(DecodeFeed(good).ok());
  std::string length = good;
  length[3] = static_cast<char>(length[3] + 1);
  std::string huge = good;
  huge[0] = '\x7f';
  const std::vector<std::string> corrupt{
    "", good.substr(0, 3), good.substr(0, good.size() / 2), length, huge
  };
  for (const std::string& bytes : corrupt) {
    CHECK_FALSE(DecodeFeed(bytes).ok());
  }
}

// After any series of changes and messages both tables must be equal.
TEST(TableFeed, CopiesFollowAnySeriesOfChanges)
{
  std::mt19937_64 rng(3);
  Pair pair;
  pair.feed_.incarnation_ = 1;
  for (std::uint64_t i = 1; i < 3000; ++i) {
    const std::string name = "n" + std::to_string(rng() % 30);
    if (rng() % 3 == 0) {
      pair.source_.objects_.erase(name);
      pair.source_.revision_ = i;
    } else {
      Put(pair.source_, name, i);
    }
    if (rng() % 5 == 0) {
      pair.Exchange();
      CHECK_TRUE(AreSame(pair.source_, pair.copy_));
    }
  }
}

// A watch that the store never answers looks open until it times out.
TEST(TableFeed, AppliedWhenThePeerIsNewerThanAnOpenWatch)
{
  struct Case
  {
    const char* name_;
    bool watching_;
    std::uint32_t failures_;
    std::uint64_t peerRevision_; ///< The own revision is 10.
    bool applied_;
  };
  const std::vector<Case> cases{
    { "watch is up to date", true, 0, 10, false },
    { "watch is ahead", true, 0, 9, false },
    { "silent watch", true, 0, 11, true },
    { "store refuses", true, 2, 10, true },
    { "not read yet", false, 0, 10, true },
  };
  for (const Case& item : cases) {
    TableSync table = MakeTable("servers");
    table.watching_ = item.watching_;
    table.failures_ = item.failures_;
    table.revision_ = 10;
    FeedMessage message;
    message.revisions_["servers"] = item.peerRevision_;
    CHECK_TEXT(ShouldApplyFeed(message, table) == item.applied_, item.name_);
  }
}

TEST(TableFeed, MalformedMessagesAreRejected)
{
  const std::vector<const char*> cases{
    "",
    "[]",
    "{}",
    R"({"life":1,"number":-1})",
    R"({"life":1,"number":1,"whole":true,"revisions":{},"changes":[1]})",
    R"({"life":1,"number":1,"whole":1,"revisions":{},"changes":[]})",
  };
  for (const char* text : cases) {
    CHECK_FALSE_TEXT(DecodeFeed(text).ok(), text);
  }
}
