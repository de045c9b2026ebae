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

/** What routing must know of its own daemon. */
struct RouteSettings
{
  DaemonId self_;             ///< Hash of name_.
  std::string name_;          ///< Name of this daemon.
  std::string failureDomain_; ///< Where it runs.
};

/** Why a backend server gets work or not. */
enum class ServerStanding : std::uint8_t
{
  In,         ///< Gets work.
  SlowStart,  ///< Gets less work than the others for a while.
  Connecting, ///< No connection is open yet.
  Down,       ///< Connections are not accepted.
  Ejected,    ///< Failed or was slow compared with its service.
  Probation,  ///< Gets single requests after an ejection.
  Leaving,    ///< Says that it is leaving, or a peer heard so.
  Draining,   ///< Taken out by an operator.
  Removed,    ///< No longer in the configuration.
  End         ///< Number of standings.
};

/** One backend server as the operators see it. */
struct ServerStatus
{
  std::string name_;
  std::string service_;
  std::string address_;
  std::string failureDomain_;
  ServerStanding standing_ = ServerStanding::In;
  bool in_ = false;               ///< It gets new work.
  std::string why_;               ///< Reason for people.
  std::uint32_t inFlight_ = 0;    ///< Requests of this daemon on it.
  std::uint32_t connections_ = 0; ///< Connections counted against the lot.
  std::uint32_t connectionQuota_ =
    0;                       ///< Connections that this daemon may hold.
  std::uint32_t limit_ = 0;  ///< Requests at a time, as learned.
  Duration latency_{};       ///< Moving average of the answer time.
  TimePoint ejectedUntil_{}; ///< End of the ejection, if there is one.
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
  std::uint64_t restarts_ = 0;      ///< Queries moved to another version.
  std::uint64_t primaries_ = 0;     ///< First attempts at a shard.
  std::uint64_t hedges_ = 0;        ///< Duplicates against a slow server.
  std::uint64_t hedgesWon_ = 0;     ///< Duplicates that answered first.
  std::uint64_t retries_ = 0;       ///< Attempts after a failed one.
  std::uint64_t retriesNotRun_ = 0; ///< Attempts after one that did not run.
  std::uint64_t cancels_ = 0;       ///< Cancel requests sent.
  std::uint64_t healthChecks_ = 0;  ///< Health requests sent.
  std::uint64_t discarded_ = 0;     ///< Sub-answers with wrong labels.
  std::uint64_t late_ = 0;          ///< Sub-answers no longer wanted.
  std::uint64_t opened_ = 0;        ///< Connections asked for.
  std::uint64_t silent_ = 0;        ///< Connections closed as silent.
  std::uint64_t overCap_ = 0;       ///< Connections refused over the cap.
  std::uint64_t ejections_ = 0;     ///< Servers ejected.
  std::uint64_t crashes_ = 0;       ///< Server crashes seen.
  std::uint64_t quarantined_ = 0;   ///< Contents quarantined by this daemon.
  std::uint64_t relayed_ = 0;       ///< Sub-requests sent through homes.
  std::uint64_t relayBatches_ = 0;  ///< Messages that carried them.
  std::uint64_t relayServed_ = 0;   ///< Sub-requests run for peers.
  std::uint64_t dispatches_ = 0;    ///< Orders given to this package.
  std::array<std::uint64_t, kResultCodes> byCode_{};         ///< Query answers.
  std::array<std::uint64_t, kUncoveredReasons> uncovered_{}; ///< Shards.
};

} // namespace camphorfield
