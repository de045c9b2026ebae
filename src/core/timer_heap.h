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
struct KindTimer
{
  TimePoint at_;
  std::uint64_t key_ = 0;
  std::uint32_t part_ = 0;
  Kind kind_{};
};

/** Timers with the earliest in front. */
template<typename Kind>
struct KindTimerHeap
{
  std::vector<KindTimer<Kind>> heap_;
};

template<typename Kind>
bool
IsLaterTimer(const KindTimer<Kind>& aLeft, const KindTimer<Kind>& aRight)
{
  return aLeft.at_ > aRight.at_;
}

/** Add a timer. */
template<typename Kind>
void
AddTimer(KindTimerHeap<Kind>& aHeap,
         const std::type_identity_t<KindTimer<Kind>>& aTimer)
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
TakeDueTimer(KindTimerHeap<Kind>& aHeap,
             TimePoint aNow,
             KindTimer<Kind>& aTimer)
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
NextTimer(const KindTimerHeap<Kind>& aHeap)
{
  return aHeap.heap_.empty() ? kNever : aHeap.heap_.front().at_;
}

} // namespace camphorfield
