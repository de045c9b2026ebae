/** Flat heap of timers. Outdated ones are dropped when they come up. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <type_traits>
#include <vector>

namespace camphorfield {

/** One timer; Kind says what it is for and key_ names the subject. */
template<typename Kind>
struct BasicTimer
{
  TimePoint at_;
  std::uint64_t key_ = 0;
  std::uint32_t part_ = 0;
  Kind kind_{};
};

/** Timers with the earliest in front. */
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
 * Take the earliest timer that is due.
 * @param aTimer Receives it.
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

/** Time of the earliest timer, or kNever. */
template<typename Kind>
TimePoint
EarliestTimerTime(const BasicTimerHeap<Kind>& aHeap)
{
  return aHeap.heap_.empty() ? kNever : aHeap.heap_.front().at_;
}

} // namespace camphorfield
