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
constexpr std::uint32_t kDownAfterFailures = 2; ///< Failed connects in a row.
constexpr Duration kOverCapPause = seconds(2);
constexpr Duration kConnectionMaxAge = seconds(300);
constexpr Duration kIdleUnverifiedAfter = seconds(5);
constexpr std::uint32_t kHomeQuotaDivisor = 2; ///< Views of homes may differ.
constexpr std::uint32_t kWarmConnections = 1;

// Health of servers.
constexpr Duration kServerMaintenanceInterval = milliseconds(250);
constexpr Duration kHealthInterval = seconds(2);
constexpr Duration kHealthIntervalNewVersion = milliseconds(200);
constexpr Duration kNewVersionWindow = seconds(30);
constexpr Duration kHealthTimeout = milliseconds(200);
constexpr Duration kLeavingProbeInterval = seconds(3);
constexpr Duration kMissingVersionTtl = seconds(2);
constexpr std::uint32_t kEjectAfterFailures = 5; ///< In a row.
constexpr Duration kEjectionFloor = milliseconds(500);
constexpr Duration kEjectionCeiling = seconds(30);
constexpr double kMaxEjectedShare = 0.5;  ///< Of a service, at most.
constexpr double kSlowFactor = 4.0;       ///< Against the service's others.
constexpr std::uint32_t kSlowSamples = 8; ///< Before latency may eject.
constexpr Duration kSlowMargin = milliseconds(5);
constexpr Duration kProbeInterval = milliseconds(100);
constexpr std::uint32_t kProbesToRestore = 3;
constexpr Duration kSlowStart = seconds(3);
constexpr double kSlowStartFactor = 3.0;
constexpr double kLatencyWeight = 0.2;            ///< Of a new sample.
constexpr Duration kLatencyHalfLife = seconds(5); ///< Halves after that.
constexpr Duration kDefaultLatency = milliseconds(2);
constexpr Duration kLoadReportTtl = seconds(2);
constexpr double kLoadReportWeight = 0.5; ///< Bias of a fresh full load.
constexpr double kReportBand = 1.15; ///< Scores so near are told by reports.
constexpr double kTieBand = 1.1;

// Attempts.
constexpr Duration kHedgeDelayFloor = milliseconds(1);
constexpr Duration kInitialHedgeDelay = milliseconds(50);
constexpr double kHedgeQuantileFloor = 0.90;
constexpr double kHedgeQuantileCeiling = 0.99;
constexpr double kHedgeBurst = 20.0;
constexpr double kRetryBurst = 500.0;
constexpr Duration kRetryMargin = milliseconds(2);
constexpr Duration kRefusedPause = milliseconds(5);
constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint32_t kMaxSilentAttempts =
  2; ///< Cut off before one may last.
constexpr Duration kProgressFloor = milliseconds(100);
constexpr Duration kProgressCeiling = seconds(2);
constexpr std::int64_t kProgressFactor = 4;    ///< Times the 99th percentile.
constexpr std::int64_t kStalledFactor = 3;     ///< Times the progress timeout.
constexpr std::int64_t kHomeTimeoutFactor = 2; ///< Times the progress timeout.
constexpr Duration kAnswerGrace = milliseconds(20);

// Limits.
constexpr double kLimitDecrease = 0.7;
constexpr Duration kLimitDecreasePause = milliseconds(50);
constexpr std::size_t kMaxBlockedTasks = 8;
constexpr Duration kInteractiveWindow = seconds(1);

// Requests that crash servers.
constexpr Duration kCrashWindow = milliseconds(300);
constexpr Duration kResetRetryDelay = milliseconds(20);
constexpr Duration kSuspectRetryDelay = milliseconds(300);
constexpr Duration kSuspectTtl = seconds(60);
constexpr Duration kPeerSuspectTtl = milliseconds(1500);
constexpr Duration kSuspectRetryHint = seconds(1);
constexpr Duration kQuarantineTtl = seconds(300);
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxSuspectsPerCrash = 16;
constexpr std::uint32_t kCrashesToQuarantine = 2;

// Queries.
constexpr Duration kAnswerMargin = milliseconds(2); ///< Answer that early.
constexpr std::int64_t kAnswerMarginDivisor = 20; ///< At most 1/20 of the time.
constexpr std::uint64_t kTraceSampleInterval = 64; ///< Queries traced in full.

// Relay through home daemons.
constexpr Duration kRelayWindow = microseconds(500);
constexpr std::size_t kRelayBatchMax = 128;
constexpr Duration kRelayBackoff = seconds(1);
constexpr std::uint32_t kInitialRelayLimit =
  8; ///< In flight to a server at first.

} // namespace camphorfield
