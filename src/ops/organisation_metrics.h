/** Metrics of organisations: keys, rates and rejections. */
#pragma once

#include "gateway/gateway_base.h"

#include <prometheus/registry.h>

namespace camphorfield {

/** Adds them where the configuration has organisations, or had. */
void
AddOrganisationMetrics(prometheus::Registry& aRegistry,
                       const GatewayState& aState);

} // namespace camphorfield
