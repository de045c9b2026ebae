/** Table of the outcomes of a caller's request in the gateway. */
#pragma once

#include "gateway/gateway_type.h"

#include <array>
#include <cstddef>

namespace camphorfield {

/** Row of the table of outcomes. */
struct ProxyRow
{
  ProxyCode code_;
  const char* name_; ///< Name in logs and metrics.
};

// clang-format off
constexpr std::array<ProxyRow, static_cast<std::size_t>(ProxyCode::End)>
  kProxyTable{ {
  { ProxyCode::Forwarded,   "forwarded" },
  { ProxyCode::Merged,      "merged" },
  { ProxyCode::NoRoute,     "no_route" },
  { ProxyCode::NotReady,    "not_ready" },
  { ProxyCode::Overloaded,  "overloaded" },
  { ProxyCode::NoServer,    "no_server" },
  { ProxyCode::NotRun,      "not_run" },
  { ProxyCode::Stopping,    "stopping" },
  { ProxyCode::Quarantined, "quarantined" },
  { ProxyCode::Unauthorized, "unauthorized" },
  { ProxyCode::RateCapped,  "rate_capped" },
  { ProxyCode::Failed,      "failed" },
  { ProxyCode::TimedOut,    "timed_out" },
  { ProxyCode::LowCoverage, "low_coverage" },
} };
// clang-format on

/** Table row of an outcome; any but ProxyCode::End. */
constexpr const ProxyRow&
GetProxyRow(ProxyCode aCode)
{
  return kProxyTable[static_cast<std::size_t>(aCode)];
}

} // namespace camphorfield
