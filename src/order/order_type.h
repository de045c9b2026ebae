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

/** Digest of a caller's name and its key; what the claim log stores. */
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
  None,      ///< The caller sent no key.
  Plain,     ///< Key with a time, claimed in the store.
  Token,     ///< Key issued by, and bound to, one incarnation of a daemon.
  Malformed, ///< No readable time.
  End        ///< Number of kinds.
};

/** Idempotency key, taken apart. */
struct ParsedKey
{
  KeyKind kind_ = KeyKind::None;
  std::int64_t unixMs_ = 0; ///< Time in the key.
  DaemonId issuer_;         ///< Tokens only.
  Incarnation incarnation_; ///< Tokens only.
};

/**
 * Conditions that safety rests on. All are on in service; the mutation cases
 * of the tests switch one off and expect the search to find the fault.
 */
struct OrderGuards
{
  bool claimBeforeDispatch_ = true; ///< Dispatch follows a known append.
  bool lostReplyIsUnsure_ = true;   ///< A lost reply is not taken as written.
  bool fenceByOwner_ = true;        ///< A conflict is not written over.
  bool claimIsFinal_ = true;        ///< A claim without outcome never reruns.
  bool abandonedIsFinal_ = true;    ///< Told "not run": never dispatched.
  bool openForwardIsUnsure_ = true; ///< Open forwards rule out "not run".
  bool tokenBoundToIncarnation_ = true; ///< A token dies with its incarnation.
  bool tokenRunsAtIssuerOnly_ = true;   ///< No other daemon runs a token.
  bool expiryByStoredFloor_ = true;     ///< Expiry rests on the stored floor.
  bool forwardsDeduplicated_ = true;    ///< A repeated forward is recognised.
  bool unknownIsFinal_ = true;          ///< An unknown outcome is not retried.
  bool notRunNeedsProof_ = true;        ///< "Not run" needs a confirmed claim.
  bool sameKeyJoins_ = true;            ///< Concurrent requests share one run.
  bool claimPerAttempt_ = true;         ///< A new attempt needs a new claim.
};

/** Settings of the order package; equal on every daemon but for the self. */
struct OrderSettings
{
  DaemonId self_;                 ///< This daemon.
  std::string name_;              ///< Its name.
  Incarnation incarnation_;       ///< Its life.
  std::string failureDomain_;     ///< Where it runs.
  std::string prefix_ = "orders"; ///< Start of the keys in the store.
  std::uint32_t ranges_ = 16;     ///< Key ranges; fixed over the store's life.
  Duration window_ = std::chrono::minutes(15);   ///< Life of a key.
  Duration clockSkew_ = std::chrono::minutes(2); ///< Tolerated future of keys.
  Duration defaultDeadline_ = std::chrono::seconds(10);
  Duration forwardDeadlineMax_ = std::chrono::minutes(5); ///< Of a forward.
  Duration platformTimeout_ = std::chrono::seconds(2);
  Duration backoffInitial_ = std::chrono::milliseconds(20);
  Duration backoffMax_ = std::chrono::seconds(2);
  Duration outcomeDelay_ = std::chrono::milliseconds(50);   ///< Outcomes wait.
  Duration takeoverGrace_ = std::chrono::milliseconds(300); ///< Live owner.
  Duration rebalanceDelay_ = std::chrono::seconds(1);       ///< Views settle.
  Duration releaseWait_ = std::chrono::milliseconds(500);   ///< Running orders.
  Duration outcomeWait_ = std::chrono::seconds(2); ///< Copies after takeover.
  Duration forwardRetry_ = std::chrono::milliseconds(50);
  Duration forwardRepeat_ = std::chrono::seconds(1); ///< No answer: ask again.
  Duration forwardMargin_ = std::chrono::milliseconds(20); ///< Way back.
  Duration issuerWait_ = std::chrono::seconds(2); ///< Issuer not known yet.
  Duration stopWait_ = std::chrono::seconds(5);   ///< Store out while stopping.
  std::uint32_t writesPerSecond_ =
    240; ///< Writes of all daemons; each takes an equal part.
  std::uint32_t writeBurst_ = 20;
  std::size_t batchRecords_ = 512;         ///< Records in one append.
  std::size_t sealBytes_ = 49152;          ///< Head size that starts a segment.
  std::size_t rangeEntries_ = 16384;       ///< Keys kept for one range.
  std::size_t tokenEntries_ = 65536;       ///< Tokens kept.
  std::size_t rangeQueueEntries_ = 1024;   ///< Orders waiting for a range.
  std::size_t forwardEntries_ = 8192;      ///< Orders forwarded at a time.
  std::size_t copyEntries_ = 16384;        ///< Outcome copies kept.
  std::size_t receivedCallEntries_ = 4096; ///< Answered calls kept by sender.
  std::size_t answerBytes_ = 4096;         ///< Largest answer stored.
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
  std::uint64_t unknown_ = 0;        ///< Answers OUTCOME_UNKNOWN.
  std::uint64_t notRun_ = 0;         ///< Answers that say "not run".
  std::uint64_t refused_ = 0;        ///< Answers that refuse this request only.
  std::uint64_t replayed_ = 0;       ///< Outcomes told again.
  std::size_t entries_ = 0;          ///< Keys in memory.
  std::size_t copies_ = 0;           ///< Outcome copies in memory.
  std::size_t rangesHeld_ = 0;       ///< Ranges owned.
};

/** Kind of a record in the claim log. */
enum class LogRecordKind : std::uint8_t
{
  Claim,   ///< The key may be run by the owner that appended it.
  Outcome, ///< What became of the claim before it.
  End      ///< Number of kinds.
};

/** Record of the claim log. */
struct LogRecord
{
  LogRecordKind kind_ = LogRecordKind::Claim;
  KeyDigest key_;
  std::int64_t unixMs_ = 0;          ///< Time in the key.
  Fingerprint body_;                 ///< Claims: the order's content.
  ResultCode code_ = ResultCode::Ok; ///< Outcomes only.
  SharedText answer_;                ///< Outcomes only.
  std::uint32_t attempt_ = 0;        ///< In memory only.
};

/** Sealed part of the claim log. */
struct LogSegment
{
  std::string name_;            ///< Last part of its key in the store.
  std::int64_t lastUnixMs_ = 0; ///< Largest time of the keys within.
  std::uint64_t version_ = 0;   ///< In memory only: its version; zero: unknown.
};

/** Head object of a range's claim log. */
struct LogHead
{
  std::uint64_t epoch_ = 0;      ///< Rises with each change of owner.
  DaemonId owner_;               ///< Who may append.
  Incarnation incarnation_;      ///< The owner's life.
  bool released_ = false;        ///< The owner has handed the range over.
  std::string batch_;            ///< Names the write that made this version.
  std::int64_t floorUnixMs_ = 0; ///< Keys below it are expired for ever.
  std::uint32_t ranges_ = 0;     ///< Number of ranges of the layout.
  std::vector<LogSegment> segments_; ///< Oldest first.
  std::vector<LogRecord> records_;   ///< Oldest first.
};

} // namespace camphorfield
