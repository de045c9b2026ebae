/** Timers of the route package. */
#pragma once

#include "core/timer_heap.h"

#include <cstdint>

namespace camphorfield {

/** Kind of timer; key_ identifies its subject. */
enum class TimerKind : std::uint8_t
{
  QueryDeadline, ///< key_: query.
  QuerySoft,     ///< key_: query.
  Hedge,         ///< key_: sub-request.
  Progress,      ///< key_: sub-request.
  SubTimeout,    ///< key_: sub-request.
  ShardRetry,    ///< key_: query, part_: shard.
  DispatchEnd,   ///< key_: dispatch.
  DispatchRetry, ///< key_: dispatch.
  RelayedEnd,    ///< key_: relayed sub-request.
  RelayFlush,    ///< key_: unused.
  SuspectTrial,  ///< key_: unused.
  Server,        ///< key_: index of the server.
  End            ///< Number of kinds.
};

using Timer = BasicTimer<TimerKind>;
using TimerHeap = BasicTimerHeap<TimerKind>;

} // namespace camphorfield
