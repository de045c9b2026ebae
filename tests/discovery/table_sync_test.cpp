// Tests of table synchronization: series of changes, outages and lost replies.
#include "discovery/table_feed.h"
#include "discovery/table_sync.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StoreReply
ListReply(const std::vector<std::string>& aNames,
          std::uint64_t aRevision,
          bool aMore = false)
{
  StoreReply reply;
  for (const std::string& name : aNames) {
    reply.items_.push_back({ name, aRevision, "{}" });
  }
  reply.more_ = aMore;
  reply.revision_ = aRevision;
  return reply;
}

StoreReply
ChangeReply(const std::string& aName, bool aRemoved, std::uint64_t aRevision)
{
  StoreReply reply;
  reply.op_ = StoreOp::Watch;
  reply.changes_.push_back({ { aName, aRevision, "{}" }, aRemoved });
  reply.revision_ = aRevision;
  return reply;
}

StoreReply
FailedReply(StoreStatus aStatus)
{
  StoreReply reply;
  reply.status_ = aStatus;
  return reply;
}

/** A table on a simulated clock. */
struct Bench
{
  TableSync table_;
  TimePoint now_{ seconds(100) };
  Rng rng_{ 7 };

  TableChange Take(StoreReply aReply)
  {
    return TakeStoreReply(table_, std::move(aReply), now_, rng_);
  }
  bool Has(const std::string& aName) const
  {
    return table_.objects_.count(aName) > 0;
  }
  /** Advances the clock to the next call and returns it. */
  StoreCall NextCall()
  {
    now_ = std::max(now_, table_.nextCallAt_);
    return *NextStoreCall(table_, now_);
  }
};

} // namespace

TEST_GROUP(TableSync){};

// All servers of a fleet may register or leave within seconds; one call for
// each would overload the store.
TEST(TableSync, SeriesOfChangesNeedsFewCalls)
{
  constexpr int kChanges = 200;
  constexpr Duration kBetween = std::chrono::milliseconds(10);
  TableSync table;
  table.kind_ = "servers";
  table.complete_ = true;
  table.watching_ = true;
  Rng rng(1);
  int calls = 0;
  std::uint64_t pending = 0;
  TimePoint now{ std::chrono::seconds(10) };
  for (int i = 0; i < kChanges; ++i, now += kBetween) {
    ++pending;
    if (!NextStoreCall(table, now)) {
      continue;
    }
    ++calls;
    StoreReply reply;
    reply.op_ = StoreOp::Watch;
    for (; pending > 0; --pending) {
      ++reply.revision_;
      reply.changes_.push_back(
        { { "i-" + std::to_string(i) + "-" + std::to_string(pending),
            table.revision_ + reply.revision_,
            "{}" },
          false });
    }
    reply.revision_ += table.revision_;
    TakeStoreReply(table, std::move(reply), now, rng);
  }
  CHECK_TRUE(calls <= kChanges * kBetween / kWatchGap + 1);
  CHECK_TRUE(table.objects_.size() + pending == kChanges);
}

TEST(TableSync, WatchStartsAtTheRevisionOfTheFirstPage)
{
  Bench bench;
  LONGS_EQUAL(StoreOp::List, bench.NextCall().op_);
  bench.Take(ListReply({ "a", "b" }, 10, true));
  STRCMP_EQUAL("b", bench.NextCall().after_.c_str());
  CHECK_FALSE(bench.table_.complete_);
  bench.Take(ListReply({ "c" }, 14));
  CHECK_TRUE(bench.table_.complete_);
  LONGS_EQUAL(3, bench.table_.objects_.size());
  const StoreCall watch = bench.NextCall();
  LONGS_EQUAL(StoreOp::Watch, watch.op_);
  // The watch must return changes made between the pages.
  LONGS_EQUAL(10, watch.revision_);
}

