/** Timers of sub-requests: hedging, silence, timeout. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Set the first timer of a sub-request that has just been sent. */
void
ArmSubTimer(Step& aStep, const Sub& aSub);

/** How long a service's answers may take before silence is suspected. */
Duration
ProgressTimeout(const ServiceState& aService);

} // namespace camphorfield
