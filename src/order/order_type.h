/** Identifiers, settings and records of the at-most-once orders. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"
#include "machine/caller_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/** Digest of caller name and idempotency key, under which the claim log stores
 * an order. */
struct KeyDigest
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): as for Id.
  constexpr auto operator<=>(const KeyDigest&) const = default;
};

/** Form of an idempotency key. */
enum class KeyKind : std::uint8_t
{
  None,      ///< No key was sent.
  Plain,     ///< Key with a time; claimed in the store before it runs.
  Token,     ///< Key issued by, and bound to, one incarnation of a daemon.
  Malformed, ///< Too long, or without a valid time.
  End        ///< Number of kinds.
};

/** Parsed idempotency key. */
struct ParsedKey
{
  KeyKind kind_ = KeyKind::None;
  std::int64_t unixMs_ = 0; ///< Time in the key.
  DaemonId issuer_;         ///< Tokens only.
  Incarnation incarnation_; ///< Tokens only.
};

/**
 * Rules that at-most-once execution depends on. All are on in production; the
 * mutation tests turn one off and expect the state search to find a violation.
 */
struct OrderGuards
{
  /** Dispatch only after the claim is stored. */
  bool claimBeforeDispatch_ = true;
  /** A write without reply may have failed. */
  bool lostReplyIsUnsure_ = true;
  /** Never overwrite another owner's head. */
  bool fenceByOwner_ = true;
  /** A loaded claim without outcome never reruns. */
  bool claimIsFinal_ = true;
  /** An abandoned claim is never dispatched. */
  bool abandonedIsFinal_ = true;
  /** No "not run" while a forward is open. */
  bool openForwardIsUnsure_ = true;
  /** Tokens end with the issuing incarnation. */
  bool tokenBoundToIncarnation_ = true;
  /** Only the issuer runs a token's order. */
  bool tokenRunsAtIssuerOnly_ = true;
  /** Keys expire by the stored floor, not the clock. */
  bool expiryByStoredFloor_ = true;
  /** Repeated forwards are detected. */
  bool forwardsDeduplicated_ = true;
  /** An unknown outcome is never retried. */
  bool unknownIsFinal_ = true;
  /** "Not run" requires a confirmed claim. */
  bool notRunNeedsProof_ = true;
  /** Concurrent requests for a key share one run. */
  bool sameKeyJoins_ = true;
  /** Each attempt stores a claim of its own. */
  bool claimPerAttempt_ = true;
};

/** Settings of the order package. The daemon's identity differs; the rest must
 * be equal on all daemons. */
struct OrderSettings
{
  /** Id of this daemon. */
  DaemonId self_;
  /** Name of this daemon. */
  std::string name_;
  /** Incarnation of this daemon. */
  Incarnation incarnation_;
  /** Failure domain of this daemon. */
  std::string failureDomain_;
  /** Prefix of all object keys in the store. */
  std::string prefix_ = "orders";
  /** Number of key ranges; must never change for a store. */
  std::uint32_t ranges_ = 16;
  /** How long a key stays valid. */
  Duration window_ = std::chrono::minutes(15);
  /** How far a key's time may be in the future. */
  Duration clockSkew_ = std::chrono::minutes(2);
  /** Deadline on routes without one. */
  Duration defaultDeadline_ = std::chrono::seconds(10);
  /** Longest deadline accepted with a forward. */
  Duration forwardDeadlineMax_ = std::chrono::minutes(5);
  /** Timeout of one store call. */
  Duration platformTimeout_ = std::chrono::seconds(2);
  /** Delay after the first store failure; doubles with each further one. */
  Duration backoffInitial_ = std::chrono::milliseconds(20);
  /** Longest delay after a store failure. */
  Duration backoffMax_ = std::chrono::seconds(2);
  /** Longest delay of outcome records, to batch them. */
  Duration outcomeDelay_ = std::chrono::milliseconds(50);
  /** Time for a live owner to release a range. */
  Duration takeoverGrace_ = std::chrono::milliseconds(300);
  /** Wait after a membership change before ranges move. */
  Duration rebalanceDelay_ = std::chrono::seconds(1);
  /** Longest wait of a release for running orders. */
  Duration releaseWait_ = std::chrono::milliseconds(500);
  /** Wait for outcome copies after a takeover. */
  Duration outcomeWait_ = std::chrono::seconds(2);
  /** Delay before a declined or undelivered forward is sent again. */
  Duration forwardRetry_ = std::chrono::milliseconds(50);
  /** Delay before an unanswered forward is resent; doubles each time. */
  Duration forwardRepeat_ = std::chrono::seconds(1);
  /** Part of the deadline reserved for the answer's way back. */
  Duration forwardMargin_ = std::chrono::milliseconds(20);
  /** How long to wait for a token's issuer to become known. */
  Duration issuerWait_ = std::chrono::seconds(2);
  /** How long a shutdown waits for an unreachable store. */
  Duration stopWait_ = std::chrono::seconds(5);
  /** Store writes of all daemons; shared equally. */
  std::uint32_t writesPerSecond_ = 240;
  /** Most store writes in one burst. */
  std::uint32_t writeBurst_ = 20;
  /** Most records in one append. */
  std::size_t batchRecords_ = 512;
  /** Head size from which records move to a segment. */
  std::size_t sealBytes_ = 49152;
  /** Most keys kept for one range. */
  std::size_t rangeEntries_ = 16384;
  /** Most tokens and keyless orders kept. */
  std::size_t tokenEntries_ = 65536;
  /** Most orders queued for a range. */
  std::size_t rangeQueueEntries_ = 1024;
  /** Most orders forwarded at a time. */
  std::size_t forwardEntries_ = 8192;
  /** Most outcome copies kept. */
  std::size_t copyEntries_ = 16384;
  /** Most received calls kept for a sender. */
  std::size_t receivedCallEntries_ = 4096;
  /** Largest answer stored; a larger one can't be replayed. */
  std::size_t answerBytes_ = 4096;
  OrderGuards guards_;
};