TEST(TableSync, FollowsChanges)
{
  Bench bench;
  bench.Take(ListReply({ "a" }, 10));
  CHECK_TRUE(bench.Take(ChangeReply("b", false, 11)).changed_);
  CHECK_TRUE(bench.Has("b"));
  bench.Take(ChangeReply("a", true, 12));
  CHECK_FALSE(bench.Has("a"));
  LONGS_EQUAL(12, bench.NextCall().revision_);
  // A watch that ended without changes.
  StoreReply nothing;
  nothing.op_ = StoreOp::Watch;
  nothing.revision_ = 12;
  CHECK_FALSE(bench.Take(std::move(nothing)).changed_);
}

TEST(TableSync, OlderRevisionsNeverReplaceNewerOnes)
{
  Bench bench;
  bench.Take(ListReply({ "a" }, 20));
  bench.Take(FailedReply(StoreStatus::HistoryGone));
  LONGS_EQUAL(StoreOp::List, bench.NextCall().op_);
  bench.Take(ListReply({ "a" }, 15));
  LONGS_EQUAL(20, bench.table_.objects_.at("a").revision_);
  LONGS_EQUAL(20, bench.NextCall().revision_);
}

TEST(TableSync, FailuresBackOffAndRestartTheRead)
{
  struct Case
  {
    const char* name_;
    StoreStatus status_;
    StoreOp next_; ///< Call after the failure of a watch.
    bool waits_;
  };
  const std::vector<Case> cases{
    { "refused", StoreStatus::Refused, StoreOp::Watch, true },
    { "lost", StoreStatus::Lost, StoreOp::List, true },
    { "history gone", StoreStatus::HistoryGone, StoreOp::List, false },
  };
  for (const Case& item : cases) {
    Bench bench;
    bench.Take(ListReply({ "a" }, 10));
    bench.Take(FailedReply(item.status_));
    CHECK_TEXT(NextStoreCall(bench.table_, bench.now_).has_value() !=
                 item.waits_,
               item.name_);
    LONGS_EQUAL_TEXT(item.next_, bench.NextCall().op_, item.name_);
    for (int i = 0; i < 20; ++i) {
      bench.Take(FailedReply(StoreStatus::Refused));
      CHECK_TEXT(bench.table_.nextCallAt_ - bench.now_ <= kStoreBackoffCeiling,
                 item.name_);
    }
    CHECK_TEXT(bench.table_.nextCallAt_ - bench.now_ >=
                 kStoreBackoffCeiling / 2,
               item.name_);
    CHECK_TEXT(bench.Has("a"), item.name_);
  }
}

// Entries that expired during an outage are rewritten within two seconds after
// it. Until then they stay in use; the others are removed afterwards.
TEST(TableSync, LapsedEntriesStayUntilTheGraceEnds)
{
  Bench bench;
  bench.Take(ListReply({ "back", "gone" }, 10));
  bench.Take(FailedReply(StoreStatus::Lost));
  bench.now_ += seconds(8);
  CHECK_FALSE(DropLapsed(bench.table_, bench.now_).changed_);
  CHECK_TRUE(bench.Take(ListReply({}, 20)).regained_);
  CHECK_TRUE(bench.Has("back"));
  CHECK_TRUE(bench.Has("gone"));
  bench.now_ += milliseconds(1900);
  bench.Take(ChangeReply("back", false, 21));
  DropLapsed(bench.table_, bench.now_);
  CHECK_TRUE(bench.Has("gone"));
  bench.now_ += milliseconds(400);
  CHECK_TRUE(DropLapsed(bench.table_, bench.now_).changed_);
  CHECK_TRUE(bench.Has("back"));
  CHECK_FALSE(bench.Has("gone"));
  // Without an outage a removal takes effect at once.
  bench.now_ += seconds(5);
  bench.Take(ChangeReply("back", true, 22));
  CHECK_FALSE(bench.Has("back"));
}

// A table is restarted while a watch is in flight: the reply to the watch must
// not be taken for an empty page.
TEST(TableSync, RepliesToAbandonedWatchesAreIgnored)
{
  Bench bench;
  bench.Take(ListReply({ "a" }, 10));
  RestartTable(bench.table_, bench.now_);
  CHECK_FALSE(bench.Take(ChangeReply("a", true, 11)).changed_);
  CHECK_TRUE(bench.Has("a"));
  LONGS_EQUAL(StoreOp::List, bench.NextCall().op_);
}

