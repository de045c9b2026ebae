/** Evidence that content crashes servers, collected by several daemons. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorfield {

/** Crashed servers and requests that suffice as evidence. */
constexpr std::size_t kServersToQuarantine = 3;
/** More than one, because one query is in flight on many servers, which may
 * crash together for another reason. */
constexpr std::size_t kRequestsToQuarantine = 2;
/** Moments at which servers crashed, for content that many requests share:
 * those in flight when servers crash together have one or two in common. */
constexpr std::size_t kMomentsToQuarantine = 3;
/** Distance at which two moments suffice: a loss of power, or of a network,
 * does not strike servers for so long. The servers of a service may all be down
 * between two series of tries, so that a third moment takes until the next. */
constexpr std::uint64_t kDistantMoments = 4;
/** Set in the moments of content that only equal requests share. Two crashes
 * suffice there that are more than one moment apart: a loss of power lasts less
 * and would otherwise condemn what one caller repeats. */
constexpr std::uint64_t kExactMoment = std::uint64_t{ 1 } << 62U;

/** One crash of a server. Times are Unix times in units of a moment. */
struct ServerCrash
{
  std::uint64_t server_ = 0;  ///< Hash of its incarnation.
  std::uint64_t request_ = 0; ///< Hash of the id of the request that it ran.
  std::uint64_t moment_ = 0;  ///< Zero: not known so exactly, or not required.
  std::uint64_t aliveAt_ = 0; ///< It had not crashed then; zero: unknown.
  std::uint64_t crashedBy_ = 0; ///< It had crashed then; zero: unknown.
};

/**
 * What is known of one content. Daemons exchange and join their evidence; the
 * result doesn't depend on the order, on repetition, or on which daemon has
 * seen what. A server that several daemons saw crash counts once.
 */
struct CrashEvidence
{
  /** Raised when an answer refutes the evidence; lower ones are obsolete. */
  std::uint32_t epoch_ = 0;
  /** Hashes of server incarnations that crashed: the smallest
   * kServersToQuarantine, ascending. */
  std::vector<std::uint64_t> servers_;
  /** Hashes of ids of requests that they ran: the smallest
   * kRequestsToQuarantine, ascending. */
  std::vector<std::uint64_t> requests_;
  /** Times of crashes: the smallest kMomentsToQuarantine, ascending; empty: not
   * required. */
  std::vector<std::uint64_t> moments_;
  /** The first of the crashes had happened by then; zero: unknown. */
  std::uint64_t firstCrashedBy_ = 0;
  /** The last of the servers had not crashed then; zero: unknown. */
  std::uint64_t lastAliveAt_ = 0;

  bool operator==(const CrashEvidence& aOther) const = default;
};

/** Adds one crash. */
void
AddCrash(CrashEvidence& aEvidence, const ServerCrash& aCrash);

/** Drops the evidence, also on daemons that receive this.
 * @return False when there was none. */
bool
RefuteEvidence(CrashEvidence& aEvidence);

/** Joins another daemon's evidence. @return False when nothing changed. */
bool
JoinEvidence(CrashEvidence& aInto, const CrashEvidence& aFrom);

/** Whether it says only since when a server is silent: a report of one daemon
 * to the others, see server_silence.cpp. Its times are in microseconds. */
bool
IsSilenceReport(const CrashEvidence& aEvidence);

/** Whether the evidence is on content that only equal requests share. */
bool
IsExact(const CrashEvidence& aEvidence);

/** Whether the content may be rejected. */
bool
IsConclusive(const CrashEvidence& aEvidence);

} // namespace camphorfield
