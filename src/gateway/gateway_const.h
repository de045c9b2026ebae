/** Constants of the gateway; docs/PLATFORM-DESIGN.md gives the reasons. */
#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>

namespace camphorfield {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Answers.
/** Answer that much before the objective: two network trips to the caller. */
constexpr Duration kObjectiveMargin = milliseconds(9);
/** The same as a share of the objective. */
constexpr double kObjectiveMarginShare = 0.06;
/** Time of a core that the daemon needs for each shard's answer. */
constexpr Duration kShardCpuTime = std::chrono::microseconds(40);
/** The daemon's own load is averaged over about this time. */
constexpr Duration kCpuLoadHalfLife = seconds(1);
/** Answer that much before the caller's own deadline. */
constexpr Duration kDeadlineMargin = milliseconds(8);
/** Wait for an answer when neither caller nor route names one. */
constexpr Duration kDefaultDeadline = seconds(30);

/** The longest wait that callers name is forgotten after this time. */
constexpr Duration kCallerTimeoutTtl = seconds(10);

// Connections to backend servers.
constexpr Duration kBackendConnectTimeout = milliseconds(400);
constexpr Duration kReconnectFloor = milliseconds(40);
constexpr Duration kReconnectCeiling = milliseconds(1000);
/** A server that ends fresh connections has as many as it takes; more of them
 * would each cost it a slot for nothing. It is asked again after this time, and
 * up to twice that. */
constexpr Duration kConnectionLimitTtl = seconds(2);
/** A connection that the server ends so soon was one too many. */
constexpr Duration kFreshConnectionAge = milliseconds(700);
/** Share of a server's connections that all daemons together may hold. */
constexpr double kConnectionShare = 0.92;
/** Connections kept open beyond those in use: several requests arrive at a
 * time, and most of them go to servers of the own failure domain. */
constexpr std::uint32_t kSpareSameDomain = 2;
constexpr std::uint32_t kSpareOtherDomain = 1;
/** Idle connections are closed that much before the server does. */
constexpr Duration kKeepAliveMargin = milliseconds(500);
/** Life of an idle connection when the server names none. */
constexpr Duration kDefaultKeepAlive = seconds(20);
/** One that silently holds a request this long is dead, at the least. */
constexpr Duration kSilenceFloor = milliseconds(700);
/** The same as a multiple of the route's 99th percentile. */
constexpr double kSilenceFactor = 4.0;

// Choice of a server.
constexpr double kLatencyGain = 0.25; ///< Weight of a new sample.
constexpr Duration kLatencyRatioHalfLife = seconds(3); ///< Halves after that.
constexpr Duration kReportedLoadHalfLife =
  milliseconds(250); ///< Halves after that.
/** The same for the speed that a server reports: it changes many times a
 * second. */
constexpr Duration kSlownessHalfLife = milliseconds(100);
constexpr Duration kDefaultLatency = milliseconds(20);
constexpr double kLatencyRatioFloor = 0.3;
constexpr double kLatencyRatioCeiling = 30.0;
constexpr double kFailureGain = 0.2;
constexpr Duration kFailureHalfLife = seconds(2); ///< Halves after that.
constexpr double kFailureWeight = 4.0;
constexpr double kWarmupFactor = 1.6;
/** Detour that same-domain servers are worth, as a share of the usual time. */
constexpr double kOtherDomainWeight = 1.5;
/** A request that takes this many times the usual time tells of a pause. */
constexpr double kStallFactor = 2.0;
constexpr std::uint32_t kFailuresToEject = 3; ///< In a row.
constexpr Duration kEjectionFloor = milliseconds(500);
constexpr Duration kEjectionCeiling = seconds(4);

// Limits of one daemon on one server.
constexpr double kLimitStart = 4.0;
constexpr double kLimitFloor = 1.0;
constexpr double kLimitCeiling = 64.0;
constexpr double kLimitDecrease = 0.7;
constexpr Duration kLimitPause = milliseconds(100); ///< Between decreases.

// Hedges and retries.
constexpr double kHedgeQuantile = 0.9;
constexpr double kHedgeMedianFactor = 1.6; ///< Not before that many medians.
constexpr Duration kHedgeFloor = milliseconds(3);
constexpr std::uint32_t kSamplesToHedge = 30;
constexpr Duration kDefaultHedgeDelay =
  milliseconds(60);                    ///< With fewer samples.
constexpr std::uint32_t kMaxSends = 5; ///< For one shard, not run included.
constexpr std::uint32_t kMaxRuns = 3; ///< The same, of those that may have run.
constexpr std::size_t kBudgetBuckets = 20;
/** Share of the platform's bounds on extra requests that is used. */
constexpr double kBudgetUse = 0.8;

// Admission.
constexpr double kWindowStart = 64.0;
constexpr double kWindowFloor = 1.0;
constexpr double kWindowCeiling = 1000.0;
constexpr double kWindowIncrease = 0.25;
constexpr double kWindowDecrease = 0.8;
/** Requests that take longer than this share of the objective until enough
 * shards have answered show that servers are short of room. */
constexpr double kPressureShare = 0.6;
constexpr double kWindowPressureDecrease = 0.85;
constexpr Duration kRetryAfterFloor = milliseconds(30);
constexpr Duration kRetryAfterNotReady = milliseconds(300);

// Content that crashes servers.
constexpr std::uint32_t kCrashesToQuarantine = 3; ///< Servers, by all daemons.
constexpr Duration kCrashWindow = milliseconds(600);
constexpr Duration kSuspectLife = seconds(300);
constexpr std::size_t kMaxSuspects = 1024;

/** Interval of routine care for servers and connections. */
constexpr Duration kMaintenanceInterval = milliseconds(100);

} // namespace camphorfield