TEST(TableSync, PassiveTablesMakeNoCalls)
{
  Bench bench;
  bench.Take(ListReply({ "a" }, 10));
  CHECK_TRUE(IsTableFresh(bench.table_));
  bench.table_.passive_ = true;
  CHECK_FALSE(NextStoreCall(bench.table_, bench.now_).has_value());
  CHECK_FALSE(IsTableFresh(bench.table_));
}

TEST(TableSync, ImportsOnlyNewerTablesFromPeers)
{
  Bench bench;
  CHECK_TRUE(ImportTable(bench.table_, { { "b", 3, "{}" } }, { 0, 30 }));
  CHECK_TRUE(bench.Has("b"));
  CHECK_TRUE(bench.table_.complete_);
  // The own read is still required.
  LONGS_EQUAL(StoreOp::List, bench.NextCall().op_);
  // Copies from before the object was written, and the same copy again.
  CHECK_FALSE(ImportTable(bench.table_, {}, { 0, 2 }));
  CHECK_FALSE(ImportTable(bench.table_, { { "b", 2, "old" } }, { 0, 29 }));
  CHECK_FALSE(ImportTable(bench.table_, { { "b", 3, "{}" } }, { 0, 30 }));
  CHECK_TRUE(bench.Has("b"));
  STRCMP_EQUAL("{}", bench.table_.objects_["b"].text_.c_str());
  // What an older copy still has is not brought back.
  CHECK_FALSE(ImportTable(
    bench.table_, { { "a", 1, "{}" }, { "b", 3, "{}" } }, { 0, 29 }));
  CHECK_FALSE(bench.Has("a"));
  // A copy that lacks an object of its time shows that it has left.
  CHECK_TRUE(ImportTable(bench.table_, {}, { 0, 30 }));
  CHECK_FALSE(bench.Has("b"));
  LONGS_EQUAL(30, bench.table_.revision_);
}

// A feed may bring newer tables while pages are read. The watch then begins at
// the newer revision, so nothing corrects what the older page got wrong.
TEST(TableSync, ServersMissingOrBackAfterAFeedDuringARead)
{
  struct Case
  {
    const char* name_;
    bool removed_; ///< The feed removes "b"; otherwise it adds "c".
    bool more_;    ///< The feed arrives between two pages.
  };
  const std::vector<Case> cases{
    { "server added before the only page", false, false },
    { "server removed before the only page", true, false },
    { "server added between pages", false, true },
    { "server removed between pages", true, true },
  };
  for (const Case& item : cases) {
    Bench bench;
    bench.table_.kind_ = "servers";
    bench.Take(ListReply({ "a", "b" }, 10));
    bench.Take(FailedReply(StoreStatus::HistoryGone));
    CHECK_TRUE(bench.NextCall().op_ == StoreOp::List);
    FeedMessage message;
    message.revisions_["servers"] = 12;
    message.changes_.push_back(
      item.removed_ ? FeedChange{ 1, "servers", { { "b", 12, "" }, true } }
                    : FeedChange{ 1, "servers", { { "c", 12, "{}" }, false } });
    if (item.more_) {
      bench.Take(ListReply({ "a" }, 10, true));
    }
    ApplyFeed(message, bench.table_);
    bench.Take(ListReply(item.more_ ? std::vector<std::string>{ "b" }
                                    : std::vector<std::string>{ "a", "b" },
                         10));
    bench.now_ += seconds(10);
    DropLapsed(bench.table_, bench.now_);
    CHECK_TRUE_TEXT(bench.Has("a"), item.name_);
    CHECK_TRUE_TEXT(bench.Has("b") != item.removed_, item.name_);
    CHECK_TRUE_TEXT(bench.Has("c") != item.removed_, item.name_);
    LONGS_EQUAL_TEXT(12, bench.NextCall().revision_, item.name_);
  }
}

