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
constexpr Duration kGossipInterval = 200ms;    ///< One ping in each.
constexpr Duration kProbeTimeoutFloor = 250ms; ///< Least wait for an answer.
constexpr Duration kProbeTimeoutCap = 1s;      ///< Most, in good health.
constexpr Duration kSuspicionTimeout = 2500ms; ///< Suspect to dead, 10 members.
constexpr Duration kPauseLimit = 700ms;       ///< A longer gap: we stood still.
constexpr Duration kIsolationAfter = 1500ms;  ///< No answer from anybody.
constexpr Duration kIsolationLimit = 30s;     ///< Small fleets judge again.
constexpr std::uint32_t kIsolationProbes = 3; ///< Failed probes in a row.
constexpr std::size_t kIndirectProbes = 3;    ///< Helpers asked.
constexpr std::uint32_t kWorstHealth = 4;     ///< Worst local health.

// Dissemination.
constexpr std::size_t kBurstFanout = 4;        ///< Targets of urgent news.
constexpr std::size_t kFullBurstMembers = 16;  ///< Fewer: tell all at once.
constexpr Duration kBurstGap = 50ms;           ///< Between two bursts.
constexpr std::uint32_t kRetransmitFactor = 3; ///< Sends for each log2(n).
constexpr std::size_t kSmallFleet = 128;       ///< Members; see docs.
constexpr std::size_t kMessageBytes = 2'400;   ///< Gossip message, estimated.
constexpr std::int64_t kGossipBytesPerSecond = 7'000; ///< News sent, at most.
constexpr std::int64_t kMaxGossipBudget = 32'000;     ///< Saved up while quiet.
constexpr std::size_t kSyncPageBytes = 8'000;       ///< Page of whole records.
constexpr std::int64_t kSyncBytesPerSecond = 4'000; ///< Pages sent, at most.
constexpr std::int64_t kMaxSyncBudget = 256'000;    ///< Saved up while quiet.
constexpr std::size_t kMaxRecordRequests = 64; ///< Records to be asked for.

// Joining, and coming together again after a cut.
constexpr Duration kJoinInterval = 2s;         ///< Try a dead or new address.
constexpr Duration kJoinIntervalAlone = 400ms; ///< The same while alone.
constexpr Duration kMinSyncInterval =
  500ms; ///< First repetition; then twice that.
constexpr Duration kMaxSyncInterval = 60s;  ///< Longest wait for a repetition.
constexpr Duration kSyncRetryDelay = 500ms; ///< Ask another for the page.
constexpr Duration kTombstone = 1h;         ///< Dead members are kept.
constexpr std::size_t kMaxMembers = 10'000; ///< Further ones are ignored.

// The platform's VM list.
constexpr Duration kVmListInterval = 5s;         ///< One round of reading.
constexpr std::size_t kVmListReaders = 2;        ///< Readers in a round.
constexpr Duration kVmListTimeout = 5s;          ///< Reply awaited.
constexpr Duration kVmListGrace = 2s;            ///< Peers may tell us first.
constexpr std::uint32_t kMaxVmListDoublings = 6; ///< Doublings after failures.
constexpr Duration kVmListLag = 30s;             ///< Age before withdrawal.

// Rumors.
constexpr Duration kLeavingRumorLifetime = 1h; ///< Leaving rumors are kept.
constexpr std::size_t kMaxRumors = 4096;       ///< Further ones are ignored.

// Entries.
constexpr Duration kEntriesKeepFor = 10s; ///< A caller may keep them.
constexpr std::size_t kMaxEntries = 8;    ///< Addresses in an answer.

/** What a daemon is told about itself and its peers. */
struct MembershipSettings
{
  MemberRecord self_; ///< Name, incarnation, addresses, failure domain.
  std::vector<std::string> seeds_; ///< Peer addresses to join through.
  Duration entriesKeepFor_ = kEntriesKeepFor; ///< A caller may keep them.
};

/** Counters for metrics; all but the gauges only rise. */
struct MembershipStats
{
  std::uint64_t pings_ = 0;          ///< Pings sent, bursts left out.
  std::uint64_t burstMessages_ = 0;  ///< Urgent messages sent.
  std::uint64_t indirectProbes_ = 0; ///< Helpers asked.
  std::uint64_t suspicions_ = 0;     ///< Members suspected by this daemon.
  std::uint64_t deaths_ = 0;         ///< Members declared dead by this daemon.
  std::uint64_t refutations_ = 0;    ///< Suspicions of itself denied.
  std::uint64_t pauses_ = 0;         ///< Times that this daemon stood still.
  std::uint64_t nameConflicts_ = 0;  ///< Another daemon uses the same name.
  std::uint64_t vmListCalls_ = 0;    ///< Platform calls.
  std::uint64_t bytesSent_ = 0;      ///< Gossip sent, estimated.
  std::uint64_t overBudget_ = 0;     ///< Bursts put off for want of bytes.
  std::size_t alive_ = 0;            ///< Gauge: members alive, with itself.
  std::size_t suspect_ = 0;          ///< Gauge: suspected members.
  std::size_t dead_ = 0;             ///< Gauge: tombstones.
  std::uint32_t health_ = 0;         ///< Gauge: local health, zero is best.
  bool isolated_ = false;            ///< Gauge: nobody answers.
};

} // namespace camphorfield
