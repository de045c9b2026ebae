/** State of membership: members, probes, gossip queues, sync and rumors. */
#pragma once

#include "core/rng_type.h"
#include "membership/membership_type.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** Another daemon and what is left to send about it. */
struct Member
{
  MemberRecord record_;
  /** When a suspect is declared dead or a tombstone is removed. */
  TimePoint deadline_ = kNever;
  std::uint8_t urgentSendsLeft_ = 0; ///< Sends left in the urgent queue.
  std::uint8_t slowSendsLeft_ = 0;   ///< Sends left in the slow queue.
  bool sendFull_ = false;            ///< Send the full record, not a brief one.
  bool hasOurRecord_ = false;        ///< Has our full record already.
  /** Failed a probe while this daemon was isolated; not gossiped. */
  bool suspectedLocally_ = false;
  std::uint32_t handedOut_ = 0; ///< Answers of ours that listed it first.
};

/** A ping that waits for its ack. */
struct Probe
{
  DaemonId target_;
  TimePoint sentAt_;
  TimePoint deadline_;
  bool indirect_ = false; ///< Helpers have been asked to ping the target.
};

/** A ping on behalf of another daemon. */
struct RelayedProbe
{
  DaemonId origin_;
  std::uint64_t originSequence_ = 0;
  DaemonId target_;
  TimePoint deadline_; ///< When it is dropped.
};

/** Smoothed round-trip time and its mean deviation, as in TCP. */
struct RoundTrip
{
  Duration smoothed_{};
  Duration variation_{};
};

/** How soon a rumor is sent. */
enum class RumorRank : std::uint8_t
{
  First,  ///< In bursts, with the whole budget.
  Second, ///< In bursts, within a part of the budget.
  Last,   ///< In pings and acks, within a part of the budget.
  End     ///< Number of ranks.
};

/** A rumor, its expiry and the sends left. */
struct KnownRumor
{
  Rumor rumor_;
  std::int64_t expiresUnixMicros_ = 0;
  std::uint8_t sendsLeft_ = 0;
  RumorRank rank_ = RumorRank::End;
};

/** Membership as one daemon sees it. Containers are ordered, so that a run can
 * be repeated from its seed. */
struct MembershipState
{
  MembershipSettings settings_;
  MemberRecord self_;
  std::map<DaemonId, Member> members_;        ///< Other daemons.
  std::vector<DaemonId> probeOrder_;          ///< Their ids, shuffled.
  std::map<std::string, DaemonId> byAddress_; ///< Peer address to member.
  std::set<DaemonId> suspects_;  ///< Members with a running deadline.
  std::set<DaemonId> dead_;      ///< Tombstones.
  std::uint64_t viewHash_ = 0;   ///< Of ids and states of live records.
  std::uint64_t rosterHash_ = 0; ///< Of ids and incarnations of the same.

  // Probing.
  std::uint64_t nextSequence_ = 1;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, RelayedProbe> relayedProbes_;
  std::map<std::string, RoundTrip> roundTrips_; ///< By failure domain.
  std::uint64_t probeRound_ = 0; ///< Number of gossip intervals so far.
  std::size_t probeCursor_ = 0;  ///< Position in probeOrder_.
  TimePoint lastEventAt_;
  TimePoint lastAckAt_;
  std::uint32_t failedSinceAck_ = 0;
  bool anySuspectedLocally_ = false; ///< For any member.
  std::uint32_t health_ = 0;

  // Dissemination.
  std::deque<DaemonId> urgentQueue_;
  std::deque<DaemonId> slowQueue_;
  bool burstPending_ = false;
  TimePoint lastBurstAt_;
  bool viewsDiffer_ = false; ///< The last message had another view hash.
  DaemonId recordRotation_;  ///< Last record sent in rotation, which repairs
                             ///< views that differ.
  std::vector<DaemonId> recordRequests_;
  std::map<std::uint64_t, KnownRumor> rumors_; ///< By hash of the subject.
  /** Keys of rumors to send, by rank. */
  std::array<std::deque<std::uint64_t>,
             static_cast<std::size_t>(RumorRank::End)>
    rumorQueues_;
  std::uint64_t rumorRotation_ = 0;
  Generation newestGeneration_;  ///< Largest known, of any member.
  TimePoint newestGenerationAt_; ///< When it became known here.
  std::int64_t gossipBudget_ = kMaxGossipBudget; ///< In bytes.
  std::int64_t syncBudget_ = kMaxSyncBudget;
  TimePoint budgetsRefilledAt_;

  // Joining.
  bool syncing_ = false;
  DaemonId syncAfter_;
  std::uint64_t syncSequence_ = 0; ///< Of the ping that requested the page.
  TimePoint syncRetryAt_ = kNever;
  TimePoint nextSyncAt_ = kNever; ///< Repeated then if views differ.
  Duration syncInterval_ = kMinSyncInterval;
  std::set<std::string> vmListAddresses_; ///< Unknown peer addresses.
  std::size_t joinCursor_ = 0;
  TimePoint nextJoinAt_;

  // The VM list.
  TimePoint nextVmListAt_;
  PlatformCallId vmListCall_; ///< Call in flight; zero: none.
  std::uint32_t vmListFailures_ = 0;

  // Load.
  std::uint32_t load_ = 0; ///< Per mille; advertised at intervals.
  TimePoint loadAdvertisedAt_;

  // Gossip timer, and the list given to other packages.
  TimePoint nextGossipAt_;
  bool membersChangedDue_ = true; ///< The list has changed.
  TimePoint membersEmittedAt_;
  std::shared_ptr<const std::vector<MemberRecord>> publishedMembers_;
  std::uint32_t selfHandedOut_ = 0;
  MembershipStats stats_;
};

} // namespace camphorfield
