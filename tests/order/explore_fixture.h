/** Exhaustive small-scope search over order machines, a store and servers. */
#pragma once

#include "order/order_fixture.h"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorfield {

constexpr std::size_t kExploredDaemons = 3;

/** A request that the search sends at any moment. */
struct ExploredRequest
{
  std::size_t daemon_ = 0;
  std::string key_;
  bool sent_ = false;
  ResultCode answer_ = ResultCode::End; ///< End: nothing yet.
};

/** How many faults of each kind a path may hold. */
struct ExploreBudget
{
  int storeLost_ = 0;  ///< Call reported unreachable; it may happen later.
  int staleReads_ = 0; ///< Read answered from before the last write.
  int stops_ = 0;      ///< Graceful shutdown of daemon zero.
  int peerLost_ = 0;
  int peerTwice_ = 0;
  int serverFaults_ = 0; ///< Shed, answer lost, died before it ran.
  int crashes_ = 0;      ///< Crash and restart as a new incarnation.
  int sawFirstDead_ = 0; ///< A daemon takes daemon zero for dead.
  int jumps_ = 0;        ///< Time passes to the next thing due.
};

/** Daemon with the hash of its state. */
struct ExploredDaemon
{
  OrderState state_;
  std::uint64_t hash_ = 0;
};

/** Something on its way. */
struct ExploredItem
{
  Delivery delivery_;
  bool abandoned_ = false; ///< Store call whose caller has given up on it.
  std::uint64_t hash_ = 0;
};

/** One state of the whole. Parts are shared between states until changed. */
struct ExploredWorld
{
  std::array<std::shared_ptr<const ExploredDaemon>, kExploredDaemons> daemons_;
  std::shared_ptr<const FakeStore> store_;
  std::shared_ptr<const FakeStore> before_; ///< Before the last write.
  std::vector<std::shared_ptr<const ExploredItem>> items_;
  std::vector<ExploredRequest> requests_;
  std::map<std::string, int> runs_;
  std::map<PeerCallId, std::string> callKeys_; ///< Key of each forward.
  std::array<bool, kExploredDaemons>
    sawFirstDead_{}; ///< Takes daemon zero for dead.
  std::array<std::int64_t, kExploredDaemons> skewMicros_{}; ///< Wall clocks.
  std::string token_;
  ExploreBudget budget_;
  Now now_;
  const char* violation_ = nullptr; ///< First promise found broken.
};

/** What a search found. */
struct ExploreResult
{
  std::size_t states_ = 0; ///< Distinct states.
  std::size_t steps_ = 0;  ///< Steps tried.
  bool truncated_ = false; ///< Stopped by the bound on states.
  const char* violation_ = nullptr;
};

/** What a prefix does before a search begins. */
enum class PrefixOp : std::uint8_t
{
  Send,         ///< Send request number arg_.
  Settle,       ///< Carry out all that is under way, without faults.
  SettleDaemon, ///< The same, for daemon arg_ alone.
  View,         ///< Daemon arg_ takes daemon zero for dead.
  Store,        ///< Carry out one store call of daemon arg_.
  Deliver,      ///< Deliver one event to daemon arg_.
  Shed,         ///< The server refuses the oldest dispatch.
  Skew,         ///< The wall clock of daemon arg_ jumps ahead by the window.
  End           ///< Number of operations.
};

/** One step of a prefix. */
struct PrefixStep
{
  PrefixOp op_;
  std::size_t arg_ = 0;
};

/** World with one range, owned by daemon zero, and requests not sent yet. */
ExploredWorld
MakeWorld(const OrderGuards& aGuards);

/** Bring a world to where a search begins. */
void
RunPrefix(ExploredWorld& aWorld, const std::vector<PrefixStep>& aSteps);

/** Search all interleavings up to a depth. */
ExploreResult
Explore(const ExploredWorld& aStart, int aDepth, std::size_t aMaxStates);

/** Hash of everything in a state that later steps depend on. */
std::uint64_t
HashOrderState(const OrderState& aState);

/** Hash of an event, call or dispatch on its way. */
std::uint64_t
HashDelivery(const Delivery& aDelivery);

} // namespace camphorfield
