/** Metrics of a daemon in Prometheus' text format. */
#pragma once

#include "runtime/host.h"

#include <string>

namespace camphorfield {

/** Renders the counters and gauges of the route, order and publish packages. */
std::string
RenderMetrics(Host& aHost);

} // namespace camphorfield
