/** Event handlers of the at-most-once orders. See docs/ORDERS.md. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "order/order_base.h"

#include <string>
#include <vector>

namespace camphorfield {

/**
 * Create the state of a starting daemon.
 * @param aSettings Settings; the incarnation must never have been used.
 */
OrderState
MakeOrderState(const OrderSettings& aSettings, const Now& aNow, Rng& aRng);

/** Handle an order of a caller; exactly one OrderAnswer follows. */
void
OrderOnEvent(OrderState& aState,
             const CallerRequest& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle a closed caller connection; the order continues and is still
 * answered. */
void
OrderOnEvent(OrderState& aState,
             const CallerDisconnected& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle OrderForward, OrderForwarded and OrderOutcomeCopy. */
void
OrderOnEvent(OrderState& aState,
             const PeerMessage& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle a forward that may not have been delivered. */
void
OrderOnEvent(OrderState& aState,
             const PeerUnreachable& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle replies to store calls of PlatformUser::Order. */
void
OrderOnEvent(OrderState& aState,
             const PlatformReply& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle the end of a dispatch. */
void
OrderOnEvent(OrderState& aState,
             const OrderDispatched& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle a membership change; ranges may move. */
void
OrderOnEvent(OrderState& aState,
             const MembersChanged& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Adopt a configuration, which holds the deadlines of routes. */
void
OrderOnEvent(OrderState& aState,
             const ConfigAdopted& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Begin graceful shutdown: finish running orders, store their outcomes,
 * release the ranges. */
void
OrderOnEvent(OrderState& aState,
             const StopRequested& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Run timers that are due. */
void
OrderOnEvent(OrderState& aState,
             const Tick& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Time of the next Tick needed; kNever if none. */
TimePoint
OrderNextWake(const OrderState& aState);

/** Whether nothing is in progress and, when stopping, no range is held. */
bool
OrderIsIdle(const OrderState& aState);

/**
 * Issue order tokens bound to this incarnation.
 * @param aCount Number of tokens.
 * @return The tokens; none when the daemon is stopping.
 */
std::vector<std::string>
OrderIssueTokens(OrderState& aState,
                 std::uint32_t aCount,
                 const Now& aNow,
                 Rng& aRng);

/** Current counters and sizes. */
OrderStats
OrderStatistics(const OrderState& aState);

} // namespace camphorfield
