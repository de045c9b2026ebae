/** State of one daemon: the states of its packages and of its lifecycle. */
#pragma once

#include "daemon/daemon_type.h"
#include "membership/membership_base.h"
#include "order/order_base.h"
#include "publish/publish_base.h"
#include "route/route_base.h"

#include <cstdint>
#include <string>

namespace camphorfield {

/** Stages of a graceful shutdown, from start to exit. */
enum class DaemonPhase : std::uint8_t
{
  Serving, ///< Accepts requests, once its configuration is confirmed.
  Leaving, ///< No longer listed; still accepts requests, as
  ///< callers cache entries.
  Draining, ///< Refuses requests; finishes those in flight.
  Ended,    ///< ExitProcess was emitted.
  End       ///< Number of phases.
};

/** State of one daemon. */
struct DaemonState
{
  DaemonSettings settings_;
  DaemonId self_;
  DaemonPhase phase_ = DaemonPhase::Serving;
  TimePoint stopRequestedAt_ = kNever; ///< When the shutdown began.
  TimePoint nextLifecycleUpdate_{};    ///< Of load, readiness and shutdown.
  bool ready_ = false;                 ///< The configuration is confirmed.
  std::uint64_t openQueries_ = 0;      ///< Queries without an answer yet.
  std::uint64_t openOrders_ = 0;       ///< Orders without an answer yet.
  PublishState publish_;
  MembershipState membership_;
  RouteState route_;
  OrderState order_;
};

/** Requests in flight. */
struct DaemonInFlight
{
  std::uint64_t queries_ = 0;
  std::uint64_t orders_ = 0;
};

} // namespace camphorfield
