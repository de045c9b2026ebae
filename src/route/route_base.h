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

/** Life of a connection. */
enum class ConnState : std::uint8_t
{
  Opening,
  Idle,
  Busy,
  Closing, ///< Counted until its end is told.
  End      ///< Number of states.
};

/** One connection to a server. */
struct Connection
{
  std::uint64_t key_ = 0; ///< Value of its ConnectionId.
  ServerIndex server_ = kNoIndex;
  ConnState state_ = ConnState::Opening;
  bool unverified_ = false; ///< To be pinged before it is used again.
  bool silent_ = false;     ///< Closed because of a timeout.
  TimePoint openedAt_{};
  TimePoint usedAt_{};
  std::uint64_t sub_ = 0; ///< Sub-request on it.
};

/** One sub-request in flight. */
struct Sub
{
  std::uint64_t key_ = 0; ///< Value of its SubRequestId.
  SubKind kind_ = SubKind::Query;
  OwnerRef owner_;
  ServerIndex server_ = kNoIndex;
  std::uint64_t connection_ = 0; ///< Zero: through a home daemon.
  DaemonId home_;                ///< Home it went to.
  PeerCallId call_;              ///< Batch it went in.
  SnapshotVersion version_;
  TimePoint sentAt_{};
  TimePoint deadline_ = kNever;
  Fingerprint fingerprint_;
  bool hedge_ = false;
  bool probe_ = false;             ///< Sent to a server on probation.
  bool exclusive_ = false;         ///< Runs alone on its server.
  bool keepUntilDeadline_ = false; ///< Not cut off before its deadline.
};

/** Progress of one shard of a query. */
enum class ShardPhase : std::uint8_t
{
  Waiting, ///< In a queue, or for a retry.
  Running, ///< One or two attempts are in flight.
  Covered,
  Uncovered,
  End ///< Number of phases.
};

constexpr std::size_t kMaxTried = 4;

/** One shard of a query. */
struct ShardRun
{
  ShardPhase phase_ = ShardPhase::Waiting;
  UncoveredReason reason_ = UncoveredReason::Timeout; ///< Latest trouble.
  std::uint8_t attempts_ = 0;
  std::uint8_t tried_ = 0; ///< Valid ones of triedServers_.
  bool queued_ = false;
  std::uint8_t silent_ = 0; ///< Attempts that were cut off.
  std::array<ServerIndex, kMaxTried> triedServers_{};
  std::uint64_t primary_ = 0; ///< Sub-request.
  std::uint64_t hedge_ = 0;   ///< Sub-request.
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
  std::uint64_t tag_ = 0;
  std::uint32_t registeredShards_ = 0; ///< Shards it was counted in with.
  std::uint32_t open_ = 0;             ///< Shards neither covered nor given up.
  std::uint32_t covered_ = 0;
  std::uint8_t round_ = 0; ///< One after it started over.
  bool sent_ = false;      ///< A sub-request went out for it.
  bool traced_ = false;    ///< Every attempt goes to the time line.
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

/** Sub-request run for a peer. */
struct RelayedRun
{
  std::uint64_t key_ = 0;
  DaemonId from_;
  PeerCallId call_;
  SubRequest request_; ///< As the peer named it.
  ServerIndex server_ = kNoIndex;
  ServiceIndex service_ = kNoIndex;
  Fingerprint fingerprint_;
  TimePoint deadline_ = kNever;
  std::uint64_t sub_ = 0; ///< Attempt in flight.
  bool queued_ = false;
};

/** Batch for a home daemon that is being filled. */
struct RelayOutbox
{
  std::vector<RelayedSub> subs_;
  std::vector<std::uint64_t> keys_; ///< Their sub-requests here.
};

/** A caller's part of the daemon. */
struct CallerShare
{
  std::uint32_t inFlight_ = 0;
  std::uint64_t shards_ = 0; ///< Of its queries in flight.
  std::uint64_t tag_ = 0;    ///< Virtual time of its next query.
};

/** State under one Limits object. */
struct LimitsState
{
  std::string name_;
  double hedges_ = 0.0;          ///< Tokens for hedges; earned only.
  double retries_ = kRetryBurst; ///< Tokens for retries.
  std::uint32_t inFlight_ = 0;   ///< Queries.
  std::uint64_t shards_ = 0;     ///< Of these queries.
  std::unordered_map<std::string, CallerShare> callers_;
};

/** What is known against a request's content. */
struct SuspectRecord
{
  std::uint32_t crashes_ = 0;   ///< Server crashes with it in flight.
  bool proven_ = false;         ///< In one of them nothing else was in flight.
  bool reportedByPeer_ = false; ///< A peer is looking into it.
  bool quarantined_ = false;
  std::uint64_t trial_ = 0;              ///< Sub-request that runs it alone.
  TimePoint trialAfter_{};               ///< No trial before.
  TimePoint crashedAt_{};                ///< Latest crash here.
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
  std::unordered_map<std::string, ServerIndex> serverIndex_;  ///< Name@address.
  std::unordered_map<std::string, ServerIndex> serverByName_; ///< In force.
  std::unordered_map<std::string, ServiceIndex> serviceIndex_;
  std::vector<ServiceIndex> marked_; ///< Services to be pumped.
  Pool<Connection> connections_;
  Pool<Sub> subs_;
  Pool<Query> queries_;
  Pool<OrderRun> orders_;
  Pool<RelayedRun> relayed_;
  std::unordered_map<CallerRequestId, std::uint64_t> queryOf_;
  std::vector<LimitsState> limits_;
  std::map<Fingerprint, SuspectRecord> suspects_;
  std::map<DaemonId, MemberRecord> members_;
  std::map<DaemonId, TimePoint> backedOffHomes_; ///< Not used before that time.
  std::map<DaemonId, RelayOutbox> outboxes_;
  std::map<DaemonId, std::map<PeerCallId, std::vector<SubAnswer>>>
    answerOutboxes_;
  TimerHeap timers_;
  std::uint64_t virtualTime_ = 0;
  std::uint64_t taskSequence_ = 0;
  std::uint64_t nextCall_ = 0;
  bool stopping_ = false;
  TimePoint now_{}; ///< Time of the latest event.
  RouteStats stats_;
};

/** Everything that one step of the package works with. */
struct Step
{
  RouteState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
};

} // namespace camphorfield
