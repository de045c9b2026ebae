/** Functions that only the sources of membership use. */
#pragma once

#include "machine/decision_type.h"
#include "membership/membership_base.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/** Arguments of one step of membership. */
struct MembershipStep
{
  MembershipState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
  bool fromSyncPage_ = false; ///< Records come from a sync page: the others
                              ///< have them, so they are not queued.
};

/** Records and rumors of one gossip message. */
struct GossipPayload
{
  std::vector<MemberRecord> members_;
  std::vector<Rumor> rumors_;
  std::size_t bytes_ = 0; ///< Estimate of the encoded size.
};

// merge.cpp: records from peers.

/** Whether a record supersedes another of the same daemon. */
bool
Overrides(const MemberRecord& aNew, const MemberRecord& aOld);

/** Merges a record from a peer, also one about this daemon. */
void
MergeRecord(MembershipStep& aStep, const MemberRecord& aRecord);

// view.cpp: members and their states.

/** Replaces a member's record by another full one. */
void
ReplaceRecord(MembershipStep& aStep, Member& aMember, MemberRecord aRecord);

/** Sets the version of the own record. */
void
SetSelfVersion(MembershipState& aState,
               Incarnation aIncarnation,
               std::uint64_t aHeartbeat);

/** Marks a member as suspect and starts its deadline. */
void
MarkSuspect(MembershipStep& aStep, Member& aMember, const char* aReason);

/** Declares a member dead and keeps it as a tombstone. */
void
MarkDead(MembershipStep& aStep, Member& aMember, const char* aReason);

/** Removes tombstones older than kTombstone. */
void
RemoveExpiredTombstones(MembershipStep& aStep);

/** Member with this id, or null. */
Member*
FindMember(MembershipState& aState, DaemonId aId);

/** Number of members that are not dead, this daemon included. */
std::size_t
CountLive(const MembershipState& aState);

/** Raises the version of the own record; an urgent change makes a burst due. */
void
BumpSelfVersion(MembershipState& aState, bool aUrgent);

/** Sets whether this daemon serves callers and reads the store, and makes a
 * burst due. */
void
SetSelfStatus(MembershipState& aState, bool aReady, bool aReadsStore);

/** Sets the own state and raises the version of the record. */
void
SetSelfState(MembershipState& aState, MemberState aNew);

/** Emits MembersChanged when it is due. */
void
EmitMembersChanged(MembershipStep& aStep);

/** When MembersChanged is due; kNever: nothing changed. */
TimePoint
NextMembersChangedAt(const MembershipState& aState);

/** Records an event about a member in the time line. */
void
RecordMemberEvent(MembershipStep& aStep,
                  TimelineKind aKind,
                  const MemberRecord& aRecord,
                  const char* aReason);

// probe.cpp: failure detection.

/** Starts the probe of one gossip interval. */
void
ProbeNextMember(MembershipStep& aStep);

/** Handles probes and suspicions whose deadline has passed. */
void
CheckProbeTimeouts(MembershipStep& aStep);

/** Handles the ack of an own probe or of a relayed one. */
void
OnProbeAck(MembershipStep& aStep, DaemonId aFrom, const GossipAck& aAck);

/** Asks helpers at once to ping an unreachable target. */
void
OnProbeUnreachable(MembershipStep& aStep, DaemonId aTarget);

/** Pings a third daemon on behalf of another. */
void
RelayProbe(MembershipStep& aStep, DaemonId aFrom, const GossipProbe& aProbe);

/** Whether no member answers, so that a failed probe proves nothing. */
bool
IsIsolated(const MembershipState& aState, TimePoint aNow);

/** Detects a pause of this process; drops probes that were pending and extends
 * suspicions. */
void
DetectPause(MembershipStep& aStep);

/** Deadline of the next pending probe. */
TimePoint
NextProbeDeadline(const MembershipState& aState);

// payload.cpp: content of gossip messages.

/** Adds a record if it fits the budget; true if added or already there. */
bool
AddRecord(GossipPayload& aPayload, MemberRecord aRecord, std::size_t aBudget);

/**
 * Makes a payload with the own record: full, unless the receiver has it.
 * @param aTo Receiver; null: not known.
 */
GossipPayload
StartPayload(const MembershipState& aState, const Member* aTo);

/** Adds rumors, then queued records, urgent ones first, within the budget. */
void
FillPayload(MembershipStep& aStep, GossipPayload& aPayload, bool aUrgentOnly);

/** Queues a member's record to be sent; an urgent one makes a burst due. */
void
QueueRecord(MembershipState& aState, Member& aMember, bool aUrgent, bool aFull);

