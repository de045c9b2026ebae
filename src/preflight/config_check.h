/** Check of a gateway's configuration before it is published. */
#pragma once

#include "gateway/gateway_type.h"
#include "preflight/finding_type.h"
#include "table/config_finding_table.h"

#include <vector>

namespace camphorfield {

/** What the check needs to know of the deployment. */
struct CheckContext
{
  Duration quotaWindow_ = std::chrono::seconds(5); ///< Of rate caps.
  std::uint32_t serversPerService_ = 3; ///< Not part of a configuration.
};

const ConfigFindingRow&
GetConfigFindingRow(FindingCode aCode);

/** Whether any finding is an error. */
bool
HasErrors(const std::vector<ConfigFinding>& aFindings);

/** Finds entries that can never match or be served, and limits that contradict
 * each other, in the order of the configuration. */
std::vector<ConfigFinding>
CheckGatewayConfig(const GatewayConfig& aConfig, const CheckContext& aContext);

} // namespace camphorfield
