/** State of membership. */
#pragma once

#include "core/rng_type.h"
#include "membership/membership_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** One other daemon. */
struct Member
{
  MemberRecord record_;
  TimePoint deadline_ = kNever; ///< Suspect: dead then. Dead: forgotten then.
  std::uint8_t urgentSendsLeft_ = 0; ///< Sends left in the urgent queue.
  std::uint8_t slowSendsLeft_ = 0;   ///< Sends left in the slow queue.
  bool sendWhole_ = false;        ///< Its news must be told as a whole record.
  bool hasOurRecord_ = false;     ///< It has our whole record.
  bool suspectedLocally_ = false; ///< Didn't answer while nobody answered us.
  std::uint32_t handedOut_ = 0;   ///< Times it was a caller's first entry.
};

/** A ping under way whose answer is awaited. */
struct Probe
{
  DaemonId target_;
  TimePoint sentAt_;
  TimePoint deadline_;
  bool indirect_ = false; ///< Helpers have been asked.
};

/** A ping on behalf of another daemon. */
struct RelayedProbe
{
  DaemonId origin_;
  std::uint64_t originSequence_ = 0;
  DaemonId target_;
  TimePoint deadline_; ///< Forgotten then.
};

/** Smoothed round-trip time, per failure domain. */
struct RoundTrip
{
  Duration smoothed_{};
  Duration variation_{};
};

/** A rumor and its spread. */
struct KnownRumor
{
  Rumor rumor_;
  std::int64_t expiresUnixMicros_ = 0;
  std::uint8_t sendsLeft_ = 0;
};

/** Gossip of one daemon. All containers have an order that is the same in
 * every run. */
struct MembershipState
{
  MembershipSettings settings_;
  MemberRecord self_;
  std::map<DaemonId, Member> members_;        ///< Without ourselves.
  std::vector<DaemonId> probeOrder_;          ///< The same, for random choice.
  std::map<std::string, DaemonId> byAddress_; ///< Peer address to member.
  std::set<DaemonId> suspects_;               ///< With a running deadline.
  std::set<DaemonId> dead_;                   ///< Tombstones.
  std::uint64_t viewHash_ = 0;   ///< Of the versions of all but the dead.
  std::uint64_t rosterHash_ = 0; ///< Of who they are.

  // Probing.
  std::uint64_t nextSequence_ = 1;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, RelayedProbe> relayedProbes_;
  std::map<std::string, RoundTrip> roundTrips_; ///< By failure domain.
  std::uint64_t probeRound_ = 0;                ///< Gossip intervals so far.
  std::size_t probeCursor_ = 0;                 ///< Position in order_.
  TimePoint lastEventAt_;
  TimePoint lastAckAt_;
  std::uint32_t failedSinceAck_ = 0;
  bool anySuspectedLocally_ = false; ///< Some member is doubted.
  std::uint32_t health_ = 0;

  // Dissemination.
  std::deque<DaemonId> urgentQueue_;
  std::deque<DaemonId> slowQueue_;
  bool burstPending_ = false;
  TimePoint lastBurstAt_;
  bool viewsDiffer_ = false; ///< The last message told of another view.
  DaemonId recordRotation_;  ///< Last record sent to mend differing views.
  std::vector<DaemonId> recordRequests_;
  std::map<std::uint64_t, KnownRumor> rumors_; ///< By what they are about.
  std::deque<std::uint64_t> rumorQueue_;
  std::uint64_t rumorRotation_ = 0;
  Generation newestGeneration_;  ///< Largest generation heard of.
  TimePoint newestGenerationAt_; ///< When it was heard of first.
  std::int64_t gossipBudget_ =
    kMaxGossipBudget; ///< Bytes that may be sent now.
  std::int64_t syncBudget_ = kMaxSyncBudget;
  TimePoint budgetsRefilledAt_;

  // Joining.
  bool syncing_ = false;
  DaemonId syncAfter_;
  std::uint64_t syncSequence_ = 0; ///< Ping that asked for the page.
  TimePoint syncRetryAt_ = kNever;
  TimePoint nextSyncAt_ = kNever; ///< Repeat it then, if views differ.
  Duration syncInterval_ = kMinSyncInterval;
  std::set<std::string> vmListAddresses_; ///< Addresses from the VM list.
  std::size_t joinCursor_ = 0;
  TimePoint nextJoinAt_;

  // The VM list.
  TimePoint nextVmListAt_;
  PlatformCallId vmListCall_; ///< Under way; zero: none.
  std::uint32_t vmListFailures_ = 0;

  // Load.
  std::uint32_t load_ = 0; ///< As set by the host; told at intervals.
  TimePoint loadAdvertisedAt_;

  // Own times and what was told to other packages.
  TimePoint nextGossipAt_;
  bool membersChangedDue_ = true; ///< MembersChanged is due.
  TimePoint membersEmittedAt_;
  std::shared_ptr<const std::vector<MemberRecord>> publishedMembers_;
  std::uint32_t selfHandedOut_ = 0;
  MembershipStats stats_;
};

} // namespace camphorfield
