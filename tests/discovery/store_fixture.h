/** The store and daemons that copy one kind of its objects, without a network.
 */
#pragma once

#include "discovery/feed_follower.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorfield {

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
    const bool refuses = refuses_;
    const std::shared_ptr<ModelStore> copy = copy_;
    *this = *copy;
    copy_ = copy;
    era_ = era;
    refuses_ = refuses;
    // A watch from before the restore finds no history.
    history_.clear();
    oldest_ = revision_;
  }
  /** Refuses all calls, or answers them again. */
  void Refuse(bool aRefuses) { refuses_ = aRefuses; }
  StoreReply Answer(const StoreCall& aCall) const
  {
    StoreReply reply;
    reply.op_ = aCall.op_;
    if (refuses_) {
      reply.status_ = StoreStatus::Refused;
      return reply;
    }
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
  bool refuses_ = false;
  std::shared_ptr<ModelStore> copy_;
};

/** A daemon that reads the store and tells others. */
struct Reader
{
  explicit Reader(std::uint64_t aId = 1, const std::string& aKind = "servers")
    : id_{ aId }
  {
    table_.kind_ = aKind;
    feed_.incarnation_ = aId;
  }

  DaemonId id_;
  TableFeed feed_;
  FollowedFeed followed_;
  TableSync table_;
  TimePoint now_{ std::chrono::seconds(100) };
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
        now_ += std::chrono::milliseconds(5);
        if (waits) {
          now_ = std::min(now_ + kWatchWait, std::max(now_, end));
        }
        TakeStoreReply(table_, std::move(reply), now_, rng_);
      } else {
        now_ += std::chrono::milliseconds(5);
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

} // namespace camphorfield
