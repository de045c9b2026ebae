/** Constants of routing; docs/ROUTING.md gives the reasons. */
#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>

namespace camphorfield {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Connections.
constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kConnectBackoffFloor = milliseconds(50);
constexpr Duration kConnectBackoffCeiling = seconds(2);
/** Consecutive failed connects until a server counts as down. */
constexpr std::uint32_t kDownAfterFailures = 2;
/** Time to use one connection less after a server was at its cap. */
constexpr Duration kOverCapPause = seconds(2);
constexpr Duration kConnectionMaxAge = seconds(300);
constexpr Duration kIdleUnverifiedAfter = seconds(5);
/** Twice the homes may connect while daemons disagree on the homes. */
constexpr std::uint32_t kHomeQuotaDivisor = 2;
constexpr std::uint32_t kWarmConnections = 1;

// Health of servers.
constexpr Duration kServerMaintenanceInterval = milliseconds(250);
constexpr Duration kHealthInterval = seconds(2);
constexpr Duration kHealthIntervalNewVersion = milliseconds(200);
/** Time after publishing in which the health of servers is checked often. */
constexpr Duration kNewVersionWindow = seconds(30);
constexpr Duration kHealthTimeout = milliseconds(200);
constexpr Duration kLeavingProbeInterval = seconds(3);
constexpr Duration kMissingVersionTtl = seconds(2);
constexpr std::uint32_t kEjectAfterFailures = 5; ///< Consecutive failures.
constexpr Duration kEjectionFloor = milliseconds(500);
constexpr Duration kEjectionCeiling = seconds(30);
constexpr double kMaxEjectedShare = 0.5;  ///< Of the servers of a service.
constexpr double kSlowFactor = 4.0;       ///< Times the fastest other server.
constexpr std::uint32_t kSlowSamples = 8; ///< Answers before latency may eject.
/** Added to the latency bounds for ejection and probes. */
constexpr Duration kSlowMargin = milliseconds(5);
/** Minimum time between requests to a server on probation. */
constexpr Duration kProbeInterval = milliseconds(100);
constexpr std::uint32_t kProbesToRestore = 3;
constexpr Duration kSlowStart = seconds(3);
/** Added to the score factor of a server at the begin of slow start. */
constexpr double kSlowStartFactor = 3.0;
constexpr double kLatencyWeight = 0.2; ///< Weight of a new sample.
/** Idle time that halves the latency assumed for a server. */
constexpr Duration kLatencyHalfLife = seconds(5);
/** Assumed for a server without samples. */
constexpr Duration kDefaultLatency = milliseconds(2);
constexpr Duration kLoadReportTtl = seconds(2);
/** Added to the score factor by a fresh report of full load. */
constexpr double kLoadReportWeight = 0.5;
/** Scores within this factor are compared with their load reports. */
constexpr double kReportBand = 1.15;
/** Scores within this factor are ties; the own failure domain wins. */
constexpr double kTieBand = 1.1;

// Attempts.
constexpr Duration kHedgeDelayFloor = milliseconds(1);
/** Until a service has enough latency samples. */
constexpr Duration kInitialHedgeDelay = milliseconds(50);
constexpr double kHedgeQuantileFloor = 0.90;
constexpr double kHedgeQuantileCeiling = 0.99;
constexpr double kHedgeBurst = 20.0;
constexpr double kRetryBurst = 500.0;
/** Time before the deadline in which no retry or restart begins. */
constexpr Duration kRetryMargin = milliseconds(2);
constexpr Duration kRefusedPause = milliseconds(5);
constexpr std::uint32_t kMaxAttempts = 4;
/** After so many, a shard waits for its deadline: the work itself is slow. */
constexpr std::uint32_t kMaxSilentAttempts = 2;
constexpr Duration kProgressFloor = milliseconds(100);
constexpr Duration kProgressCeiling = seconds(2);
/** Progress timeout as a multiple of the 99th percentile of latency. */
constexpr std::int64_t kProgressFactor = 4;
/** Multiple of the progress timeout that closes a connection anyway. */
constexpr std::int64_t kStalledFactor = 3;
/** Multiple of the progress timeout that gives up a home daemon. */
constexpr std::int64_t kHomeTimeoutFactor = 2;
/** Time after the deadline in which a late answer keeps its connection. */
constexpr Duration kAnswerGrace = milliseconds(20);

// Limits.
constexpr double kLimitDecrease = 0.7;
/** Refusals within this time lower a limit only once. */
constexpr Duration kLimitDecreasePause = milliseconds(50);
/** Blocked tasks that one dispatch of a queue passes over. */
constexpr std::size_t kMaxBlockedTasks = 8;
/** Time after an interactive task in which batch leaves capacity free. */
constexpr Duration kInteractiveWindow = seconds(1);

// Requests that crash servers.
/** Breaks and failed connects within this time are one crash. */
constexpr Duration kCrashWindow = milliseconds(300);
/** Delay until it is known whether the server crashed. */
constexpr Duration kResetRetryDelay = milliseconds(20);
/** Delay from a crash to the isolated run of a suspect content. */
constexpr Duration kSuspectRetryDelay = milliseconds(300);
constexpr Duration kSuspectTtl = seconds(60);
/** Time to wait for the isolated run of a peer. */
constexpr Duration kPeerSuspectTtl = milliseconds(1500);
constexpr Duration kSuspectRetryHint = seconds(1);
constexpr Duration kQuarantineTtl = seconds(300);
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxSuspectsPerCrash = 16;
constexpr std::uint32_t kCrashesToQuarantine = 2;

// Queries.
/** Part of the timeout that is reserved for sending the answer. */
constexpr Duration kAnswerMargin = milliseconds(2);
/** The margin is at most this part (1/20) of the timeout. */
constexpr std::int64_t kAnswerMarginDivisor = 20;
/** One query in this many is traced in full. */
constexpr std::uint64_t kTraceSampleInterval = 64;

// Relay through home daemons.
/** Time to collect sub-requests for one relay message. */
constexpr Duration kRelayWindow = microseconds(500);
constexpr std::size_t kRelayBatchMax = 128;
constexpr Duration kRelayBackoff = seconds(1);
/** Initial limit of requests in flight to a server that is relayed to. */
constexpr std::uint32_t kInitialRelayLimit = 8;

} // namespace camphorfield
