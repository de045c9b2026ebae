/** Flat heap of timers. Outdated ones are dropped when they come up. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <vector>

namespace camphorfield {

/** What a timer is for; key_ names the subject. */
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

/** One timer. */
struct Timer
{
  TimePoint at_;
  std::uint64_t key_ = 0;
  std::uint32_t part_ = 0;
  TimerKind kind_ = TimerKind::Server;
};

/** Timers with the earliest in front. */
struct TimerHeap
{
  std::vector<Timer> heap_;
};

/** Add a timer. */
void
AddTimer(TimerHeap& aHeap, const Timer& aTimer);

/**
 * Take the earliest timer that is due.
 * @param aTimer Receives it.
 * @return False when none is due.
 */
bool
TakeDueTimer(TimerHeap& aHeap, TimePoint aNow, Timer& aTimer);

/** Time of the earliest timer, or kNever. */
TimePoint
NextTimer(const TimerHeap& aHeap);

} // namespace camphorfield
