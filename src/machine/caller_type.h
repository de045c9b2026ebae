/** Requests of callers and the answers to them. */
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
  RouteMode mode_ = RouteMode::Query; ///< What the caller asks for.
  std::string caller_;         ///< Name of the caller, from the Caller header.
  std::string route_;          ///< Route named in the URL.
  std::string idempotencyKey_; ///< Empty when the caller sent none.
  SharedText body_;            ///< Payload for the backend servers.
  Duration timeout_{};         ///< Caller's own timeout; zero: the route's.
};

/** Why a shard is missing from an answer. */
enum class UncoveredReason : std::uint8_t
{
  Timeout,      ///< No sub-answer in time.
  NoReplica,    ///< No usable server.
  Refused,      ///< All servers tried refused it.
  WrongVersion, ///< No server holds the snapshot.
  Corrupt,      ///< The sub-answer was truncated or mislabelled.
  Failed,       ///< The server failed while it ran.
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
  SnapshotVersion version_;               ///< The one snapshot reflected.
  Generation generation_;                 ///< Configuration used.
  std::vector<ShardAnswer> covered_;      ///< Shards in the answer.
  std::vector<UncoveredShard> uncovered_; ///< Shards not in the answer.
  bool complete_ = false;                 ///< True when nothing is missing.
  Duration retryAfter_{};                 ///< Hint for refused requests.
};

/** Answer to an order. */
struct OrderAnswer
{
  CallerRequestId id_;               ///< Request answered.
  ResultCode code_ = ResultCode::Ok; ///< Result.
  Generation generation_;            ///< Configuration used.
  std::string key_;                  ///< Key under which the outcome is kept.
  SharedText body_;                  ///< Payload from the backend server.
  bool replayed_ = false;            ///< The outcome is of an earlier attempt.
};

/** One address in the answer to "which addresses should I use?". */
struct EntryAddress
{
  std::string address_;       ///< "IP:port" for callers.
  std::string failureDomain_; ///< Where it runs.
  std::string daemon_;        ///< Name of the daemon.
};

/** Answer to "which addresses should I use?". */
struct EntriesAnswer
{
  CallerRequestId id_;                ///< Request answered.
  ResultCode code_ = ResultCode::Ok;  ///< Result.
  std::vector<EntryAddress> entries_; ///< In the order of preference.
  Duration keepFor_{};                ///< How long the answer may be kept.
  std::uint32_t tokensRequested_ = 0; ///< Copied from the request.
  std::vector<std::string> tokens_;   ///< Order tokens bound to this daemon.
};

/** Request for entries. */
struct EntriesRequest
{
  CallerRequestId id_;        ///< Issued by the host.
  std::string failureDomain_; ///< The caller's; empty when not known.
  std::uint32_t tokens_ = 0;  ///< Order tokens wanted.
};

} // namespace camphorfield
