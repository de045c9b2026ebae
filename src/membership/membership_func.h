/** Membership: states of the daemons, rumors, and the entries for callers. */
#pragma once

#include "machine/decision_type.h"
#include "membership/membership_base.h"

#include <memory>
#include <vector>

namespace camphorfield {

/**
 * Makes the state of a daemon that has just started and knows no members.
 * @param aSettings The incarnation in self_ must be set.
 */
MembershipState
MakeMembershipState(const MembershipSettings& aSettings,
                    const Now& aNow,
                    Rng& aRng);

/** Handles GossipPing, GossipAck and GossipProbe; ignores other bodies. */
void
MembershipOnEvent(MembershipState& aState,
                  const PeerMessage& aMessage,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Has helpers probe a peer that could not be reached. */
void
MembershipOnEvent(MembershipState& aState,
                  const PeerUnreachable& aUnreachable,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Reads leaving servers and peer addresses from the VM list; ignores replies
 * to other packages. */
void
MembershipOnEvent(MembershipState& aState,
                  const PlatformReply& aReply,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Spreads a rumor of this daemon; emits no RumorReceived for it. */
void
MembershipOnEvent(MembershipState& aState,
                  const SpreadRumor& aSpread,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Advertises the generation in force on this daemon. */
void
MembershipOnEvent(MembershipState& aState,
                  const ConfigAdopted& aAdopted,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Answers with entries; the order package adds the order tokens. */
void
MembershipOnEvent(MembershipState& aState,
                  const EntriesRequest& aRequest,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Sets the own state to Leaving, which removes this daemon from entries, and
 * gossips it at once. */
void
MembershipOnEvent(MembershipState& aState,
                  const StopRequested& aStop,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Does what is due: probes, timeouts, bursts, joining, the VM list. */
void
MembershipOnEvent(MembershipState& aState,
                  const Tick& aTick,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** When the next Tick is due; at most kGossipInterval away. */
TimePoint
MembershipNextWake(const MembershipState& aState);

/** Whether no read of another member's records is in progress, as it is from
 * the first contact on; true while no other member is known. */
bool
MembershipIsSynced(const MembershipState& aState);

/**
 * Sets whether this daemon may be listed to callers. Gossiped at the next Tick;
 * MembershipNextWake is due at once.
 */
void
MembershipSetReady(MembershipState& aState, bool aReady);

/** Sets whether this daemon's tables come from the store and are up to date.
 * Gossiped like readiness. */
void
MembershipSetReadsStore(MembershipState& aState, bool aReadsStore);

/**
 * Sets the share of the own capacity in use.
 * @param aPerMille Advertised at intervals, if it has changed enough.
 */
void
MembershipSetLoad(MembershipState& aState, std::uint32_t aPerMille);

/**
 * All members but the dead, this daemon included, sorted by id, as in the last
 * MembersChanged. Members that failed a probe while this daemon was isolated
 * appear as suspects. Never null.
 */
std::shared_ptr<const std::vector<MemberRecord>>
MembershipMembers(const MembershipState& aState);

/** This daemon's record, as advertised. */
const MemberRecord&
MembershipSelf(const MembershipState& aState);

/** Counters and gauges. */
MembershipStats
MembershipGetStats(const MembershipState& aState, const Now& aNow);

} // namespace camphorfield
