// Copies of the store's tables must not differ from it for good, whatever
// messages are lost and whichever daemons are followed.
#include "discovery/feed_follower.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kConfig = 0;
constexpr std::size_t kServers = 1;
constexpr std::array kKinds{ "config", "servers" };

/** Tables of the store or of one daemon. */
struct Tables
{
  Tables()
  {
    for (std::size_t i = 0; i < kKinds.size(); ++i) {
      tables_[i].kind_ = kKinds[i];
    }
  }
  std::vector<TableSync*> Pointers() { return { &tables_[0], &tables_[1] }; }
  bool operator==(const Tables& aOther) const
  {
    for (std::size_t i = 0; i < kKinds.size(); ++i) {
      const auto& own = tables_[i].objects_;
      const auto& other = aOther.tables_[i].objects_;
      if (!std::equal(own.begin(),
                      own.end(),
                      other.begin(),
                      other.end(),
                      [](const auto& aLeft, const auto& aRight) {
                        return aLeft.first == aRight.first &&
                               aLeft.second.revision_ ==
                                 aRight.second.revision_;
                      })) {
        return false;
      }
    }
    return true;
  }
  std::array<TableSync, kKinds.size()> tables_;
};

/** The store; its revision rises with each change of any table. */
struct Store : Tables
{
  void Put(std::size_t aTable, const std::string& aName)
  {
    tables_[aTable].objects_[aName] = { aName, ++revision_, "{}" };
  }
  void Remove(std::size_t aTable, const std::string& aName)
  {
    revision_ += tables_[aTable].objects_.erase(aName);
  }
  std::uint64_t revision_ = 10;
};

/** A daemon that reads the store and passes changes on. */
struct Source : Tables
{
  explicit Source(std::uint64_t aId)
    : id_{ aId }
  {
    feed_.incarnation_ = 100 + aId;
  }
  void Read(const Store& aStore)
  {
    for (std::size_t i = 0; i < kKinds.size(); ++i) {
      tables_[i].objects_ = aStore.tables_[i].objects_;
      tables_[i].revision_ = aStore.revision_;
      tables_[i].complete_ = true;
      CollectChanges(feed_, tables_[i]);
    }
  }
  FeedMessage Answer(const FollowedFeed& aFollower)
  {
    sent_ = feed_.newest_;
    return MakeFeedMessage(feed_,
                           { &tables_[0], &tables_[1] },
                           aFollower.incarnation_,
                           aFollower.position_);
  }
  /** The message that a change causes; the source takes it for delivered. */
  FeedMessage Push()
  {
    FeedMessage message = MakeFeedMessage(
      feed_, { &tables_[0], &tables_[1] }, feed_.incarnation_, sent_);
    sent_ = feed_.newest_;
    return message;
  }
  DaemonId id_;
  TableFeed feed_;
  std::uint64_t sent_ = 0; ///< To the follower.
};

/** A daemon that follows one source at a time. */
struct Follower : Tables
{
  Follower()
  {
    for (TableSync& table : tables_) {
      table.passive_ = true;
    }
  }
  FeedEffect Take(const Source& aFrom, const FeedMessage& aMessage)
  {
    now_ += milliseconds(1);
    const auto message = DecodeFeed(EncodeFeed(aMessage));
    CHECK_TRUE(message.ok());
    return TakeFeedMessage(followed_, aFrom.id_, *message, Pointers(), now_);
  }
  /** Asks a source; follows it from then on. */
  void Request(Source& aFrom)
  {
    FollowFeed(followed_, aFrom.id_);
    Take(aFrom, aFrom.Answer(followed_));
  }
  TimePoint now_{ seconds(100) };
  FollowedFeed followed_;
};

/** Changes between the message that is lost and the next renewal. */
struct LossCase
{
  const char* name_;
  std::size_t lostTable_;
  bool lostRemoval_;
  std::size_t nextTable_;
  bool newSource_; ///< Another daemon is followed after that.
};

} // namespace

TEST_GROUP(FeedFollower){};

