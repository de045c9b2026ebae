/** Evidence on content that crashes servers, kept in the platform's store. */
#pragma once

#include "core/crash_evidence.h"
#include "core/rng_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace camphorfield {

/** Contents in the store's object, which has up to 300 bytes for each. */
constexpr std::size_t kMaxStoredEvidence = 128;
/** Evidence is collected for this time, and up to as long again, before it is
 * written: one request crashes servers of all shards at once. */
constexpr Duration kEvidenceWriteDelay = std::chrono::milliseconds(250);
/** Least time between writes of one daemon. */
constexpr Duration kEvidenceWriteInterval = std::chrono::seconds(1);
/** Time in which the daemon that found evidence has written it, after which the
 * keeper looks whether it is there. */
constexpr Duration kEvidenceCheckDelay = std::chrono::seconds(5);
/** Starting daemons read within this time, not all at once. */
constexpr Duration kEvidenceReadSpread = std::chrono::seconds(1);
constexpr Duration kEvidenceBackoffFloor = std::chrono::milliseconds(250);
/** The same for the first read: until then known content crashes servers. */
constexpr Duration kEvidenceReadBackoffCeiling = std::chrono::seconds(2);
constexpr Duration kEvidenceBackoffCeiling = std::chrono::seconds(10);

/** Evidence on one content. */
struct StoredEvidence
{
  CrashEvidence evidence_;
  std::int64_t untilUnixMicros_ = 0; ///< Dropped then.
};

using EvidenceItems = std::map<std::uint64_t, StoredEvidence>;

enum class EvidenceOp : std::uint8_t
{
  Read,
  Create,
  Replace, ///< If the object has the revision.
  Delete,  ///< If the object has the revision.
  End      ///< Number of operations.
};

/** Call to the store. */
struct EvidenceCall
{
  EvidenceOp op_ = EvidenceOp::Read;
  std::uint64_t revision_ = 0;
  EvidenceItems items_; ///< Content to write.
};

enum class EvidenceStatus : std::uint8_t
{
  Ok,
  Conflict, ///< The object has another revision, or exists.
  Missing,  ///< There is no such object.
  Refused,  ///< Rejected by the store.
  Lost,     ///< No answer; a write may have been done.
  End       ///< Number of states.
};

/** Reply to a call. */
struct EvidenceReply
{
  EvidenceStatus status_ = EvidenceStatus::Lost;
  std::uint64_t revision_ = 0; ///< Of the object; zero: not stated, or none.
  EvidenceItems items_;        ///< Content of the object, if it was sent.
};

/** What this daemon knows of the evidence and of the store's object. */
struct EvidenceLog
{
  bool enabled_ = false;
  bool read_ = false; ///< The object has been read since the start.
  EvidenceItems known_;
  EvidenceItems stored_;       ///< Content of the object as last seen.
  std::uint64_t revision_ = 0; ///< Of the object; zero: there is none.
  bool outdated_ = false;      ///< The object is read before the next write.
  bool deletes_ = false;       ///< All in the object has expired.
  bool isKeeper_ = false;      ///< See NextEvidenceCall; as of the latest call.
  std::optional<EvidenceCall> call_; ///< In flight.
  TimePoint writeAt_ = kNever;
  TimePoint checkAt_ = kNever; ///< When the keeper reads the object again.
  TimePoint nextCallAt_{};
  std::uint32_t failures_ = 0; ///< Consecutive.
  std::uint64_t calls_ = 0;
  std::uint64_t failedCalls_ = 0;
};

/** Schedules the first read. */
EvidenceLog
MakeEvidenceLog(bool aEnabled, TimePoint aNow, Rng& aRng);

/**
 * Takes evidence that is to last.
 * @param aIsFinder This daemon has seen the crash, or its refutation, itself.
 */
void
RecordEvidence(EvidenceLog& aLog,
               std::uint64_t aFingerprint,
               const CrashEvidence& aEvidence,
               bool aIsFinder,
               const Now& aNow,
               Rng& aRng);

/** The store was restored from an older copy, which may lack evidence. */
void
RecheckEvidence(EvidenceLog& aLog, TimePoint aNow, Rng& aRng);

/**
 * Returns the call that is due, if any. No other is due until its reply.
 * @param aIsKeeper This daemon cares for what other daemons found.
 */
std::optional<EvidenceCall>
NextEvidenceCall(EvidenceLog& aLog, bool aIsKeeper, const Now& aNow);

/**
 * Handles the reply to the latest call.
 * @return Evidence that this daemon did not know.
 */
EvidenceItems
TakeEvidenceReply(EvidenceLog& aLog,
                  EvidenceReply&& aReply,
                  const Now& aNow,
                  Rng& aRng);

} // namespace camphorfield
