/** Settings, counters and status of the route package. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"
#include "machine/caller_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorfield {

/** Identity of the own daemon. */
struct RouteSettings
{
  DaemonId self_;             ///< Hash of name_.
  std::string name_;          ///< Name of this daemon.
  std::string failureDomain_; ///< Failure domain of this daemon.
};

/** Why a backend server gets work or not. */
enum class ServerStanding : std::uint8_t
{
  In,         ///< Gets work.
  SlowStart,  ///< Gets less work for a while after its return.
  Connecting, ///< No connection is open yet.
  Down,       ///< Connections are not accepted.
  Ejected,    ///< Failed or was slow compared with its service.
  Probation,  ///< Gets single requests after an ejection.
  Leaving,    ///< Reported by the server or a peer.
  Draining,   ///< Drained by an operator.
  Removed,    ///< No longer in the configuration.
  End         ///< Number of standings.
};

/** Status of one backend server for operators. */
struct ServerStatus
{
  std::string name_;
  std::string service_;
  std::string address_;
  std::string failureDomain_;
  ServerStanding standing_ = ServerStanding::In;
  bool in_ = false;               ///< Gets new work.
  std::string why_;               ///< Reason, readable text.
  std::uint32_t inFlight_ = 0;    ///< Requests of this daemon on it.
  std::uint32_t connections_ = 0; ///< Connections counted against the quota.
  std::uint32_t connectionQuota_ = 0; ///< Zero if not a home daemon.
  std::uint32_t limit_ = 0;           ///< Adaptive limit of requests in flight.
  Duration latency_{};                ///< Moving average of the answer time.
  TimePoint ejectedUntil_{}; ///< End of the latest ejection; zero: none.
};

constexpr std::size_t kResultCodes = static_cast<std::size_t>(ResultCode::End);
constexpr std::size_t kUncoveredReasons =
  static_cast<std::size_t>(UncoveredReason::End);

/** Counters since the start of the daemon. */
struct RouteStats
{
  std::uint64_t queries_ = 0;       ///< Queries received.
  std::uint64_t complete_ = 0;      ///< Queries answered with every shard.
  std::uint64_t partial_ = 0;       ///< Queries answered in part.
  std::uint64_t restarts_ = 0;      ///< Queries restarted on another version.
  std::uint64_t primaries_ = 0;     ///< First attempts at a shard.
  std::uint64_t hedges_ = 0;        ///< Hedges sent.
  std::uint64_t hedgesWon_ = 0;     ///< Hedges that answered first.
  std::uint64_t retries_ = 0;       ///< Attempts after a shed or failed one.
  std::uint64_t retriesNotRun_ = 0; ///< Attempts after one that never ran.
  std::uint64_t cancels_ = 0;       ///< Cancel requests sent.
  std::uint64_t healthChecks_ = 0;  ///< Health requests sent.
  std::uint64_t discarded_ = 0;     ///< Sub-answers for another request.
  std::uint64_t late_ = 0;          ///< Sub-answers after their owner ended.
  std::uint64_t opened_ = 0;        ///< Connections requested.
  std::uint64_t silent_ = 0;        ///< Connections closed as silent.
  std::uint64_t overCap_ = 0;   ///< Connections refused by a server at its cap.
  std::uint64_t ejections_ = 0; ///< Servers ejected.
  std::uint64_t crashes_ = 0;   ///< Server crashes detected.
  std::uint64_t quarantined_ = 0; ///< Contents quarantined by this daemon.
  std::uint64_t relayed_ = 0; ///< Sub-requests relayed through home daemons.
  std::uint64_t relayBatches_ = 0; ///< Relay messages sent.
  std::uint64_t relayServed_ = 0;  ///< Sub-requests accepted from peers.
  std::uint64_t dispatches_ = 0;   ///< Orders received for dispatch.
  std::array<std::uint64_t, kResultCodes> byCode_{}; ///< Query answers by code.
  std::array<std::uint64_t, kUncoveredReasons>
    uncovered_{}; ///< Uncovered shards by reason.
};

} // namespace camphorfield