// The next message must not stand for the one that was lost.
TEST(FeedFollower, ConfigStaysOldAfterALostFeedMessage)
{
  const std::vector<LossCase> cases{
    { "config, then a server", kConfig, false, kServers, false },
    { "config, then another source", kConfig, false, kServers, true },
    { "new server, then config", kServers, false, kConfig, false },
    { "new server, then another source", kServers, false, kServers, true },
    { "server left, then a server", kServers, true, kServers, false },
    { "server left, then another source", kServers, true, kConfig, true },
  };
  for (const LossCase& item : cases) {
    Store store;
    store.Put(kConfig, "main");
    store.Put(kServers, "a");
    Source first(1);
    Source second(2);
    Follower follower;
    first.Read(store);
    follower.Request(first);
    if (item.lostRemoval_) {
      store.Remove(item.lostTable_, "a");
    } else {
      store.Put(item.lostTable_, item.lostTable_ == kConfig ? "main" : "b");
    }
    first.Read(store);
    first.Push(); // Lost.
    store.Put(item.nextTable_, item.nextTable_ == kConfig ? "main" : "c");
    first.Read(store);
    follower.Take(first, first.Push());
    second.Read(store);
    follower.Request(item.newSource_ ? second : first);
    CHECK_TEXT(follower == store, item.name_);
  }
}

// An entry that a source keeps for a while after an outage of the store is in
// its tables although the revision is past the entry's removal.
TEST(FeedFollower, ServerThatLeftStaysInUseAfterAChangeOfSource)
{
  for (const std::uint64_t revision : { 18, 20, 22 }) {
    Store store;
    store.Put(kConfig, "main");
    store.Put(kServers, "a");
    Source first(1);
    Source second(2);
    Follower follower;
    first.Read(store);
    first.tables_[kServers].objects_["left"] = { "left", 5, "{}" };
    second.Read(store);
    first.tables_[kServers].revision_ = 20;
    second.tables_[kServers].revision_ = revision;
    CollectChanges(first.feed_, first.tables_[kServers]);
    follower.Request(first);
    follower.Request(second);
    CHECK_TEXT(follower == store, std::to_string(revision).c_str());
  }
}

// A copy that is behind must not undo what is known already.
TEST(FeedFollower, OlderTablesOfAnotherSourceUndoNothing)
{
  Store store;
  store.Put(kConfig, "main");
  store.Put(kServers, "a");
  store.Put(kServers, "b");
  Source behind(1);
  Source ahead(2);
  behind.Read(store);
  store.Put(kConfig, "main");
  store.Remove(kServers, "a");
  store.Put(kServers, "c");
  ahead.Read(store);
  Follower follower;
  follower.Request(ahead);
  follower.Request(behind);
  CHECK_TRUE(follower == store);
  // Its change that lags removes what has been registered again since.
  store.Put(kServers, "a");
  ahead.Read(store);
  follower.Request(ahead);
  follower.Request(behind);
  behind.tables_[kServers].objects_.erase("a");
  ++behind.tables_[kServers].revision_;
  CollectChanges(behind.feed_, behind.tables_[kServers]);
  follower.Take(behind, behind.Push());
  CHECK_TRUE(follower == store);
}

// Renewals are frequent, so the copy may differ only while they are lost.
TEST(FeedFollower, CopiesDifferForGoodAfterLostMessages)
{
  constexpr int kSteps = 4000;
  std::mt19937_64 rng(11);
  Store store;
  std::vector<Source> sources{ Source(1), Source(2), Source(3) };
  Follower follower;
  std::size_t current = 0;
  for (int step = 0; step < kSteps; ++step) {
    const std::string name = "s" + std::to_string(rng() % 12);
    if (rng() % 3 == 0) {
      store.Remove(kServers, name);
    } else {
      store.Put(rng() % 6 == 0 ? kConfig : kServers, name);
    }
    // Sources learn of changes at different times.
    for (Source& source : sources) {
      if (rng() % 3 != 0) {
        source.Read(store);
      }
    }
    if (rng() % 20 == 0) {
      sources[rng() % sources.size()].feed_.incarnation_ = rng();
    }
    if (rng() % 10 == 0) {
      current = rng() % sources.size();
    }
    const bool lost = rng() % 3 == 0;
    const bool renew = rng() % 4 == 0;
    const FeedMessage message = sources[current].Push();
    if (!lost) {
      follower.Take(sources[current], message);
    }
    if (renew && rng() % 3 != 0) {
      follower.Request(sources[current]);
    }
    if (step % 50 == 49) {
      sources[current].Read(store);
      follower.Request(sources[current]);
      follower.Request(sources[current]);
      CHECK_TEXT(follower == store, std::to_string(step).c_str());
    }
  }
}
