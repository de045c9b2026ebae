/** Exhaustive search of the states of a small cluster with faults. */
#pragma once

#include "order/order_fixture.h"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorfield {

constexpr std::size_t kExploredDaemons = 3;

/** Request that the search may send at any time. */
struct ExploredRequest
{
  std::size_t daemon_ = 0;
  std::string key_;
  bool sent_ = false;
  ResultCode answer_ = ResultCode::End; ///< End: none yet.
};

/** Number of faults of each kind that a path may contain. */
struct ExploreBudget
{
  int storeLost_ = 0;  ///< Call reported unreachable; may take effect later.
  int staleReads_ = 0; ///< Read returns the state before the last write.
  int stops_ = 0;      ///< Graceful shutdown of daemon zero.
  int peerLost_ = 0;
  int peerTwice_ = 0;
  int serverFaults_ = 0; ///< Shed, answer lost, or crashed before it ran.
  int crashes_ = 0;      ///< Crash and restart as a new incarnation.
  int falseDeaths_ = 0;  ///< A daemon sees daemon zero as dead.
  int jumps_ = 0;        ///< The clock advances to the next timer.
};

/** Daemon and the hash of its state. */
struct ExploredDaemon
{
  OrderState state_;
  std::uint64_t hash_ = 0;
};

/** Event, store call or dispatch in flight. */
struct ExploredItem
{
  Delivery delivery_;
  bool abandoned_ = false; ///< Store call whose caller has given up.
  std::uint64_t hash_ = 0;
};

/** State of the whole cluster. Unchanged parts are shared between states. */
struct ExploredWorld
{
  std::array<std::shared_ptr<const ExploredDaemon>, kExploredDaemons> daemons_;
  std::shared_ptr<const FakeStore> store_;
  std::shared_ptr<const FakeStore> before_; ///< Store before the last write.
  std::vector<std::shared_ptr<const ExploredItem>> items_;
  std::vector<ExploredRequest> requests_;
  std::map<std::string, int> runs_;
  std::map<PeerCallId, std::string> callKeys_; ///< Key of each forward.
  /** Daemons that see daemon zero as dead. */
  std::array<bool, kExploredDaemons> sawFirstDead_{};
  /** Offsets of the wall clocks. */
  std::array<std::int64_t, kExploredDaemons> skewMicros_{};
  std::string token_;
  ExploreBudget budget_;
  Now now_;
  const char* violation_ = nullptr; ///< First violated invariant, if any.
};

/** Result of a search. */
struct ExploreResult
{
  std::size_t states_ = 0;          ///< Distinct states.
  std::size_t steps_ = 0;           ///< Steps executed.
  bool truncated_ = false;          ///< Stopped at the limit of states.
  const char* violation_ = nullptr; ///< First violated invariant, if any.
};

/** Operation of the prefix that sets up a search. */
enum class PrefixOp : std::uint8_t
{
  Send,         ///< Send request number arg_.
  Settle,       ///< Execute everything in flight, without faults.
  SettleDaemon, ///< The same, for daemon arg_ alone.
  FalseDeath,   ///< Daemon arg_ sees daemon zero as dead.
  Store,        ///< Execute one store call of daemon arg_.
  Deliver,      ///< Deliver one event to daemon arg_.
  Shed,         ///< The server sheds the oldest dispatch.
  Skew,         ///< The wall clock of daemon arg_ jumps ahead by the window.
  End           ///< Number of operations.
};

/** One step of a prefix. */
struct PrefixStep
{
  PrefixOp op_;
  std::size_t arg_ = 0;
};

/** Create a world with one range, owned by daemon zero. */
ExploredWorld
MakeWorld(const OrderGuards& aGuards);

/** Bring a world to the start of a search. */
void
RunPrefix(ExploredWorld& aWorld, const std::vector<PrefixStep>& aSteps);

/** Search all interleavings up to a depth, until an invariant is violated. */
ExploreResult
Explore(const ExploredWorld& aStart, int aDepth, std::size_t aMaxStates);

/** Hash of the parts of a state that later steps depend on. */
std::uint64_t
HashOrderState(const OrderState& aState);

/** Hash of an event, call or dispatch in flight. */
std::uint64_t
HashDelivery(const Delivery& aDelivery);

} // namespace camphorfield
