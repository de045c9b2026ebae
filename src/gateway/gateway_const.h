/** Constants of the gateway; docs/PLATFORM-DESIGN.md gives the reasons. */
#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>

namespace camphorfield {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Answers.
/** Answers are sent this long before the objective: two network trips to the
 * caller. */
constexpr Duration kObjectiveMargin = milliseconds(9);
/** Further margin, as a share of the objective. */
constexpr double kObjectiveMarginShare = 0.06;
/** Processor time that the daemon needs for the answer of one shard. */
constexpr Duration kShardCpuTime = std::chrono::microseconds(40);
/** Half-life of the moving average of the daemon's processor load. */
constexpr Duration kCpuLoadHalfLife = seconds(1);
/** Answers are sent this long before the caller's own deadline. */
constexpr Duration kDeadlineMargin = milliseconds(8);
/** Deadline when neither the caller nor the route sets a timeout. */
constexpr Duration kDefaultDeadline = seconds(30);

/** The longest timeout seen from callers is dropped after this time. */
constexpr Duration kCallerTimeoutTtl = seconds(10);

// Connections to backend servers.
constexpr Duration kBackendConnectTimeout = milliseconds(400);
constexpr Duration kReconnectFloor = milliseconds(40);
constexpr Duration kReconnectCeiling = milliseconds(1000);
/** A server that closes fresh connections has reached its limit, and each
 * further one would cost it a slot for nothing. The limit that was learned so
 * expires after once to twice this time. */
constexpr Duration kConnectionLimitTtl = seconds(2);
/** A connection closed within this age was above the server's limit. */
constexpr Duration kFreshConnectionAge = milliseconds(700);
/** Share of a server's connections that all daemons together may use. */
constexpr double kConnectionShare = 0.92;
/** Connections kept open beyond those in use, because requests arrive in
 * bursts. Most requests go to servers of the same failure domain. */
constexpr std::uint32_t kSpareSameDomain = 2;
constexpr std::uint32_t kSpareOtherDomain = 1;
/** Idle connections are closed this long before the server would. */
constexpr Duration kKeepAliveMargin = milliseconds(500);
/** Idle timeout when the server states none. */
constexpr Duration kDefaultKeepAlive = seconds(20);
/** Least time without an answer after which a connection counts as dead. */
constexpr Duration kSilenceFloor = milliseconds(700);
/** The same as a multiple of the route's 99th percentile latency. */
constexpr double kSilenceFactor = 4.0;

/** An attempt that must not be cancelled is given up this long after the
 * deadline that its server was told. */
constexpr Duration kAbandonGrace = seconds(1);

// Choice of a server.
constexpr double kLatencyGain = 0.25; ///< Weight of a new sample.
constexpr Duration kLatencyRatioHalfLife = seconds(3);
constexpr Duration kReportedLoadHalfLife = milliseconds(250);
/** Shorter: the slowness that servers report changes many times a second. */
constexpr Duration kSlownessHalfLife = milliseconds(100);
/** Of routes without an objective, before the first answer. */
constexpr Duration kDefaultLatency = milliseconds(20);
constexpr double kLatencyRatioFloor = 0.3;
constexpr double kLatencyRatioCeiling = 30.0;
constexpr double kFailureGain = 0.2;
constexpr Duration kFailureHalfLife = seconds(2);
constexpr double kFailureWeight = 4.0;
constexpr double kWarmupFactor = 1.6;
/** Penalty of servers in other failure domains, in median latencies. */
constexpr double kOtherDomainWeight = 1.5;
/** A request that takes this many times the expected time indicates a pause
 * of its server. */
constexpr double kStallFactor = 2.0;
/** Penalty of a server to which a connection would be opened first: its
 * handshake takes 6 ms of a slot, and the request waits for it. */
constexpr Duration kConnectPenalty = milliseconds(12);
constexpr std::uint32_t kFailuresToEject = 3; ///< Consecutive.
constexpr Duration kEjectionFloor = milliseconds(500);
constexpr Duration kEjectionCeiling = seconds(4);

// Concurrency limit of one daemon on one server.
constexpr double kLimitStart = 4.0;
constexpr double kLimitFloor = 1.0;
constexpr double kLimitCeiling = 64.0;
constexpr double kLimitDecrease = 0.7;
/** Least time between decreases. */
constexpr Duration kLimitPause = milliseconds(100);

/** A server that said it leaves is remembered for this time; its entry in the
 * store is gone long before. */
constexpr Duration kLeavingTtl = seconds(600);
/** Pauses and limits of servers without an entry are kept for this time. */
constexpr Duration kGuidanceTtl = seconds(60);
/** Least time between log lines on what servers say of themselves and can't be
 * read. */
constexpr Duration kMalformedGuidanceLogInterval = seconds(5);
/** Requests to a server return after its pause spread over this share of it. */
constexpr double kPauseJitterShare = 0.1;

// Hedges and retries.
constexpr double kHedgeQuantile = 0.9;
constexpr double kHedgeMedianFactor = 1.6; ///< Least delay, in medians.
constexpr Duration kHedgeFloor = milliseconds(3);
constexpr std::uint32_t kSamplesToHedge = 30;
/** Hedge delay with fewer samples, on routes without an objective. */
constexpr Duration kDefaultHedgeDelay = milliseconds(60);
/** Sends per shard, including those that did not run. */
constexpr std::uint32_t kMaxSends = 5;
/** Sends per shard that may have run. */
constexpr std::uint32_t kMaxRuns = 3;
constexpr std::size_t kBudgetBuckets = 20;
/** Share of the platform's limit on extra requests that is used. */
constexpr double kBudgetUse = 0.8;

// Admission.
constexpr double kWindowStart = 64.0;
constexpr double kWindowFloor = 1.0;
constexpr double kWindowCeiling = 1000.0;
constexpr double kWindowIncrease = 0.25;
constexpr double kWindowDecrease = 0.8;
/** The window shrinks when enough shards took longer than this share of the
 * objective to answer: the servers are close to their capacity. */
constexpr double kPressureShare = 0.6;
constexpr double kWindowPressureDecrease = 0.85;
constexpr Duration kRetryAfterFloor = milliseconds(30);
constexpr Duration kRetryAfterNotReady = milliseconds(300);
/** When all servers of a shard are evacuated. The end is not known; evacuations
 * last for many seconds, and each further request would be rejected too. */
constexpr Duration kRetryAfterEvacuated = seconds(1);

// Content that crashes servers.
/** Time after a broken connection in which it may turn out that its server has
 * crashed: the platform drops a silent server's entry after some seconds. */
constexpr Duration kCrashWindow = seconds(6);
/** The same after an attempt without an answer. The server's fate is known when
 * its entry lapses or it starts again, which takes longer while the store is
 * unavailable; a server that still runs answers another request before. */
constexpr Duration kSilentCrashWindow = seconds(20);
/** Silence of a server after which it counts as crashed under content that has
 * crashed many; longer than servers pause. */
constexpr Duration kSuspectSilence = milliseconds(400);
/** Time after which the entry of a server that has started again is known. */
constexpr Duration kRestartNotice = seconds(2);
/** Reports of silent servers that a daemon sends in a second: where a network
 * fails, all servers are silent. */
constexpr std::uint32_t kMaxSilenceReports = 8;
/** Reports on one server that are remembered. */
constexpr std::size_t kMaxReportsOfServer = 16;
/** Servers with such reports. */
constexpr std::size_t kMaxSilentServers = 256;
/** Clocks of daemons may differ by this. */
constexpr Duration kClockTolerance = milliseconds(500);
/** Attempts without an answer that are remembered for as long. */
constexpr std::size_t kMaxLostAttempts = 1024;
constexpr Duration kSuspectTtl = seconds(300);
/** The same for evidence on what many requests share: a wrong quarantine
 * concerns more callers. */
constexpr Duration kSharedSuspectTtl = seconds(60);
constexpr std::size_t kMaxSuspects = 1024;
/** Time after new evidence in which other content is likely to crash servers,
 * too: callers send such requests in series of many seconds. */
constexpr Duration kCrashWaveTime = seconds(10);
/** Crashed servers under one content with which such a time begins. */
constexpr std::size_t kServersOfWave = 2;
/** Usual latencies that must be left before the objective for asking one shard
 * before the others. */
constexpr int kLatenciesToProbe = 4;

/** Interval of the periodic maintenance of connections. */
constexpr Duration kMaintenanceInterval = milliseconds(100);

/** Wait for a connection to become idle when all are in use. */
constexpr Duration kDescriptorRetryDelay = milliseconds(5);

} // namespace camphorfield
