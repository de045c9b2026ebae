/** Expected time of a server's answer. */
#pragma once

#include "gateway/gateway_base.h"

namespace camphorfield {

/** Part of a value that is left after aAge; 1 for a negative age. */
double
Decay(Duration aAge, Duration aHalfLife);

/** Estimated number of requests ahead of a new one. */
double
RequestsAhead(const Backend& aBackend, TimePoint aNow);

/** Expected rest of a pause: the age of the oldest request that is far beyond
 * its expected time. */
Duration
StalledFor(const GatewayState& aState, const Backend& aBackend, TimePoint aNow);

/** Latency of a server relative to the route's median; 1 if long unknown. */
double
DecayedLatencyRatio(const Backend& aBackend, TimePoint aNow);

/** Estimated latency of a request sent now, in microseconds. */
double
EstimateMicros(const GatewayState& aState,
               const Backend& aBackend,
               Duration aTypicalLatency,
               TimePoint aNow);

} // namespace camphorfield
