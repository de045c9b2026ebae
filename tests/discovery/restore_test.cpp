// A store that comes back from an older copy gives its revisions out again.
// What is written after that must come into force, and nothing that is known
// may go back to an older state.
#include "discovery/feed_follower.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The store: objects of one kind, history, and copies of both. */
class ModelStore
{
public:
  /** @param aOrder What the content says of its age. */
  void Put(const std::string& aName,
           const std::string& aText,
           std::uint64_t aOrder = 0)
  {
    StoreObject object{ aName, ++revision_, aText };
    object.order_ = { aOrder, 0 };
    objects_[aName] = object;
    history_.push_back({ object, false });
  }
  void Remove(const std::string& aName)
  {
    const auto found = objects_.find(aName);
    if (found == objects_.end()) {
      return;
    }
    found->second.revision_ = ++revision_;
    history_.push_back({ found->second, true });
    objects_.erase(found);
  }
  void Save() { copy_ = std::make_shared<ModelStore>(*this); }
  /** Comes back from the latest copy. */
  void Restore()
  {
    const std::uint64_t era = era_ + 1;
    const std::shared_ptr<ModelStore> copy = copy_;
    *this = *copy;
    copy_ = copy;
    era_ = era;
    // A watch from before the restore finds no history.
    history_.clear();
    oldest_ = revision_;
  }
  StoreReply Answer(const StoreCall& aCall) const
  {
    StoreReply reply;
    reply.op_ = aCall.op_;
    reply.era_ = era_;
    reply.revision_ = revision_;
    if (aCall.op_ == StoreOp::List) {
      for (const auto& [name, object] : objects_) {
        reply.items_.push_back(object);
      }
      return reply;
    }
    if (aCall.revision_ > revision_ || aCall.revision_ < oldest_) {
      reply.status_ = StoreStatus::HistoryGone;
      return reply;
    }
    for (const StoreChange& change : history_) {
      if (change.object_.revision_ > aCall.revision_) {
        reply.changes_.push_back(change);
      }
    }
    return reply;
  }
  const std::map<std::string, StoreObject>& Objects() const { return objects_; }
  std::uint64_t Era() const { return era_; }

private:
  std::map<std::string, StoreObject> objects_;
  std::vector<StoreChange> history_;
  std::uint64_t revision_ = 50;
  std::uint64_t oldest_ = 0;
  std::uint64_t era_ = 1;
  std::shared_ptr<ModelStore> copy_;
};

/** A daemon that reads the store and tells others. */
struct Reader
{
  explicit Reader(std::uint64_t aId = 1)
    : id_{ aId }
  {
    table_.kind_ = "servers";
    feed_.incarnation_ = aId;
  }

  DaemonId id_;
  TableFeed feed_;
  FollowedFeed followed_;
  TableSync table_;
  TimePoint now_{ seconds(100) };
  Rng rng_{ 7 };
  int calls_ = 0;

  /** Makes the calls that are due within some time; the store answers at once,
   * and a watch without changes waits. */
  void Run(const ModelStore& aStore, Duration aTime)
  {
    const TimePoint end = now_ + aTime;
    while (now_ < end) {
      const auto call = NextStoreCall(table_, now_);
      if (call) {
        ++calls_;
        StoreReply reply = aStore.Answer(*call);
        const bool waits = reply.op_ == StoreOp::Watch &&
                           reply.status_ == StoreStatus::Ok &&
                           reply.changes_.empty();
        now_ += milliseconds(5);
        if (waits) {
          now_ = std::min(now_ + kWatchWait, std::max(now_, end));
        }
        TakeStoreReply(table_, std::move(reply), now_, rng_);
      } else {
        now_ += milliseconds(5);
      }
      DropLapsed(table_, now_);
      CollectChanges(feed_, table_);
    }
  }
  /** Asks another daemon for its tables, as a follower does. */
  void Follow(const Reader& aSource)
  {
    FollowFeed(followed_, aSource.id_);
    const auto message = DecodeFeed(EncodeFeed(
      MakeFeedMessage(aSource.feed_,
                      { &aSource.table_ },
                      followed_.needsWhole_ ? 0 : followed_.incarnation_,
                      followed_.position_)));
    CHECK_TRUE(message.ok());
    const FeedEffect effect =
      TakeFeedMessage(followed_, aSource.id_, *message, { &table_ }, now_);
    if (!effect.stalled_.empty()) {
      RestartTable(table_, now_);
    }
    CollectChanges(feed_, table_);
  }
  bool Uses(const std::string& aName) const
  {
    return table_.objects_.count(aName) > 0 && IsInUse(table_, aName);
  }
  std::string Text(const std::string& aName) const
  {
    const auto found = table_.objects_.find(aName);
    return found == table_.objects_.end() ? "" : found->second.text_;
  }
};

} // namespace

