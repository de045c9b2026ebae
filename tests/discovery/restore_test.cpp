// A store that comes back from an older copy gives its revisions out again.
// What is written after that must come into force, and nothing that is known
// may go back to an older state.
#include "discovery/store_fixture.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
