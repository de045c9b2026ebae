/** At-most-once orders: events in, decisions out. See docs/ORDERS.md. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "order/order_base.h"

#include <string>
#include <vector>

namespace camphorfield {

/**
 * State of a daemon that has just started.
 * @param aSettings Settings; the incarnation must be a new one.
 */
OrderState
MakeOrderState(const OrderSettings& aSettings, const Now& aNow, Rng& aRng);

/** Order of a caller; exactly one OrderAnswer follows. */
void
OrderOnEvent(OrderState& aState,
             const CallerRequest& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** The caller left; its order goes on and is still answered. */
void
OrderOnEvent(OrderState& aState,
             const CallerDisconnected& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Acts on OrderForward, OrderForwarded and OrderOutcomeCopy. */
void
OrderOnEvent(OrderState& aState,
             const PeerMessage& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** A forward may not have been delivered. */
void
OrderOnEvent(OrderState& aState,
             const PeerUnreachable& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Acts on replies to PlatformUser::Order. */
void
OrderOnEvent(OrderState& aState,
             const PlatformReply& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** End of a dispatch. */
void
OrderOnEvent(OrderState& aState,
             const OrderDispatched& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Members changed: ranges may move. */
void
OrderOnEvent(OrderState& aState,
             const MembersChanged& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Configuration in force: deadlines of routes. */
void
OrderOnEvent(OrderState& aState,
             const ConfigAdopted& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Finish what runs, store the outcomes, hand the ranges over. */
void
OrderOnEvent(OrderState& aState,
             const StopRequested& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Does what is due. */
void
OrderOnEvent(OrderState& aState,
             const Tick& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** When the next Tick is wanted; kNever: not at all. */
TimePoint
OrderNextWake(const OrderState& aState);

/** Whether nothing is in flight and, when stopping, all is handed over. */
bool
OrderIsIdle(const OrderState& aState);

/**
 * Issue order tokens bound to this incarnation.
 * @param aCount Tokens wanted.
 * @return The tokens; none when the daemon is stopping.
 */
std::vector<std::string>
OrderIssueTokens(OrderState& aState,
                 std::uint32_t aCount,
                 const Now& aNow,
                 Rng& aRng);

/** Counters and sizes as of now. */
OrderStats
OrderStatistics(const OrderState& aState);

} // namespace camphorfield
