/** State of the route package. */
#pragma once

#include "core/pool.h"
#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "route/route_const.h"
#include "route/route_type.h"
#include "route/server_table.h"
#include "route/timer_heap.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorfield {

/** State of a connection. */
enum class ConnState : std::uint8_t
{
  Opening,
  Idle,
  Busy,
  Closing, ///< Counts against the quota until it has ended.
  End      ///< Number of states.
};

/** One connection to a server. */
struct Connection
{
  std::uint64_t key_ = 0; ///< Value of its ConnectionId.
  ServerIndex server_ = kNoIndex;
  ConnState state_ = ConnState::Opening;
  bool unverified_ = false; ///< Needs a health check before reuse.
  bool silent_ = false;     ///< Closed because of a timeout.
  TimePoint openedAt_{};
  TimePoint usedAt_{};
  std::uint64_t sub_ = 0; ///< Sub-request in flight on it; zero: none.
};

/** One sub-request in flight. */
struct Sub
{
  std::uint64_t key_ = 0; ///< Value of its SubRequestId.
  SubKind kind_ = SubKind::Query;
  OwnerRef owner_;
  ServerIndex server_ = kNoIndex;
  std::uint64_t connection_ = 0; ///< Zero: relayed through a home daemon.
  DaemonId home_;                ///< Home daemon that it was relayed to.
  PeerCallId call_;              ///< Batch that it was relayed in.
  SnapshotVersion version_;
  TimePoint sentAt_{};
  TimePoint deadline_ = kNever;
  Fingerprint fingerprint_;
  bool hedge_ = false;
  bool probe_ = false;             ///< Sent to a server on probation.
  bool exclusive_ = false;         ///< Isolated run of a suspect content.
  bool keepUntilDeadline_ = false; ///< Exempt from the progress timeout.
};

/** Progress of one shard of a query. */
enum class ShardPhase : std::uint8_t
{
  Waiting, ///< In a queue, or until a retry delay ends.
  Running, ///< A primary attempt, a hedge or both are in flight.
  Covered,
  Uncovered,
  End ///< Number of phases.
};

constexpr std::size_t kMaxTried = 4; ///< Servers remembered as tried.

/** One shard of a query. */
struct ShardRun
{
  ShardPhase phase_ = ShardPhase::Waiting;
  UncoveredReason reason_ = UncoveredReason::Timeout; ///< Latest failure.
  std::uint8_t attempts_ = 0;
  std::uint8_t tried_ = 0; ///< Valid entries of triedServers_.
  bool queued_ = false;
  std::uint8_t silent_ = 0; ///< Attempts ended for lack of progress.
  std::array<ServerIndex, kMaxTried> triedServers_{};
  std::uint64_t primary_ = 0; ///< Sub-request in flight; zero: none.
  std::uint64_t hedge_ = 0;   ///< Sub-request in flight; zero: none.
  SharedText body_;
};

/** One query. */
struct Query
{
  std::uint64_t key_ = 0;
  CallerRequestId id_;
  std::string caller_;
  std::shared_ptr<const CompiledRoute> route_;
  SharedVersion version_;
  Generation generation_;
  SharedText body_;
  Fingerprint fingerprint_;
  TimePoint deadline_;
  TimePoint softAt_ = kNever;
  std::uint64_t tag_ = 0; ///< Virtual start time for fair queueing.
  std::uint32_t registeredShards_ = 0; ///< Counted in LimitsState::shards_.
  std::uint32_t open_ = 0; ///< Shards neither covered nor uncovered yet.
  std::uint32_t covered_ = 0;
  std::uint8_t round_ = 0; ///< One after a restart on another version.
  bool sent_ = false;      ///< At least one sub-request was sent.
  bool traced_ = false;    ///< Every attempt is recorded in the timeline.
  std::vector<ShardRun> shards_;
};

/** One order. */
struct OrderRun
{
  std::uint64_t key_ = 0;
  DispatchOrder order_;
  std::shared_ptr<const CompiledRoute> route_;
  Fingerprint fingerprint_;
  std::uint64_t sub_ = 0; ///< Attempt in flight.
  bool queued_ = false;
  std::uint8_t tried_ = 0;
  std::array<ServerIndex, kMaxTried> triedServers_{};
};

