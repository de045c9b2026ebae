/** What the owners of sub-requests are told. */
#pragma once

#include "route/route_base.h"
#include "route/sub_cmd.h"

namespace camphorfield {

/** An attempt at a shard of a query has ended. */
void
OnShardEnd(Step& aStep,
           const Sub& aSub,
           SubOutcome aOutcome,
           const SharedText& aBody);

/** It is time to hedge an attempt at a shard. */
void
OnShardHedgeTimer(Step& aStep, const Sub& aSub);

/** The attempt at an order has ended. */
void
OnOrderEnd(Step& aStep,
           const Sub& aSub,
           SubOutcome aOutcome,
           const SharedText& aBody);

/** The attempt for a peer has ended. */
void
OnRelayedEnd(Step& aStep,
             const Sub& aSub,
             SubOutcome aOutcome,
             const SharedText& aBody);

/** How a waiting task fared. */
enum class TaskState : std::uint8_t
{
  Done,    ///< Sent, given up, or no longer wanted.
  Busy,    ///< Every usable server is busy.
  Blocked, ///< This one has to wait, others need not.
  End      ///< Number of states.
};

/** Try to send a shard's sub-request. */
TaskState
RunShardTask(Step& aStep, const Task& aTask);

/** Try to send an order. */
TaskState
RunOrderTask(Step& aStep, const Task& aTask);

/** Try to send a sub-request for a peer. */
TaskState
RunRelayedTask(Step& aStep, const Task& aTask);

/** Whether a task is still wanted. */
bool
IsShardWaiting(RouteState& aState, const Task& aTask);

/** Whether a task is still wanted. */
bool
IsOrderWaiting(RouteState& aState, const Task& aTask);

/** Whether a task is still wanted. */
bool
IsRelayedWaiting(RouteState& aState, const Task& aTask);

} // namespace camphorfield