/** Adds the bytes earned since the last refill to both budgets. */
void
RefillBudgets(MembershipState& aState, TimePoint aNow);

/** Number of sends of one record or rumor. */
std::uint8_t
RetransmitLimit(const MembershipState& aState, std::uint32_t aFactor);

/** Estimate of a record's encoded size in bytes. */
std::size_t
RecordBytes(const MemberRecord& aRecord);

/** The record without its name, addresses and failure domain. */
MemberRecord
BriefRecord(const MemberRecord& aRecord);

// gossip.cpp: messages to peers.

/** Sends a ping; with a sequence of zero it is not answered. */
void
SendPing(MembershipStep& aStep, Member& aTo, std::uint64_t aSequence);

/** Sends a ping to the address of an unknown daemon. */
void
SendPingToAddress(MembershipStep& aStep, const std::string& aAddress);

/** Answers a ping. */
void
SendAck(MembershipStep& aStep, DaemonId aTo, const GossipPing& aPing);

/** Forwards the ack of a relayed probe to the daemon that asked for it. */
void
SendRelayedAck(MembershipStep& aStep, const RelayedProbe& aRelayed);

/**
 * Sends a message and counts its bytes.
 * @param aBytes Estimate of its encoded size.
 */
void
SendGossip(MembershipStep& aStep,
           DaemonId aTo,
           const std::string& aAddress,
           PeerBody aBody,
           std::size_t aBytes);

/** Sends urgent records to kBurstFanout random members, or to all in a small
 * fleet, when a burst is due. */
void
SendBurst(MembershipStep& aStep);

/** When the next burst is due; kNever if none is pending. */
TimePoint
NextBurstAt(const MembershipState& aState);

/** A random member that is alive, or null. */
Member*
RandomMember(MembershipStep& aStep);

// adopted.cpp: members that have the newest generation, in large fleets.

/** Whether messages carry a set in place of single records. */
bool
SendsAdoptedSets(const MembershipState& aState, TimePoint aNow);

/** Updates the largest known generation. */
void
UpdateNewestGeneration(MembershipState& aState,
                       Generation aGeneration,
                       TimePoint aNow);

/**
 * The set for a message.
 * @param aIsReply Answers a message that had a set: then a complete one is sent
 * too.
 */
AdoptedSet
MakeAdoptedSet(MembershipStep& aStep, bool aIsReply);

/** Merges a peer's set. */
void
MergeAdoptedSet(MembershipStep& aStep, const AdoptedSet& aSet);

// rumor.cpp: rumors of leaving servers and quarantined content.

/** Stores and queues a rumor; true if it was new or changed the known one. */
bool
LearnRumor(MembershipStep& aStep, const Rumor& aRumor);

/** Adds the queued rumors of a rank. */
void
AddRumors(MembershipState& aState,
          GossipPayload& aPayload,
          RumorRank aRank,
          std::size_t aBudget);

/** Adds the next rumor in rotation, for daemons that missed or never had it. */
void
AddRotatedRumor(MembershipState& aState,
                GossipPayload& aPayload,
                std::size_t aBudget);

/** Removes expired rumors. */
void
RemoveExpiredRumors(MembershipStep& aStep);

// join.cpp: first contact and sync of full records.

/** Pings an address of an unknown or dead member when an attempt is due. */
void
TryJoin(MembershipStep& aStep);

/** Starts a sync: fetches all records, page by page. */
void
StartSync(MembershipStep& aStep);

/** Starts another sync when it is due and views still differ. */
void
RepeatSync(MembershipStep& aStep);

/** Requests the next page when it is due. */
void
ContinueSync(MembershipStep& aStep);

/** Handles the ack with a page: requests the next one or ends the sync. */
void
OnSyncPage(MembershipStep& aStep, const GossipAck& aAck);

/**
 * Adds a page of full records.
 * @return Value of GossipAck::syncNext_.
 */
DaemonId
FillSyncPage(MembershipStep& aStep, DaemonId aAfter, GossipPayload& aPayload);

// vmlist.cpp: the platform's VM list.

/** Requests the VM list if this daemon is a reader of the round. */
void
ReadVmList(MembershipStep& aStep);

/** Handles the reply. */
void
OnVmList(MembershipStep& aStep, const PlatformReply& aReply);

// entries.cpp: addresses for callers.

/** Chooses the addresses that a caller should use. */
EntriesAnswer
ChooseEntries(MembershipStep& aStep, const EntriesRequest& aRequest);

} // namespace camphorfield
