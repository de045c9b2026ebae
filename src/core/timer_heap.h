/**
 * Binary heap of timers. A timer is never removed early: one that no longer
 * applies is ignored when it expires.
 */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <type_traits>
#include <vector>

namespace camphorfield {

/** One timer. */
template<typename Kind>
struct BasicTimer
{
  TimePoint at_;           ///< When it is due.
  std::uint64_t key_ = 0;  ///< Object concerned, such as a query.
  std::uint32_t part_ = 0; ///< Part of the object, such as a shard's index.
  Kind kind_{};            ///< What is to be done.
};

/** Heap with the earliest timer first. */
template<typename Kind>
struct BasicTimerHeap
{
  std::vector<BasicTimer<Kind>> heap_;
};

template<typename Kind>
bool
IsLaterTimer(const BasicTimer<Kind>& aLeft, const BasicTimer<Kind>& aRight)
{
  return aLeft.at_ > aRight.at_;
}

/** Add a timer. */
template<typename Kind>
void
AddTimer(BasicTimerHeap<Kind>& aHeap,
         const std::type_identity_t<BasicTimer<Kind>>& aTimer)
{
  aHeap.heap_.push_back(aTimer);
  std::push_heap(aHeap.heap_.begin(), aHeap.heap_.end(), IsLaterTimer<Kind>);
}

/**
 * Remove the earliest timer if it is due.
 * @param aTimer Receives the timer.
 * @return False when none is due.
 */
template<typename Kind>
bool
PopDueTimer(BasicTimerHeap<Kind>& aHeap,
            TimePoint aNow,
            BasicTimer<Kind>& aTimer)
{
  if (aHeap.heap_.empty() || aHeap.heap_.front().at_ > aNow) {
    return false;
  }
  std::pop_heap(aHeap.heap_.begin(), aHeap.heap_.end(), IsLaterTimer<Kind>);
  aTimer = aHeap.heap_.back();
  aHeap.heap_.pop_back();
  return true;
}

/** Time of the earliest timer; kNever when there is none. */
template<typename Kind>
TimePoint
EarliestTimerTime(const BasicTimerHeap<Kind>& aHeap)
{
  return aHeap.heap_.empty() ? kNever : aHeap.heap_.front().at_;
}

} // namespace camphorfield
