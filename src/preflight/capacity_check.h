/** Check of rates of a configuration against what its servers can carry. */
#pragma once

#include "preflight/config_check.h"

namespace camphorfield {

/** Finds caps that sum to more than the servers' connections can carry, and
 * rates of cold servers below the load that the caps allow. */
std::vector<ConfigFinding>
CheckCapacity(const GatewayConfig& aConfig, const CheckContext& aContext);

} // namespace camphorfield