TEST_GROUP(Restore){};

TEST(Restore, ChangeAfterARestoreIsNeverTaken)
{
  ModelStore store;
  Reader reader;
  store.Put("main", "v1");
  store.Save();
  for (int i = 2; i < 10; ++i) {
    store.Put("main", "v" + std::to_string(i));
  }
  reader.Run(store, seconds(1));
  STRCMP_EQUAL("v9", reader.Text("main").c_str());
  store.Restore();
  reader.Run(store, seconds(4));
  store.Put("main", "v10");
  reader.Run(store, seconds(4));
  STRCMP_EQUAL("v10", reader.Text("main").c_str());
}

TEST(Restore, StoreIsReadWithoutAPauseAfterARestore)
{
  ModelStore store;
  Reader reader;
  store.Put("main", "v1");
  store.Save();
  store.Put("main", "v2");
  reader.Run(store, seconds(1));
  store.Restore();
  reader.calls_ = 0;
  reader.Run(store, seconds(10));
  // A watch, a read and the watches of ten seconds.
  CHECK_TRUE(reader.calls_ <= 2 + seconds(10) / kWatchWait + 1);
}

// The operator's change is lost until it is written again.
TEST(Restore, OlderVersionReplacesANewerOne)
{
  ModelStore store;
  Reader reader(1);
  store.Put("main", "v8", 8);
  store.Save();
  store.Put("main", "v12", 12);
  reader.Run(store, seconds(1));
  store.Restore();
  reader.Run(store, seconds(2));
  STRCMP_EQUAL("v12", reader.Text("main").c_str());
  // Daemons that start now, with and without the store in reach.
  Reader follower(2);
  follower.table_.passive_ = true;
  follower.Follow(reader);
  STRCMP_EQUAL("v12", follower.Text("main").c_str());
  Reader watcher(3);
  watcher.Run(store, seconds(2));
  STRCMP_EQUAL("v8", watcher.Text("main").c_str());
  watcher.Follow(reader);
  STRCMP_EQUAL("v12", watcher.Text("main").c_str());
  // The operator writes its versions again, and a next one.
  for (const std::uint64_t version : { 10, 12, 14 }) {
    store.Put("main", "v" + std::to_string(version), version);
    for (Reader* one : { &reader, &watcher }) {
      one->Run(store, seconds(4));
      STRCMP_EQUAL(version < 12 ? "v12"
                                : store.Objects().at("main").text_.c_str(),
                   one->Text("main").c_str());
    }
    follower.Follow(reader);
    STRCMP_EQUAL(reader.Text("main").c_str(), follower.Text("main").c_str());
  }
}

// Its server has ended, or leaves, although the restored store lists it.
TEST(Restore, RemovedServerIsUsedAgain)
{
  for (const bool alive : { false, true }) {
    for (const bool feed : { false, true }) {
      ModelStore store;
      Reader source(1);
      Reader reader(2);
      const auto update = [&](Duration aTime) {
        if (!feed) {
          reader.Run(store, aTime);
          return;
        }
        reader.table_.passive_ = true;
        reader.Run(store, aTime);
        source.Run(store, seconds(1));
        reader.Follow(source);
      };
      store.Put("a", "a1", 1);
      store.Put("b", "b1", 1);
      store.Save();
      update(seconds(1));
      store.Remove("a");
      update(seconds(4));
      CHECK_FALSE(reader.Uses("a"));
      store.Restore();
      update(seconds(4));
      CHECK_FALSE(reader.Uses("a"));
      CHECK_TRUE(reader.Uses("b"));
      if (alive) {
        store.Put("a", "a2", 2);
      } else {
        store.Remove("a");
      }
      update(seconds(4));
      CHECK_TRUE(reader.Uses("a") == alive);
    }
  }
}

// A removed entry that the restored store keeps has a server after all.
TEST(Restore, ServerThatTheStoreKeepsIsNeverUsed)
{
  ModelStore store;
  Reader reader;
  store.Put("a", "a1", 1);
  store.Save();
  reader.Run(store, seconds(1));
  store.Remove("a");
  reader.Run(store, seconds(4));
  store.Restore();
  reader.Run(store, seconds(10));
  CHECK_TRUE(reader.Uses("a"));
}

