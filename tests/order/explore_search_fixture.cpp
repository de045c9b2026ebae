/** Depth-first search over all steps that are possible in a world. */
#include "core/hash_func.h"
#include "order/explore_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

using Successors = std::vector<ExploredWorld>;

void
ServerFaults(const ExploredWorld& aWorld, std::size_t aItem, Successors& aOut)
{
  if (aWorld.budget_.serverFaults_ == 0) {
    return;
  }
  for (std::size_t i = 1; i < std::size(kServerCases); ++i) {
    ExploredWorld next = aWorld;
    --next.budget_.serverFaults_;
    const auto item = TakeItem(next, aItem);
    RunServer(next, item->delivery_, kServerCases[i]);
    aOut.push_back(std::move(next));
  }
}

/** Step: a store call times out but may take effect later. */
void
StoreFaults(const ExploredWorld& aWorld, std::size_t aItem, Successors& aOut)
{
  const ExploredItem& item = *aWorld.items_[aItem];
  if (aWorld.budget_.storeLost_ == 0 || item.abandoned_) {
    return;
  }
  ExploredWorld next = aWorld;
  --next.budget_.storeLost_;
  TakeItem(next, aItem);
  const PlatformCall& call = *item.delivery_.call_;
  PutItem(next, item.delivery_, true);
  if (!IsStaleEvent(next, item.delivery_)) {
    DeliverEvent(next,
                 item.delivery_.to_,
                 PlatformReply{ .id_ = call.id_,
                                .user_ = call.user_,
                                .op_ = call.op_,
                                .status_ = PlatformStatus::Unreachable,
                                .key_ = call.key_ });
  }
  aOut.push_back(std::move(next));
}

/** Step: a read returns the store before its last write. */
void
StaleRead(const ExploredWorld& aWorld, std::size_t aItem, Successors& aOut)
{
  const PlatformOp op = aWorld.items_[aItem]->delivery_.call_->op_;
  if (aWorld.budget_.staleReads_ == 0 || aWorld.before_ == nullptr ||
      (op != PlatformOp::Get && op != PlatformOp::List)) {
    return;
  }
  ExploredWorld next = aWorld;
  --next.budget_.staleReads_;
  const auto store = next.store_;
  next.store_ = next.before_;
  ExecuteItem(next, aItem);
  next.store_ = store;
  aOut.push_back(std::move(next));
}

void
PeerFaults(const ExploredWorld& aWorld, std::size_t aItem, Successors& aOut)
{
  const ExploredItem& item = *aWorld.items_[aItem];
  if (!std::holds_alternative<PeerMessage>(item.delivery_.event_)) {
    return;
  }
  if (aWorld.budget_.peerLost_ > 0) {
    ExploredWorld next = aWorld;
    --next.budget_.peerLost_;
    TakeItem(next, aItem);
    aOut.push_back(std::move(next));
  }
  if (aWorld.budget_.peerTwice_ > 0) {
    ExploredWorld next = aWorld;
    --next.budget_.peerTwice_;
    DeliverEvent(next, item.delivery_.to_, item.delivery_.event_);
    aOut.push_back(std::move(next));
  }
}

void
ItemSteps(const ExploredWorld& aWorld, Successors& aOut)
{
  for (std::size_t i = 0; i < aWorld.items_.size(); ++i) {
    ExploredWorld next = aWorld;
    ExecuteItem(next, i);
    aOut.push_back(std::move(next));
    const Delivery& delivery = aWorld.items_[i]->delivery_;
    if (delivery.call_) {
      StoreFaults(aWorld, i, aOut);
      StaleRead(aWorld, i, aOut);
    } else if (delivery.dispatch_) {
      ServerFaults(aWorld, i, aOut);
    } else {
      PeerFaults(aWorld, i, aOut);
    }
  }
}

void
DaemonSteps(const ExploredWorld& aWorld, Successors& aOut)
{
  if (aWorld.budget_.stops_ > 0) {
    aOut.push_back(aWorld);
    --aOut.back().budget_.stops_;
    DeliverEvent(aOut.back(), 0, StopRequested{});
  }
  for (std::size_t i = 0; i < kExploredDaemons; ++i) {
    if (IsDue(aWorld, i)) {
      aOut.push_back(aWorld);
      DeliverEvent(aOut.back(), i, Tick{});
    }
    if (aWorld.budget_.falseDeaths_ > 0 && i != 0 && !aWorld.sawFirstDead_[i]) {
      aOut.push_back(aWorld);
      --aOut.back().budget_.falseDeaths_;
      MarkFirstDead(aOut.back(), i);
    }
    if (aWorld.budget_.crashes_ > 0) {
      aOut.push_back(aWorld);
      --aOut.back().budget_.crashes_;
      Crash(aOut.back(), i);
    }
  }
}

