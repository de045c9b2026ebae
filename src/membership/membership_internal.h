/** Parts of membership that are not offered to other packages. */
#pragma once

#include "machine/decision_type.h"
#include "membership/membership_base.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/** What one step of membership works with. */
struct MembershipStep
{
  MembershipState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
  bool fromSyncPage_ = false; ///< Records come from a page that was asked for:
                              ///< new to us, but no news to others.
};

/** Records and rumors that go into one message. */
struct GossipPayload
{
  std::vector<MemberRecord> members_;
  std::vector<Rumor> rumors_;
  std::size_t bytes_ = 0; ///< Estimate of the encoded size.
};

// merge.cpp: taking up what peers tell.

/** Whether a record takes the place of another of the same daemon. */
bool
Overrides(const MemberRecord& aNew, const MemberRecord& aOld);

/** Takes up a record told by a peer; of ourselves too. */
void
MergeRecord(MembershipStep& aStep, const MemberRecord& aRecord);

// view.cpp: what is known of each member.

/** Puts a whole record in place of a member's one. */
void
ReplaceRecord(MembershipStep& aStep, Member& aMember, MemberRecord aRecord);

/** Gives the own record another version. */
void
SetSelfVersion(MembershipState& aState,
               Incarnation aIncarnation,
               std::uint64_t aHeartbeat);

/** Suspects a member; its deadline starts. */
void
MarkSuspect(MembershipStep& aStep, Member& aMember, const char* aReason);

/** Declares a member dead; it becomes a tombstone. */
void
MarkDead(MembershipStep& aStep, Member& aMember, const char* aReason);

/** Drops tombstones that are old enough. */
void
RemoveExpiredTombstones(MembershipStep& aStep);

/** Member of this id, or null. */
Member*
FindMember(MembershipState& aState, DaemonId aId);

/** Members that are not dead, with this daemon. */
std::size_t
CountLive(const MembershipState& aState);

/** Raises the version of the own record and queues it. */
void
BumpSelfVersion(MembershipState& aState, bool aUrgent);

/** Changes the own state under a new version of the record. */
void
SetSelfState(MembershipState& aState, MemberState aNew);

/** Emits MembersChanged when it is due. */
void
EmitMembersChanged(MembershipStep& aStep);

/** When MembersChanged is due; kNever: nothing changed. */
TimePoint
NextMembersChangedAt(const MembershipState& aState);

/** Records an event of the time line about a member. */
void
RecordMemberEvent(MembershipStep& aStep,
                  TimelineKind aKind,
                  const MemberRecord& aRecord,
                  const char* aReason);

// probe.cpp: failure detection.

/** Starts the pings of one gossip interval. */
void
ProbeNextMember(MembershipStep& aStep);

/** Judges probes whose time is over, and suspects whose time is over. */
void
CheckProbeTimeouts(MembershipStep& aStep);

/** Takes up an answer to a probe of ours or to one on behalf of another. */
void
OnProbeAck(MembershipStep& aStep, DaemonId aFrom, const GossipAck& aAck);

/** Asks helpers for a target at once. */
void
OnProbeUnreachable(MembershipStep& aStep, DaemonId aTarget);

/** Pings a third daemon on behalf of another. */
void
RelayProbe(MembershipStep& aStep, DaemonId aFrom, const GossipProbe& aProbe);

/** Whether nobody answers us, so that we can't judge anybody. */
bool
IsIsolated(const MembershipState& aState, TimePoint aNow);

/** Finds out whether we stood still, and takes back what we can't judge. */
void
DetectPause(MembershipStep& aStep);

/** When the next probe has to be judged. */
TimePoint
NextProbeDeadline(const MembershipState& aState);

// payload.cpp: content of gossip messages.

/** Adds a record if it fits; true when it did or was there already. */
bool
AddRecord(GossipPayload& aPayload, MemberRecord aRecord, std::size_t aBudget);

/** The own record; whole for who may not know it. */
GossipPayload
StartPayload(const MembershipState& aState, const Member* aTo);

/** Fills a message up, the urgent first, within what may be sent now. */
void
FillPayload(MembershipStep& aStep, GossipPayload& aPayload, bool aUrgentOnly);

