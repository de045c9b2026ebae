/** Entry points of the route package. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "route/route_base.h"

#include <string_view>
#include <vector>

namespace camphorfield {

/** Make the state of a daemon that has no configuration yet. */
RouteState
MakeRouteState(const RouteSettings& aSettings);

/** Admit a query, or refuse it. */
void
RouteOnEvent(RouteState& aState,
             const CallerRequest& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Drop a query whose caller has disconnected; it gets no answer. */
void
RouteOnEvent(RouteState& aState,
             const CallerDisconnected& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Use a connection that has opened. */
void
RouteOnEvent(RouteState& aState,
             const ConnectionOpened& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Free a connection and end the request on it. */
void
RouteOnEvent(RouteState& aState,
             const ConnectionEnded& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle a sub-answer. */
void
RouteOnEvent(RouteState& aState,
             const SubAnswer& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle a request that the host did not send. */
void
RouteOnEvent(RouteState& aState,
             const SubNotSent& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Dispatch an order; exactly one OrderDispatched follows. */
void
RouteOnEvent(RouteState& aState,
             const DispatchOrder& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Apply a configuration. */
void
RouteOnEvent(RouteState& aState,
             const ConfigAdopted& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Reassign home daemons and connection quotas. */
void
RouteOnEvent(RouteState& aState,
             const MembersChanged& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Apply rumors about leaving servers and suspect contents. */
void
RouteOnEvent(RouteState& aState,
             const RumorReceived& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle RelayBatch and RelayAnswers; other messages are ignored. */
void
RouteOnEvent(RouteState& aState,
             const PeerMessage& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle an unreachable home daemon. */
void
RouteOnEvent(RouteState& aState,
             const PeerUnreachable& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Record a graceful shutdown; requests in flight are finished. */
void
RouteOnEvent(RouteState& aState,
             const StopRequested& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Handle due timers. */
void
RouteOnEvent(RouteState& aState,
             const Tick& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut);

/** Time of the next Tick that the package needs. */
TimePoint
RouteNextWake(const RouteState& aState);

/** Whether no query, order or relayed sub-request is in flight. */
bool
RouteIsIdle(const RouteState& aState);

/** Share of the known server capacity in use, per mille. */
std::uint32_t
RouteLoad(const RouteState& aState);

/** Every server, with the reason why it gets new work or not. */
std::vector<ServerStatus>
RouteServers(const RouteState& aState);

/** Counters since the start of the daemon. */
RouteStats
RouteStatistics(const RouteState& aState);

/** Explain to operators how a route would be served now: versions, services
 * and estimated times.
 * @param aRoute Name of the route.
 */
std::string
RouteExplain(const RouteState& aState, std::string_view aRoute);

} // namespace camphorfield