/** Sub-request that this home daemon runs for a peer. */
struct RelayedRun
{
  std::uint64_t key_ = 0;
  DaemonId from_;
  PeerCallId call_;
  SubRequest request_; ///< With the id of the peer.
  ServerIndex server_ = kNoIndex;
  ServiceIndex service_ = kNoIndex;
  Fingerprint fingerprint_;
  TimePoint deadline_ = kNever;
  std::uint64_t sub_ = 0; ///< Attempt in flight.
  bool queued_ = false;
};

/** Pending batch for a home daemon. */
struct RelayOutbox
{
  std::vector<RelayedSub> subs_;
  std::vector<std::uint64_t> keys_; ///< Keys of these sub-requests in subs_.
};

/** Queries of one caller in flight. */
struct CallerShare
{
  std::uint32_t inFlight_ = 0;
  std::uint64_t shards_ = 0; ///< Shards of these queries.
  std::uint64_t tag_ = 0;    ///< Virtual start time of its next query.
};

/** Budgets and counts of one Limits object. */
struct LimitsState
{
  std::string name_;
  double hedges_ = 0.0;          ///< Tokens for hedges; starts empty.
  double retries_ = kRetryBurst; ///< Tokens for retries; starts full.
  std::uint32_t inFlight_ = 0;   ///< Queries in flight.
  std::uint64_t shards_ = 0;     ///< Shards of these queries.
  std::unordered_map<std::string, CallerShare> callers_;
};

/** Content that is suspected of crashing servers. */
struct SuspectRecord
{
  std::uint32_t crashes_ = 0;   ///< Server crashes with it in flight.
  bool proven_ = false;         ///< One of them was in an isolated run.
  bool reportedByPeer_ = false; ///< A peer suspects it and runs the trial.
  bool quarantined_ = false;
  std::uint64_t trial_ = 0; ///< Sub-request of the isolated run; zero: none.
  TimePoint trialAfter_{};  ///< Earliest time of an isolated run.
  TimePoint crashedAt_{};   ///< Latest crash seen by this daemon.
  ServerIndex crashedServer_ = kNoIndex; ///< Server of that crash.
  std::int64_t untilUnix_ = 0;           ///< Expiry in Unix microseconds.
};

/** State of the route package. */
struct RouteState
{
  RouteSettings settings_;
  std::shared_ptr<const CompiledConfig> config_;
  std::vector<ServerState> servers_;
  std::vector<ServiceState> services_;
  std::unordered_map<std::string, ServerIndex>
    serverIndex_; ///< By name@address.
  std::unordered_map<std::string, ServerIndex> serverByName_; ///< By name.
  std::unordered_map<std::string, ServiceIndex> serviceIndex_;
  std::vector<ServiceIndex> marked_; ///< Services to dispatch in this step.
  Pool<Connection> connections_;
  Pool<Sub> subs_;
  Pool<Query> queries_;
  Pool<OrderRun> orders_;
  Pool<RelayedRun> relayed_;
  std::unordered_map<CallerRequestId, std::uint64_t> queryOf_;
  std::vector<LimitsState> limits_;
  std::map<Fingerprint, SuspectRecord> suspects_;
  std::map<DaemonId, MemberRecord> members_;
  std::map<DaemonId, TimePoint> backedOffHomes_; ///< Avoided until then.
  std::map<DaemonId, RelayOutbox> outboxes_;
  std::map<DaemonId, std::map<PeerCallId, std::vector<SubAnswer>>>
    answerOutboxes_; ///< Answers to peers, by call; sent at the end of a step.
  TimerHeap timers_;
  std::uint64_t virtualTime_ = 0; ///< Of fair queueing, in shards.
  std::uint64_t taskSequence_ = 0;
  std::uint64_t nextCall_ = 0;
  bool stopping_ = false;
  TimePoint now_{}; ///< Time of the latest event.
  RouteStats stats_;
};

/** Context of one step: state, time, random numbers and decisions. */
struct Step
{
  RouteState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
};

} // namespace camphorfield