/** Queues a member's news. */
void
QueueRecord(MembershipState& aState,
            Member& aMember,
            bool aUrgent,
            bool aWhole);

/** Adds to what may be sent since the last time. */
void
RefillBudgets(MembershipState& aState, TimePoint aNow);

/** Sends left for one piece of news. */
std::uint8_t
RetransmitLimit(const MembershipState& aState, std::uint32_t aFactor);

/** Estimate of a record's encoded size in bytes. */
std::size_t
RecordBytes(const MemberRecord& aRecord);

/** The record without its texts. */
MemberRecord
BriefRecord(const MemberRecord& aRecord);

// gossip.cpp: sending.

/** Sends a ping; zero as sequence: no answer is wanted. */
void
SendPing(MembershipStep& aStep, Member& aTo, std::uint64_t aSequence);

/** Sends a ping to an address whose daemon is not known. */
void
SendPingToAddress(MembershipStep& aStep, const std::string& aAddress);

/** Answers a ping. */
void
SendAck(MembershipStep& aStep, DaemonId aTo, const GossipPing& aPing);

/** Answers on behalf of a third daemon that has answered us. */
void
SendRelayedAck(MembershipStep& aStep, const RelayedProbe& aRelayed);

/**
 * Sends a message.
 * @param aBytes Estimate of its encoded size.
 */
void
SendGossip(MembershipStep& aStep,
           DaemonId aTo,
           const std::string& aAddress,
           PeerBody aBody,
           std::size_t aBytes);

/** Tells urgent news to a few random members when it is time. */
void
SendBurst(MembershipStep& aStep);

/** When a burst is due; kNever: no urgent news. */
TimePoint
NextBurstAt(const MembershipState& aState);

/** A random member that is alive, or null. */
Member*
RandomMember(MembershipStep& aStep);

// adopted.cpp: who has the newest generation, in large fleets.

/** Whether messages tell it as a set, in place of single records. */
bool
SendsAdoptedSets(const MembershipState& aState, TimePoint aNow);

/** Notes the newest generation. */
void
UpdateNewestGeneration(MembershipState& aState,
                       Generation aGeneration,
                       TimePoint aNow);

/**
 * The set for a message.
 * @param aAsked The peer tells a set of its own.
 */
AdoptedSet
MakeAdoptedSet(MembershipStep& aStep, bool aIsReply);

/** Takes up a peer's set. */
void
MergeAdoptedSet(MembershipStep& aStep, const AdoptedSet& aSet);

// rumor.cpp

/** Takes up a rumor; true when it was news. */
bool
LearnRumor(MembershipStep& aStep, const Rumor& aRumor);

/** Adds rumors to a message. */
void
AddRumors(MembershipState& aState,
          GossipPayload& aPayload,
          std::size_t aBudget);

/** Drops rumors whose time is over. */
void
RemoveExpiredRumors(MembershipStep& aStep);

// join.cpp

/** Tries an address that may lead to members we don't know or have lost. */
void
TryJoin(MembershipStep& aStep);

/** Begins to fetch all records, page by page. */
void
StartSync(MembershipStep& aStep);

/** Fetches all records once more when views went on differing. */
void
RepeatSync(MembershipStep& aStep);

/** Asks for the next page when it is time. */
void
ContinueSync(MembershipStep& aStep);

/** Takes up the end of a page. */
void
OnSyncPage(MembershipStep& aStep, const GossipAck& aAck);

/**
 * Fills an answer with a page of whole records.
 * @return What GossipAck::syncNext_ has to say.
 */
DaemonId
FillSyncPage(MembershipStep& aStep, DaemonId aAfter, GossipPayload& aPayload);

// vmlist.cpp

/** Reads the VM list when it is this daemon's turn. */
void
ReadVmList(MembershipStep& aStep);

/** Takes up the reply. */
void
OnVmList(MembershipStep& aStep, const PlatformReply& aReply);

// entries.cpp

/** Answers which addresses a caller should use. */
EntriesAnswer
ChooseEntries(MembershipStep& aStep, const EntriesRequest& aRequest);

} // namespace camphorfield
