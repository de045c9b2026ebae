/** Metrics of a gateway in Prometheus' text format. */
#pragma once

#include "runtime/gateway_host.h"

#include <string>

namespace camphorfield {

/** Renders the gateway's counters, gauges and latency histograms. */
std::string
RenderGatewayMetrics(const GatewayHost& aHost);

} // namespace camphorfield
