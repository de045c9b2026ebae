/** Times that a daemon learns from the answers on a route. */
#pragma once

#include "gateway/gateway_base.h"

namespace camphorfield {

/** Records the time of an answer, or the age of an attempt that was given up,
 * as a lower bound of it. */
void
AddAnswerTime(RouteLoad& aLoad, Duration aTime);

/** Median time of an answer; before the first one a share of the route's
 * objective. */
Duration
TypicalLatency(const RouteLoad& aLoad, const GatewayRoute& aRoute);

/** Delay after which an attempt is hedged. */
Duration
HedgeDelay(const RouteLoad& aLoad, const GatewayRoute& aRoute);

/** Time without an answer after which an attempt is given up for another one;
 * the maximum until enough answers are known. */
Duration
SilenceLimit(const RouteLoad& aLoad);

} // namespace camphorfield
