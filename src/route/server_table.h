/** Servers, services and the compiled configuration. */
#pragma once

#include "core/id_type.h"
#include "core/latency_hist.h"
#include "core/time_type.h"
#include "object/object_type.h"
#include "route/route_const.h"
#include "route/task_queue.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorfield {

using ServerIndex = std::uint32_t;  ///< Place in RouteState::servers_.
using ServiceIndex = std::uint32_t; ///< Place in RouteState::services_.
constexpr std::uint32_t kNoIndex = UINT32_MAX;

/** A server said that it lacks a snapshot. */
struct MissingVersion
{
  SnapshotVersion version_;
  TimePoint until_;
};

/** Content that was in flight on a connection when it broke. */
struct BrokenRequest
{
  Fingerprint fingerprint_;
  TimePoint at_;
};

/** One backend server; outlives generations that name it the same. */
struct ServerState
{
  ServerSpec spec_;
  ServiceIndex service_ = kNoIndex;
  bool configured_ = false; ///< Named by the configuration in force.
  bool sameDomain_ = false; ///< In the daemon's own failure domain.

  // Connections.
  std::vector<std::uint32_t> connections_; ///< Slots, until they have ended.
  std::uint32_t connectionQuota_ = 0;
  bool isHome_ = true;                ///< This daemon may connect to it.
  std::vector<DaemonId> homes_;       ///< Daemons that connect; empty: all.
  std::uint32_t connectFailures_ = 0; ///< In a row.
  TimePoint connectAfter_{};
  TimePoint overCapUntil_{};
  TimePoint lastAnsweredSentAt_{}; ///< Sending time of the newest answered one.

  // Load.
  std::uint32_t inFlight_ = 0; ///< Queries and orders, relayed ones too.
  double limit_ = 1.0;         ///< Requests at a time.
  TimePoint limitCutAt_{};
  double latency_ = 0.0; ///< Moving average in microseconds.
  std::uint32_t samples_ = 0;
  TimePoint sampledAt_{};
  double load_ = 0.0; ///< As reported.
  TimePoint loadAt_{};
  TimePoint pausedUntil_{}; ///< After it shed.
  bool exclusive_ = false;  ///< Runs one suspect request alone.

  // Standing.
  bool leaving_ = false;
  std::int64_t leavingAt_ = 0; ///< Unix microseconds of that news.
  std::uint32_t failures_ = 0; ///< In a row.
  TimePoint ejectedUntil_{};
  std::uint32_t ejections_ = 0; ///< In a row; lengthens the next.
  bool probation_ = false;
  std::uint32_t probesGood_ = 0;
  TimePoint nextProbe_{};
  TimePoint slowStartUntil_{};
  TimePoint nextHealth_{};
  std::vector<SnapshotVersion> heldVersions_; ///< As health said.
  std::vector<MissingVersion> missingVersions_;
  std::vector<BrokenRequest> broken_;
  TimePoint brokenAt_{}; ///< First of the connections broken together.
  std::uint32_t brokenConnections_ = 0; ///< Connections broken since then.
  TimePoint crashedAt_{};               ///< Latest crash.
  TimePoint relayAfter_{}; ///< No relay before, after a home was unreachable.
};

/** One service. */
struct ServiceState
{
  std::string name_;
  std::vector<ServerIndex> servers_;
  bool reportsLoad_ = false;
  Duration connectCost_{};
  LatencyHist latency_;
  double hedgeQuantile_ = kHedgeQuantileCeiling;
  TaskQueue queue_;
  bool marked_ = false; ///< Waits for DispatchMarkedQueues.
  std::vector<SnapshotVersion>
    expectedVersions_; ///< Newest of each index it serves.
  TimePoint expectedSince_{};
  TimePoint interactiveAt_{};
};

/** One shard of a pinned version. */
struct CompiledShard
{
  std::string name_;
  ServiceIndex service_ = kNoIndex;
};

/** One snapshot version with its shard map. */
struct CompiledVersion
{
  SnapshotVersion version_;
  std::vector<CompiledShard> shards_;
  std::vector<ServiceIndex> services_;    ///< Distinct.
  std::vector<std::uint32_t> perService_; ///< Shards of each of services_.
};

using SharedVersion = std::shared_ptr<const CompiledVersion>;

/** One route with everything it refers to. */
struct CompiledRoute
{
  RouteSpec spec_;
  LimitsSpec limits_;
  std::uint32_t limitsIndex_ = 0;       ///< Place in RouteState::limits_.
  std::vector<SharedVersion> versions_; ///< Newest first; queries only.
  ServiceIndex service_ = kNoIndex;     ///< Orders only.
};

/** Routes of one generation. */
struct CompiledConfig
{
  Generation generation_;
  std::unordered_map<std::string, std::shared_ptr<const CompiledRoute>> routes_;
  std::uint32_t maxDaemons_ = 1;
  std::uint32_t homesPerServer_ = 0;
};

struct Step;

/** Take a configuration into force. State of kept servers stays. */
void
AdoptConfig(Step& aStep, const PublishedConfig& aConfig);

/** Set the lot and the homes of every server from the members. */
void
AssignConnectionQuotas(Step& aStep);

} // namespace camphorfield
