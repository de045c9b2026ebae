/** Timers of sub-requests: hedging and progress timeout. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Set the first timer of a sub-request that was just sent. */
void
ArmSubTimer(Step& aStep, const Sub& aSub);

/** Time without an answer after which a connection is checked. */
Duration
ProgressTimeout(const ServiceState& aService);

} // namespace camphorfield