Successors
AllSteps(const ExploredWorld& aWorld)
{
  Successors out;
  for (std::size_t i = 0; i < aWorld.requests_.size(); ++i) {
    if (!aWorld.requests_[i].sent_) {
      out.push_back(aWorld);
      Send(out.back(), i);
    }
  }
  ItemSteps(aWorld, out);
  DaemonSteps(aWorld, out);
  if (aWorld.budget_.jumps_ > 0) {
    ExploredWorld next = aWorld;
    --next.budget_.jumps_;
    if (AdvanceToNextDue(next)) {
      out.push_back(std::move(next));
    }
  }
  return out;
}

std::uint64_t
HashWorld(const ExploredWorld& aWorld)
{
  std::uint64_t hash = 1;
  for (const auto& daemon : aWorld.daemons_) {
    hash = HashPair(hash, daemon->hash_);
  }
  for (const auto& [key, object] : aWorld.store_->objects_) {
    hash = HashPair(hash, HashText(object.value_, object.version_));
  }
  std::uint64_t items = 0; // A sum, since their order is irrelevant.
  for (const auto& item : aWorld.items_) {
    items += HashPair(item->hash_, 1);
  }
  hash = HashPair(hash, items);
  for (const ExploredRequest& request : aWorld.requests_) {
    hash = HashPair(hash,
                    static_cast<std::uint64_t>(request.answer_) * 2 +
                      (request.sent_ ? 1 : 0));
  }
  for (const auto& [key, runs] : aWorld.runs_) {
    hash = HashPair(hash, HashText(key, static_cast<std::uint64_t>(runs)));
  }
  const ExploreBudget& budget = aWorld.budget_;
  if (budget.staleReads_ > 0 && aWorld.before_ != nullptr) {
    for (const auto& [key, object] : aWorld.before_->objects_) {
      hash = HashPair(hash, HashText(object.value_, object.version_));
    }
  }
  for (const int left : { budget.storeLost_,
                          budget.staleReads_,
                          budget.stops_,
                          budget.peerLost_,
                          budget.peerTwice_,
                          budget.serverFaults_,
                          budget.crashes_,
                          budget.falseDeaths_,
                          budget.jumps_ }) {
    hash = HashPair(hash, static_cast<std::uint64_t>(left));
  }
  return HashPair(
    hash,
    static_cast<std::uint64_t>(aWorld.now_.mono_.time_since_epoch().count()));
}

/** State of a search. */
struct Search
{
  /** Visited states by hash, with the remaining depth when last visited. */
  std::unordered_map<std::uint64_t, int> seen_;
  std::size_t maxStates_ = 0;
  ExploreResult result_;
};

void
Visit(Search& aSearch, const ExploredWorld& aWorld, int aDepth)
{
  if (aWorld.violation_ != nullptr) {
    aSearch.result_.violation_ = aWorld.violation_;
    return;
  }
  const auto [seen, isNew] = aSearch.seen_.emplace(HashWorld(aWorld), -1);
  if (seen->second >= aDepth) {
    return;
  }
  seen->second = aDepth;
  aSearch.result_.truncated_ = aSearch.seen_.size() >= aSearch.maxStates_;
  if (aDepth == 0 || aSearch.result_.truncated_) {
    return;
  }
  for (const ExploredWorld& next : AllSteps(aWorld)) {
    ++aSearch.result_.steps_;
    Visit(aSearch, next, aDepth - 1);
    if (aSearch.result_.violation_ != nullptr || aSearch.result_.truncated_) {
      return;
    }
  }
}

} // namespace

ExploreResult
Explore(const ExploredWorld& aStart, int aDepth, std::size_t aMaxStates)
{
  Search search;
  search.maxStates_ = aMaxStates;
  Visit(search, aStart, aDepth);
  search.result_.states_ = search.seen_.size();
  return search.result_;
}

} // namespace camphorfield
