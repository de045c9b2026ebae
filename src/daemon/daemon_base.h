/** One daemon as a machine: the packages' states side by side. */
#pragma once

#include "daemon/daemon_type.h"
#include "membership/membership_base.h"
#include "order/order_base.h"
#include "publish/publish_base.h"
#include "route/route_base.h"

#include <cstdint>
#include <string>

namespace camphorfield {

/** Stages of a daemon's life. */
enum class DaemonPhase : std::uint8_t
{
  Serving,  ///< Takes requests, once its configuration is confirmed.
  Leaving,  ///< Told to callers no more; kept answers are still valid.
  Draining, ///< Finishes what is in flight.
  Ended,    ///< ExitProcess was decided.
  End       ///< Number of phases.
};

/** State of one daemon. */
struct DaemonState
{
  DaemonSettings settings_;
  DaemonId self_;
  DaemonPhase phase_ = DaemonPhase::Serving;
  TimePoint stopRequestedAt_ = kNever; ///< When the shutdown began.
  TimePoint nextLifecycleUpdate_{}; ///< When load and readiness are told next.
  bool ready_ = false;              ///< The configuration is confirmed.
  std::uint64_t openQueries_ = 0;   ///< Queries without an answer yet.
  std::uint64_t openOrders_ = 0;    ///< Orders without an answer yet.
  PublishState publish_;
  MembershipState membership_;
  RouteState route_;
  OrderState order_;
};

/** What a daemon has in flight. */
struct DaemonInFlight
{
  std::uint64_t queries_ = 0;
  std::uint64_t orders_ = 0;
};

} // namespace camphorfield
