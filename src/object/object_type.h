/** Configuration objects. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorfield {

/** Kinds of configuration objects. */
enum class ObjectKind : std::uint8_t
{
  Index,
  Service,
  Route,
  Limits,
  Fleet,
  End ///< Number of kinds.
};

/** Priority of a route; a lower number is served first. */
enum class Priority : std::uint8_t
{
  Interactive,
  Normal,
  Batch,
  End ///< Number of priorities.
};

/** Kind of requests on a route. */
enum class RouteMode : std::uint8_t
{
  Query, ///< Idempotent search over all shards of an index.
  Order, ///< Non-idempotent request to one service.
  End    ///< Number of modes.
};

/** One shard of one snapshot version. */
struct ShardSpec
{
  std::string name_;    ///< Name of the shard, unique in its version.
  std::string service_; ///< Service whose servers hold the shard.

  bool operator==(const ShardSpec&) const = default;
};

/** One snapshot version of an index with its shard map. */
struct IndexVersionSpec
{
  SnapshotVersion version_;       ///< Increases with each snapshot.
  std::vector<ShardSpec> shards_; ///< The shard map of this version.

  bool operator==(const IndexVersionSpec&) const = default;
};

/** Searchable index. */
struct IndexSpec
{
  std::string name_;                       ///< Name of the object.
  std::vector<IndexVersionSpec> versions_; ///< Versions that queries may use.

  bool operator==(const IndexSpec&) const = default;
};

/** One backend server. */
struct ServerSpec
{
  std::string name_;               ///< Unique over all services.
  std::string address_;            ///< "IP:port".
  std::string failureDomain_;      ///< Where it runs.
  std::uint32_t slots_ = 1;        ///< Requests that it runs in parallel.
  std::uint32_t connections_ = 25; ///< Connections from all daemons together.
  bool draining_ = false;          ///< Taken out of service by an operator.

  bool operator==(const ServerSpec&) const = default;
};

/** Set of backend servers that are replicas of each other. */
struct ServiceSpec
{
  std::string name_;                ///< Name of the object.
  std::vector<ServerSpec> servers_; ///< Its replicas.
  Duration connectCost_{};          ///< Time to open a connection.
  bool reportsLoad_ = false;        ///< Answers carry the server's load.

  bool operator==(const ServiceSpec&) const = default;
};

/** Route: how requests to one URL are served. */
struct RouteSpec
{
  std::string name_; ///< Name of the object, the last part of the URL.
  RouteMode mode_ = RouteMode::Query;    ///< Query or order.
  std::string index_;                    ///< Index searched; queries only.
  std::string service_;                  ///< Service addressed; orders only.
  std::string limits_;                   ///< Limits that apply.
  Priority priority_ = Priority::Normal; ///< Precedence under load.
  Duration deadline_{};                  ///< Longest time a caller waits.
  Duration softAnswer_{};    ///< Time after which a partial answer may be sent;
                             ///< zero: none.
  double minCoverage_ = 0.0; ///< Smallest share of shards in an answer, 0 to 1.

  bool operator==(const RouteSpec&) const = default;
};

/** Budgets and limits shared by routes. */
struct LimitsSpec
{
  std::string name_;          ///< Name of the object.
  double hedgeBudget_ = 0.02; ///< Hedges as a share of primary sub-requests.
  double retryBudget_ = 0.10; ///< Retries as a share of primary sub-requests.
  std::uint32_t maxInFlight_ = 1000; ///< Requests in flight in one daemon.
  double callerShare_ = 0.5; ///< Largest share of maxInFlight_ for one caller.

  bool operator==(const LimitsSpec&) const = default;
};

/** Fleet of daemons, among which a server's connections are divided. */
struct FleetSpec
{
  std::string name_;              ///< Name of the object.
  std::uint32_t maxDaemons_ = 12; ///< Daemons that may hold connections,
                                  ///< including those that are being replaced.
  std::uint32_t homesPerServer_ = 0; ///< Home daemons of a server; zero: all
                                     ///< daemons connect to it.

  bool operator==(const FleetSpec&) const = default;
};

/** All objects of one generation, by name. */
struct ConfigSet
{
  std::map<std::string, IndexSpec> indexes_;
  std::map<std::string, ServiceSpec> services_;
  std::map<std::string, RouteSpec> routes_;
  std::map<std::string, LimitsSpec> limits_;
  std::map<std::string, FleetSpec> fleets_;

  bool operator==(const ConfigSet&) const = default;
};

/** Validated configuration and its generation. */
struct PublishedConfig
{
  Generation generation_; ///< Increases with each accepted change.
  std::string changeId_;  ///< Change that created it.
  ConfigSet set_;         ///< The objects.
};

} // namespace camphorfield
