/** Differences between two configurations, for operators. */
#pragma once

#include "gateway/gateway_type.h"
#include "preflight/finding_type.h"

#include <vector>

namespace camphorfield {

/** Lists what a new configuration changes for callers. */
std::vector<ConfigDifference>
DiffGatewayConfigs(const GatewayConfig& aOld, const GatewayConfig& aNew);

} // namespace camphorfield