/** Counters and sizes. */
struct OrderStats
{
  std::uint64_t orders_ = 0;         ///< Orders received from callers.
  std::uint64_t claims_ = 0;         ///< Claims known to be stored.
  std::uint64_t platformWrites_ = 0; ///< Writes sent to the platform.
  std::uint64_t platformReads_ = 0;  ///< Reads sent to the platform.
  std::uint64_t batches_ = 0;        ///< Appends known to be stored.
  std::uint64_t forwarded_ = 0;      ///< Forwards sent to other daemons.
  std::uint64_t dispatched_ = 0;     ///< Dispatches.
  std::uint64_t unknown_ = 0;        ///< Answers with OUTCOME_UNKNOWN.
  std::uint64_t notRun_ = 0;         ///< Answers with a "not run" code.
  std::uint64_t refused_ = 0;  ///< Refusals that hold for one request only.
  std::uint64_t replayed_ = 0; ///< Answers replayed from a stored outcome.
  std::size_t entries_ = 0;    ///< Keys in memory.
  std::size_t copies_ = 0;     ///< Outcome copies in memory.
  std::size_t rangesHeld_ = 0; ///< Ranges owned.
};

/** Kind of a record in the claim log. */
enum class LogRecordKind : std::uint8_t
{
  Claim,   ///< The owner that appended it may run the order.
  Outcome, ///< Result of the claim before it.
  End      ///< Number of kinds.
};

/** Record of the claim log. */
struct LogRecord
{
  LogRecordKind kind_ = LogRecordKind::Claim;
  KeyDigest key_;
  std::int64_t unixMs_ = 0; ///< Time in the key.
  Fingerprint body_;        ///< Claims only: fingerprint of the content.
  ResultCode code_ = ResultCode::Ok; ///< Outcomes only.
  SharedText answer_;                ///< Outcomes only.
  std::uint32_t attempt_ = 0;        ///< In memory only: attempt of the claim.
};

/** Sealed part of the claim log. */
struct LogSegment
{
  std::string name_;            ///< Object key without the range's prefix.
  std::int64_t lastUnixMs_ = 0; ///< Latest key time in the segment.
  std::uint64_t version_ = 0;   ///< In memory only; zero if unknown.
};

/** Head object of a range's claim log. */
struct LogHead
{
  std::uint64_t epoch_ = 0; ///< Incremented by each takeover.
  DaemonId owner_;          ///< Daemon that may append.
  Incarnation incarnation_; ///< Incarnation of the owner.
  bool released_ = false;   ///< The owner has released the range.
  std::string batch_;       ///< Unique id of the write that made this version.
  std::int64_t floorUnixMs_ = 0; ///< Keys with an earlier time are expired.
  std::uint32_t ranges_ = 0;     ///< Number of key ranges when it was written.
  std::vector<LogSegment> segments_; ///< Oldest first.
  std::vector<LogRecord> records_;   ///< Oldest first.
};

} // namespace camphorfield
