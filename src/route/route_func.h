/** Entry points of the route package. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "route/route_base.h"

#include <string_view>
#include <vector>

namespace camphorfield {

/** State of a daemon without configuration. */
RouteState
MakeRouteState(const RouteSettings& aSettings);

/** Start a query, or refuse it. */
void
RouteOnEvent(RouteState& aState,
             const CallerRequest& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Drop a query whose caller is gone; it gets no answer. */
void
RouteOnEvent(RouteState& aState,
             const CallerDisconnected& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Take a new connection into use. */
void
RouteOnEvent(RouteState& aState,
             const ConnectionOpened& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Forget a connection and look after the request on it. */
void
RouteOnEvent(RouteState& aState,
             const ConnectionEnded& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Take a sub-answer. */
void
RouteOnEvent(RouteState& aState,
             const SubAnswer& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Take back a request that the host did not send. */
void
RouteOnEvent(RouteState& aState,
             const SubNotSent& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Run an order; exactly one OrderDispatched follows. */
void
RouteOnEvent(RouteState& aState,
             const DispatchOrder& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Take a configuration into force. */
void
RouteOnEvent(RouteState& aState,
             const ConfigAdopted& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Assign home daemons anew. */
void
RouteOnEvent(RouteState& aState,
             const MembersChanged& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Hear of leaving servers and of quarantined content. */
void
RouteOnEvent(RouteState& aState,
             const RumorReceived& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Take RelayBatch or RelayAnswers; others are ignored. */
void
RouteOnEvent(RouteState& aState,
             const PeerMessage& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Send what a home did not get through another one. */
void
RouteOnEvent(RouteState& aState,
             const PeerUnreachable& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Note a graceful shutdown; what is in flight is finished. */
void
RouteOnEvent(RouteState& aState,
             const StopRequested& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Do what is due. */
void
RouteOnEvent(RouteState& aState,
             const Tick& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** When the package wants a Tick. */
TimePoint
RouteNextWake(const RouteState& aState);

/** Whether no query, order or relayed sub-request is in flight. */
bool
RouteIsIdle(const RouteState& aState);

/** Share of the connected capacity in use, per mille. */
std::uint32_t
RouteLoad(const RouteState& aState);

/** Every server, with the reason why it is in or out. */
std::vector<ServerStatus>
RouteServers(const RouteState& aState);

/** Counters since the start. */
RouteStats
RouteStatistics(const RouteState& aState);

/**
 * Text for operators on how a route would be served now.
 * @param aRoute Name of the route.
 */
std::string
RouteExplain(const RouteState& aState, std::string_view aRoute);

} // namespace camphorfield
