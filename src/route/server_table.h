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

using ServerIndex = std::uint32_t;  ///< Index into RouteState::servers_.
using ServiceIndex = std::uint32_t; ///< Index into RouteState::services_.
constexpr std::uint32_t kNoIndex = UINT32_MAX;

/** Snapshot that a server reported as missing. */
struct MissingVersion
{
  SnapshotVersion version_;
  TimePoint until_;
};

/** Content of a request in flight on a connection that broke. */
struct BrokenRequest
{
  Fingerprint fingerprint_;
  TimePoint at_;
};

/** One backend server; kept across generations by name and address. */
struct ServerState
{
  ServerSpec spec_;
  ServiceIndex service_ = kNoIndex;
  bool configured_ = false; ///< In the current configuration.
  bool sameDomain_ = false; ///< In the failure domain of this daemon.

  // Connections.
  std::vector<std::uint32_t>
    connections_; ///< Pool slots, until the connections have ended.
  std::uint32_t connectionQuota_ = 0; ///< Connections this daemon may hold.
  bool isHome_ = true; ///< This daemon may connect to it; others relay.
  std::vector<DaemonId> homes_;       ///< Daemons that may connect; empty: all.
  std::uint32_t connectFailures_ = 0; ///< Consecutive.
  TimePoint connectAfter_{};
  TimePoint overCapUntil_{};
  TimePoint
    lastAnsweredSentAt_{}; ///< Latest sending time of an answered request.

  // Load.
  std::uint32_t inFlight_ = 0; ///< Queries and orders, including relayed ones.
  double limit_ = 1.0;         ///< Adaptive limit of requests in flight.
  TimePoint limitCutAt_{};
  double latency_ = 0.0; ///< Moving average in microseconds.
  std::uint32_t samples_ = 0;
  TimePoint sampledAt_{};
  double load_ = 0.0; ///< Reported load, 0 to 1.
  TimePoint loadAt_{};
  TimePoint pausedUntil_{}; ///< No requests until then, after it shed one.
  bool exclusive_ = false;  ///< Reserved for an isolated run.

  // Standing.
  bool leaving_ = false;
  std::int64_t leavingAt_ = 0; ///< Unix microseconds of the report.
  std::uint32_t failures_ = 0; ///< Consecutive.
  TimePoint ejectedUntil_{};
  std::uint32_t ejections_ = 0; ///< Consecutive; each doubles the next.
  bool probation_ = false;
  std::uint32_t probesGood_ = 0; ///< Successful probes on probation.
  TimePoint nextProbe_{};
  TimePoint slowStartUntil_{};
  TimePoint nextHealth_{};
  std::vector<SnapshotVersion>
    heldVersions_; ///< As of the latest health check; empty: unknown.
  std::vector<MissingVersion> missingVersions_;
  std::vector<BrokenRequest> broken_;
  TimePoint brokenAt_{};                ///< First break of the crash window.
  std::uint32_t brokenConnections_ = 0; ///< Connections broken since brokenAt_.
  TimePoint crashedAt_{};               ///< Latest crash.
  TimePoint relayAfter_{};              ///< No relay until then.
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
  bool marked_ = false; ///< In RouteState::marked_.
  std::vector<SnapshotVersion>
    expectedVersions_; ///< Newest of each index it serves.
  TimePoint expectedSince_{};
  TimePoint interactiveAt_{}; ///< Latest interactive task.
};

/** One shard of a snapshot version. */
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
  std::vector<ServiceIndex> services_;    ///< Distinct services of shards_.
  std::vector<std::uint32_t> perService_; ///< Shards of each of services_.
};

using SharedVersion = std::shared_ptr<const CompiledVersion>;

/** One route with its limits and versions resolved. */
struct CompiledRoute
{
  RouteSpec spec_;
  LimitsSpec limits_;
  std::uint32_t limitsIndex_ = 0;       ///< Index into RouteState::limits_.
  std::vector<SharedVersion> versions_; ///< Newest first; queries only.
  ServiceIndex service_ = kNoIndex;     ///< Orders only.
};

/** Compiled configuration of one generation. */
struct CompiledConfig
{
  Generation generation_;
  std::unordered_map<std::string, std::shared_ptr<const CompiledRoute>> routes_;
  std::uint32_t maxDaemons_ = 1;
  std::uint32_t homesPerServer_ = 0;
};

struct Step;

/** Apply a configuration. Servers that remain keep their state. */
void
AdoptConfig(Step& aStep, const PublishedConfig& aConfig);

/** Assign the connection quota and the home daemons of every server. */
void
AssignConnectionQuotas(Step& aStep);

} // namespace camphorfield