// An entry that was written after the copy is written again by its server.
TEST(Restore, ServerThatTheStoreLostIsDroppedAtOnce)
{
  for (const bool alive : { true, false }) {
    for (const int restores : { 1, 2 }) {
      ModelStore store;
      Reader reader;
      store.Put("a", "a1", 1);
      store.Save();
      store.Put("b", "b1", 1);
      reader.Run(store, seconds(1));
      for (int i = 0; i < restores; ++i) {
        store.Restore();
        for (int step = 0; step < 18; ++step) {
          reader.Run(store, milliseconds(100));
          CHECK_TRUE(reader.Uses("b"));
        }
      }
      if (alive) {
        store.Put("b", "b2", 2);
      }
      reader.Run(store, seconds(5));
      CHECK_TRUE(reader.Uses("b") == alive);
    }
  }
}

// What was sent before a restore may arrive after it.
TEST(Restore, ReplyFromBeforeTheRestoreIsTaken)
{
  ModelStore store;
  Reader reader;
  store.Put("main", "v1", 1);
  store.Save();
  store.Put("main", "v2", 2);
  reader.Run(store, seconds(1));
  const StoreReply before =
    store.Answer(*NextStoreCall(reader.table_, reader.table_.nextCallAt_));
  store.Restore();
  reader.Run(store, seconds(1));
  store.Put("main", "v3", 3);
  reader.Run(store, seconds(4));
  const StorePosition position = PositionOf(reader.table_);
  TakeStoreReply(reader.table_, StoreReply(before), reader.now_, reader.rng_);
  CHECK_TRUE(PositionOf(reader.table_) == position);
  STRCMP_EQUAL("v3", reader.Text("main").c_str());
}

// Whatever daemons learn of changes and restores, and from whom, they end up
// with what the store holds, and with nothing older than they had.
TEST(Restore, CopiesDifferForGoodAfterRestores)
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5, 6, 7, 8 }) {
    std::mt19937_64 rng(seed);
    ModelStore store;
    store.Save();
    std::vector<Reader> readers{ Reader(1), Reader(2), Reader(3) };
    Reader follower(4);
    follower.table_.passive_ = true;
    std::uint64_t order = 0;
    for (int round = 0; round < 60; ++round) {
      for (int step = 0; step < 12; ++step) {
        const std::string name = "s" + std::to_string(rng() % 8);
        switch (rng() % 8) {
          case 0:
            store.Save();
            break;
          case 1:
            store.Restore();
            break;
          case 2:
          case 3:
            store.Remove(name);
            break;
          default:
            ++order;
            store.Put(name, std::to_string(order), order);
            break;
        }
        // Some reach the store, and some only another daemon.
        for (Reader& reader : readers) {
          if (rng() % 2 == 0) {
            reader.Run(store, milliseconds(rng() % 400));
          } else if (rng() % 3 == 0) {
            const Reader& source = readers[rng() % readers.size()];
            if (&source != &reader) {
              reader.Follow(source);
            }
          }
        }
        if (rng() % 2 == 0) {
          follower.Follow(readers[rng() % readers.size()]);
        }
      }
      for (Reader& reader : readers) {
        reader.Run(store, seconds(14));
      }
      follower.now_ = readers[0].now_;
      follower.Follow(readers[0]);
      follower.now_ += seconds(8);
      DropLapsed(follower.table_, follower.now_);
      follower.Follow(readers[0]);
      const std::vector<const Reader*> all{
        &readers[0], &readers[1], &readers[2], &follower
      };
      for (const Reader* reader : all) {
        const std::string text = "seed " + std::to_string(seed) + ", round " +
                                 std::to_string(round) + ", daemon " +
                                 std::to_string(reader->id_.value_);
        LONGS_EQUAL_TEXT(
          store.Objects().size(), reader->table_.objects_.size(), text.c_str());
        for (const auto& [name, object] : store.Objects()) {
          CHECK_TEXT(reader->Uses(name), text.c_str());
          const StoreObject& copy = reader->table_.objects_.at(name);
          CHECK_TEXT(copy.text_ == object.text_ ||
                       (copy.ahead_ && copy.order_ > object.order_),
                     text.c_str());
        }
      }
    }
  }
}