// An entry that is written again must not be removed when the grace of its
// earlier removal ends, whoever brings the news.
TEST(TableSync, ServerThatIsBackVanishesWhenTheGraceEnds)
{
  struct Case
  {
    const char* name_;
    bool whole_;   ///< A peer sends whole tables, not changes.
    bool removed_; ///< It has seen the entry removed before.
  };
  const std::vector<Case> cases{
    { "change of a feed", false, false },
    { "removal and change of a feed", false, true },
    { "whole tables", true, false },
  };
  for (const Case& item : cases) {
    Bench bench;
    bench.table_.kind_ = "servers";
    bench.Take(ListReply({ "a", "b" }, 10));
    bench.Take(FailedReply(StoreStatus::Lost));
    bench.now_ += seconds(8);
    bench.Take(ListReply({ "a" }, 20));
    CHECK_TRUE_TEXT(bench.Has("b"), item.name_);
    bench.table_.passive_ = true;
    FeedMessage message;
    message.whole_ = item.whole_;
    message.revisions_["servers"] = 23;
    if (item.whole_) {
      message.changes_.push_back(
        { 0, "servers", { { "a", 20, "{}" }, false } });
    }
    if (item.removed_) {
      message.changes_.push_back({ 1, "servers", { { "b", 21, "" }, true } });
    }
    message.changes_.push_back({ 2, "servers", { { "b", 22, "{}" }, false } });
    ApplyFeed(message, bench.table_);
    bench.now_ += seconds(3);
    DropLapsed(bench.table_, bench.now_);
    CHECK_TRUE_TEXT(bench.Has("b"), item.name_);
  }
}

// A watch that the store refused goes on from an older revision than a feed has
// brought meanwhile, and the next one begins at the newer revision.
TEST(TableSync, ServerThatIsBackIsHiddenByAnOlderRemoval)
{
  Bench bench;
  bench.table_.kind_ = "servers";
  bench.Take(ListReply({ "a" }, 10));
  bench.Take(FailedReply(StoreStatus::Refused));
  LONGS_EQUAL(StoreOp::Watch, bench.NextCall().op_);
  FeedMessage message;
  message.revisions_["servers"] = 15;
  message.changes_.push_back({ 1, "servers", { { "a", 14, "{}" }, false } });
  ApplyFeed(message, bench.table_);
  bench.Take(ChangeReply("a", true, 12));
  bench.now_ += seconds(3);
  DropLapsed(bench.table_, bench.now_);
  CHECK_TRUE(bench.Has("a"));
  LONGS_EQUAL(15, bench.NextCall().revision_);
  // A removal of what is known takes effect.
  bench.Take(ChangeReply("a", true, 16));
  CHECK_FALSE(bench.Has("a"));
}

// A daemon that takes the place of a watcher has the tables from its feed. A
// complete read of 700 entries took 20 calls of each such daemon.
TEST(TableSync, AResumedTableContinuesByAWatch)
{
  Bench bench;
  bench.Take(ListReply({ "a", "b" }, 7));
  bench.table_.passive_ = true;
  bench.table_.watching_ = false;
  ResumeTable(bench.table_, bench.now_);
  const auto call = NextStoreCall(bench.table_, bench.now_);
  CHECK_TRUE(call && call->op_ == StoreOp::Watch);
  LONGS_EQUAL(7, call->revision_);
  CHECK_TRUE(call->wait_ < kWatchWait);
  // Nothing has shown yet that the store answers.
  CHECK_FALSE(IsTableFresh(bench.table_));
  bench.Take(ChangeReply("b", true, 9));
  CHECK_TRUE(IsTableFresh(bench.table_));
  CHECK_TRUE(bench.Has("a"));
  CHECK_TRUE(NextStoreCall(bench.table_, bench.now_ + seconds(1))->wait_ ==
             kWatchWait);
}

// Without the history since its position, or without a complete table, a
// resumed table must be read whole.
TEST(TableSync, AResumedTableWithoutHistoryIsReadWhole)
{
  for (const bool complete : { true, false }) {
    Bench bench;
    if (complete) {
      bench.Take(ListReply({ "a" }, 7));
    }
    bench.table_.watching_ = false;
    ResumeTable(bench.table_, bench.now_);
    if (complete) {
      bench.Take(FailedReply(StoreStatus::HistoryGone));
    }
    const auto call = NextStoreCall(bench.table_, bench.now_);
    CHECK_TRUE(call && call->op_ == StoreOp::List);
  }
}
