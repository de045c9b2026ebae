/** Metrics of a gateway in Prometheus' text format. */
#pragma once

#include "runtime/gateway_host.h"

#include <string>

namespace camphorfield {

/** Reads the gateway's counters and latency histograms and renders them. */
std::string
RenderGatewayMetrics(const GatewayHost& aHost);

} // namespace camphorfield
