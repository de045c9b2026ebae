/** Assignment of free server capacity to waiting tasks. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Send as many waiting tasks as possible for all marked services. */
void
DispatchMarkedQueues(Step& aStep);

} // namespace camphorfield
