/** Callbacks of the owners of sub-requests: queries, orders and peers. */
#pragma once

#include "route/route_base.h"
#include "route/sub_cmd.h"

namespace camphorfield {

/** Handle the end of an attempt at a shard of a query. */
void
OnShardEnd(Step& aStep,
           const Sub& aSub,
           SubOutcome aOutcome,
           const SharedText& aBody);

/** Send a hedge for an attempt at a shard, if budget and load allow it. */
void
OnShardHedgeTimer(Step& aStep, const Sub& aSub);

/** Handle the end of an attempt at an order. */
void
OnOrderEnd(Step& aStep,
           const Sub& aSub,
           SubOutcome aOutcome,
           const SharedText& aBody);

/** Handle the end of a sub-request that ran for a peer. */
void
OnRelayedEnd(Step& aStep,
             const Sub& aSub,
             SubOutcome aOutcome,
             const SharedText& aBody);

/** Result of an attempt to send a waiting task. */
enum class TaskResult : std::uint8_t
{
  Done,    ///< Sent, or its owner has ended it.
  Busy,    ///< No server is free: later tasks are not tried.
  Blocked, ///< Only this task has to wait.
  End      ///< Number of states.
};

/** Try to send the sub-request of a shard. */
TaskResult
RunShardTask(Step& aStep, const Task& aTask);

/** Try to send an order. */
TaskResult
RunOrderTask(Step& aStep, const Task& aTask);

/** Try to send a sub-request for a peer. */
TaskResult
RunRelayedTask(Step& aStep, const Task& aTask);

/** Whether a task of a shard still waits; false when it is stale. */
bool
IsShardWaiting(RouteState& aState, const Task& aTask);

/** Whether a task of an order still waits; false when it is stale. */
bool
IsOrderWaiting(RouteState& aState, const Task& aTask);

/** Whether a task of a sub-request for a peer still waits; false when it is
 * stale. */
bool
IsRelayedWaiting(RouteState& aState, const Task& aTask);

} // namespace camphorfield
