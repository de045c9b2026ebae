/** Handing free places of servers to waiting tasks. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Send what can be sent for all marked services. */
void
DispatchMarkedQueues(Step& aStep);

} // namespace camphorfield
