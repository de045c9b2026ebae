/** Requests of callers and their answers. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"
#include "object/object_type.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorfield {

using SharedText = std::shared_ptr<const std::string>; ///< Immutable payload.

/** Query or order as received from a caller. */
struct CallerRequest
{
  CallerRequestId id_;                ///< Issued by the host.
  RouteMode mode_ = RouteMode::Query; ///< Query or order.
  std::string caller_;         ///< Name of the caller, from the Caller header.
  std::string route_;          ///< Route named in the URL.
  std::string idempotencyKey_; ///< Empty when the caller sent none.
  SharedText body_;            ///< Payload for the backend servers.
  Duration timeout_{}; ///< Caller's timeout; zero: the route's deadline.
};

/** Why a shard is missing from an answer. */
enum class UncoveredReason : std::uint8_t
{
  Timeout,      ///< No answer in time.
  NoReplica,    ///< No usable server.
  Refused,      ///< All servers tried refused the request.
  WrongVersion, ///< No server has the snapshot version.
  Corrupt,      ///< The answer was truncated or mislabelled.
  Failed,       ///< The server failed during the request.
  End           ///< Number of reasons.
};

/** Shard missing from an answer. */
struct UncoveredShard
{
  std::string shard_;      ///< Name of the shard.
  UncoveredReason reason_; ///< Why it is missing.
};

/** One shard's part of an answer. */
struct ShardAnswer
{
  std::string shard_; ///< Name of the shard.
  SharedText body_;   ///< Payload from the backend server.
};

/** Answer to a query. */
struct QueryAnswer
{
  CallerRequestId id_;                    ///< Request answered.
  ResultCode code_ = ResultCode::Ok;      ///< Result.
  SnapshotVersion version_;               ///< Snapshot of all covered shards.
  Generation generation_;                 ///< Configuration used.
  std::vector<ShardAnswer> covered_;      ///< Shards in the answer.
  std::vector<UncoveredShard> uncovered_; ///< Shards not in the answer.
  bool complete_ = false;                 ///< No shard is missing.
  Duration retryAfter_{};                 ///< When to retry a refused request.
};

/** Answer to an order. */
struct OrderAnswer
{
  CallerRequestId id_;               ///< Request answered.
  ResultCode code_ = ResultCode::Ok; ///< Result.
  Generation generation_;            ///< Configuration used.
  std::string key_;                  ///< Idempotency key of the stored outcome.
  SharedText body_;                  ///< Payload from the backend server.
  bool replayed_ = false;            ///< Outcome of an earlier attempt.
};

/** Address of an entry daemon, to which a caller may send its requests. */
struct EntryAddress
{
  std::string address_;       ///< "IP:port" for callers.
  std::string failureDomain_; ///< Where it runs.
  std::string daemon_;        ///< Name of the daemon.
};

/** Answer to EntriesRequest. */
struct EntriesAnswer
{
  CallerRequestId id_;                ///< Request answered.
  ResultCode code_ = ResultCode::Ok;  ///< Result.
  std::vector<EntryAddress> entries_; ///< Best first.
  Duration keepFor_{};                ///< How long the caller may cache this.
  std::uint32_t tokensRequested_ = 0; ///< Copied from the request.
  std::vector<std::string> tokens_;   ///< Order tokens bound to this daemon.
};

/** Request of a caller for the addresses of entry daemons. */
struct EntriesRequest
{
  CallerRequestId id_;        ///< Issued by the host.
  std::string failureDomain_; ///< Of the caller; empty: unknown.
  std::uint32_t tokens_ = 0;  ///< Number of order tokens requested.
};

} // namespace camphorfield
