/** Functions that admit requests. */
#pragma once

#include "gateway/gateway_internal.h"

namespace camphorfield {

// cap_admit.cpp

/** Lets a request wait for a token; it is admitted or rejected once the token
 * is there or refused. */
void
AwaitCapToken(GatewayStep& aStep, const ProxyRequest& aRequest, RateCap& aCap);

/** Returns a token of a request that isn't sent. */
void
ReturnToken(GatewayStep& aStep, std::uint64_t aCap);

/** Admits and rejects requests as the caps have decided. */
void
ApplyCapOutput(GatewayStep& aStep, CapOutput& aOutput);

// admission.cpp

/** Whether a window admits one more request of a route. */
bool
IsAdmitted(const RouteLoad& aLoad, double aWindow);

/** Most requests of a route in flight. For a plain route, at least this
 * daemon's part of the requests that its servers run at once; this part is
 * looked at only when the route's own window is nearly full. */
double
AdmissionWindow(const GatewayState& aState,
                const RouteLoad& aLoad,
                const GatewayRoute& aRoute);

/** Adjusts the window by the time until enough parts had answered. */
void
AdjustWindow(RouteLoad& aLoad,
             Duration aTook,
             Duration aObjective,
             TimePoint aNow);

/** Shrinks the window because a request missed its objective. */
void
ShrinkWindowOnLate(RouteLoad& aLoad, Duration aObjective, TimePoint aNow);

/** Chooses the delay after which a rejected caller should retry. */
Duration
ChooseRetryAfter(const GatewayRoute& aRoute, Rng& aRng);

} // namespace camphorfield
