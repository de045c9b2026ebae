/** Dispatch of one order. It is not retried once it may have run. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Queue an order, or end it as not run. */
void
StartOrder(Step& aStep, const DispatchOrder& aOrder);

/** End an order that is still waiting at its deadline as not run. */
void
ExpireOrder(Step& aStep, std::uint64_t aKey);

/** Queue an order again after a retry delay. */
void
ResumeOrder(Step& aStep, std::uint64_t aKey);

} // namespace camphorfield
