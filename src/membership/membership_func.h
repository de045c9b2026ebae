/** Membership: who is there, in which state, and whom callers should use. */
#pragma once

#include "machine/decision_type.h"
#include "membership/membership_base.h"

#include <memory>
#include <vector>

namespace camphorfield {

/**
 * State of a daemon that has just started and knows nobody.
 * @param aSettings The incarnation in self_ must be set.
 */
MembershipState
MakeMembershipState(const MembershipSettings& aSettings,
                    const Now& aNow,
                    Rng& aRng);

/** Takes up GossipPing, GossipAck and GossipProbe; ignores other bodies. */
void
MembershipOnEvent(MembershipState& aState,
                  const PeerMessage& aMessage,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** A peer could not be reached; asks others before it suspects the peer. */
void
MembershipOnEvent(MembershipState& aState,
                  const PeerUnreachable& aUnreachable,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Takes up the VM list, as hints; ignores other users' replies. */
void
MembershipOnEvent(MembershipState& aState,
                  const PlatformReply& aReply,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Tells all daemons. The daemon's own packages know it already. */
void
MembershipOnEvent(MembershipState& aState,
                  const SpreadRumor& aSpread,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Advertises the generation in force. */
void
MembershipOnEvent(MembershipState& aState,
                  const ConfigAdopted& aAdopted,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Answers with entries; order tokens are left to the order package. */
void
MembershipOnEvent(MembershipState& aState,
                  const EntriesRequest& aRequest,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Leaves: out of the entries here now, and told to the others at once. */
void
MembershipOnEvent(MembershipState& aState,
                  const StopRequested& aStop,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** Does everything that is due. */
void
MembershipOnEvent(MembershipState& aState,
                  const Tick& aTick,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions);

/** When the next Tick is wanted; never more than one interval away. */
TimePoint
MembershipNextWake(const MembershipState& aState);

/**
 * Whether this daemon may be listed to callers; told at the next Tick, which
 * MembershipNextWake asks for at once.
 */
void
MembershipSetReady(MembershipState& aState, bool aReady);

/**
 * Share of the own capacity in use.
 * @param aPerMille Told to the others at intervals, when it has moved.
 */
void
MembershipSetLoad(MembershipState& aState, std::uint32_t aPerMille);

/**
 * All members but the dead, with this daemon, sorted by id; as last told by
 * MembersChanged. Members that answer nobody, or not us while we are cut off,
 * appear as suspects. Never null.
 */
std::shared_ptr<const std::vector<MemberRecord>>
MembershipMembers(const MembershipState& aState);

/** This daemon's own record as it is advertised. */
const MemberRecord&
MembershipSelf(const MembershipState& aState);

/** Counters and gauges. */
MembershipStats
MembershipGetStats(const MembershipState& aState, const Now& aNow);

} // namespace camphorfield
