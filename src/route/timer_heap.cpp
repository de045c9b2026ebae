#include "route/timer_heap.h"

#include <algorithm>

namespace camphorfield {

namespace {

bool
IsLater(const Timer& aLeft, const Timer& aRight)
{
  return aLeft.at_ > aRight.at_;
}

} // namespace

void
AddTimer(TimerHeap& aHeap, const Timer& aTimer)
{
  aHeap.heap_.push_back(aTimer);
  std::push_heap(aHeap.heap_.begin(), aHeap.heap_.end(), IsLater);
}

bool
TakeDueTimer(TimerHeap& aHeap, TimePoint aNow, Timer& aTimer)
{
  if (aHeap.heap_.empty() || aHeap.heap_.front().at_ > aNow) {
    return false;
  }
  std::pop_heap(aHeap.heap_.begin(), aHeap.heap_.end(), IsLater);
  aTimer = aHeap.heap_.back();
  aHeap.heap_.pop_back();
  return true;
}

TimePoint
NextTimer(const TimerHeap& aHeap)
{
  return aHeap.heap_.empty() ? kNever : aHeap.heap_.front().at_;
}

} // namespace camphorfield
