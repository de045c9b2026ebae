/** One order: a single attempt that is never repeated after its first byte. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Start an order. */
void
StartOrder(Step& aStep, const DispatchOrder& aOrder);

/** The deadline of an order that may still wait has come. */
void
ExpireOrder(Step& aStep, std::uint64_t aKey);

/** Put an order into the queue again after a pause. */
void
ResumeOrder(Step& aStep, std::uint64_t aKey);

} // namespace camphorfield
