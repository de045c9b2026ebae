/** Settings, constants and statistics of membership. */
#pragma once

#include "core/time_type.h"
#include "machine/peer_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

using namespace std::chrono_literals;

// Failure detection.
constexpr Duration kGossipInterval = 200ms;    ///< One probe in each.
constexpr Duration kProbeTimeoutFloor = 250ms; ///< Shortest wait for an ack.
constexpr Duration kProbeTimeoutCap = 1s;      ///< Longest, at health zero.
/** From suspect to dead, in a fleet of up to 10 members. */
constexpr Duration kSuspicionTimeout = 2500ms;
constexpr Duration kPauseLimit = 700ms;       ///< A longer event gap: a pause.
constexpr Duration kIsolationAfter = 1500ms;  ///< Time without any ack.
constexpr Duration kIsolationLimit = 30s;     ///< Its end in small fleets.
constexpr std::uint32_t kIsolationProbes = 3; ///< Failed probes in a row.
constexpr std::size_t kIndirectProbes = 3;    ///< Helpers asked per target.
constexpr std::uint32_t kWorstHealth = 4;     ///< Upper bound; zero is best.

// Dissemination.
constexpr std::size_t kBurstFanout = 4;        ///< Receivers of a burst.
constexpr std::size_t kFullBurstMembers = 16;  ///< Up to here: all members.
constexpr Duration kBurstGap = 50ms;           ///< Least time between bursts.
constexpr std::uint32_t kRetransmitFactor = 3; ///< Sends for each log2(n).
constexpr std::size_t kSmallFleet = 128;       ///< Members; see docs.
constexpr std::size_t kMessageBytes = 2'400;   ///< Gossip message, estimated.
constexpr std::int64_t kGossipBytesPerSecond = 7'000; ///< Refills the budget.
constexpr std::int64_t kMaxGossipBudget = 32'000;     ///< Unused bytes kept.
constexpr std::size_t kSyncPageBytes = 8'000;         ///< Page of full records.
constexpr std::int64_t kSyncBytesPerSecond = 4'000;   ///< Refills the budget.
constexpr std::int64_t kMaxSyncBudget = 256'000;      ///< Unused bytes kept.
/** Random members named in place of a sync page that the budget refuses: the
 * few seeds can't send all records to each daemon of a fleet that starts. */
constexpr std::size_t kSyncReferrals = 8;
constexpr std::size_t kMaxRecordRequests = 64; ///< Pending, for full records.

// Joining, and merging again after a network partition.
constexpr Duration kJoinInterval = 2s;         ///< Between attempts.
constexpr Duration kJoinIntervalAlone = 400ms; ///< With no live member.
constexpr Duration kMinSyncInterval = 500ms;   ///< First wait; then doubled.
/** Least wait for each member: a sync reads all records, and in a large fleet
 * gossip brings the few that were missing at less cost. */
constexpr Duration kSyncIntervalPerMember = 8ms;
constexpr Duration kMaxSyncInterval = 60s;  ///< Longest wait.
constexpr Duration kSyncRetryDelay = 500ms; ///< Then another member is asked.
constexpr Duration kTombstone = 1h;         ///< Dead members are kept.
constexpr std::size_t kMaxMembers = 10'000; ///< Further ones are ignored.

// The platform's VM list.
constexpr Duration kVmListInterval = 5s;         ///< Length of a round.
constexpr std::size_t kVmListReaders = 2;        ///< Daemons per round.
constexpr Duration kVmListTimeout = 5s;          ///< Wait for the reply.
constexpr Duration kVmListGrace = 2s;            ///< After start: gossip first.
constexpr std::uint32_t kMaxVmListDoublings = 6; ///< After failures.
/** The list lags: it withdraws only rumors that are older than this. */
constexpr Duration kVmListLag = 30s;

// Rumors.
constexpr Duration kLeavingRumorLifetime = 1h; ///< From its time stamp.
constexpr std::size_t kMaxRumors = 4096;       ///< Further ones are ignored.

// Entries.
constexpr Duration kEntriesKeepFor = 10s; ///< A caller may cache an answer.
constexpr std::size_t kMaxEntries = 8;    ///< Addresses in an answer.

/** Own record, seeds and settings of membership. */
struct MembershipSettings
{
  MemberRecord self_; ///< Name, incarnation, addresses, failure domain.
  std::vector<std::string> seeds_; ///< Peer addresses to join through.
  Duration entriesKeepFor_ = kEntriesKeepFor; ///< Cache time of an answer.
};

/** Counters and gauges for metrics; counters never decrease. */
struct MembershipStats
{
  std::uint64_t pings_ = 0;          ///< Probes started.
  std::uint64_t burstMessages_ = 0;  ///< Messages sent in bursts.
  std::uint64_t indirectProbes_ = 0; ///< Probe requests sent to helpers.
  std::uint64_t suspicions_ = 0;     ///< Members suspected by this daemon.
  std::uint64_t deaths_ = 0;         ///< Members declared dead by this daemon.
  std::uint64_t refutations_ = 0;    ///< Claims about this daemon refuted.
  std::uint64_t pauses_ = 0;         ///< Pauses of this process.
  std::uint64_t nameConflicts_ = 0; ///< Records of another daemon of this name.
  std::uint64_t vmListCalls_ = 0;   ///< Reads of the VM list.
  std::uint64_t bytesSent_ = 0;     ///< Gossip sent, estimated size.
  std::uint64_t overBudget_ = 0;    ///< Bursts delayed for lack of budget.
  std::size_t alive_ = 0;    ///< Gauge: members alive, this one included.
  std::size_t suspect_ = 0;  ///< Gauge: suspected members.
  std::size_t dead_ = 0;     ///< Gauge: tombstones.
  std::uint32_t health_ = 0; ///< Gauge: local health, zero is best.
  bool isolated_ = false;    ///< Gauge: see IsIsolated().
};

} // namespace camphorfield
