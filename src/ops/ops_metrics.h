/** Metrics of a daemon in Prometheus' text format. */
#pragma once

#include "runtime/host.h"

#include <string>

namespace camphorfield {

/** Reads the counters of all packages and renders them. */
std::string
RenderMetrics(Host& aHost);

} // namespace camphorfield
