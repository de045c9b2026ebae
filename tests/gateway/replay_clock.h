/** Order of the actions of a simulation on its clock. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace camphorfield {

/** Adds an action to a queue of them. Actions of the same time run in the order
 * in which they were added. */
template<typename Queue>
void
ScheduleAction(Queue& aQueue,
               TimePoint aAt,
               std::uint64_t& aOrder,
               std::function<void()> aAction)
{
  aQueue.push({ aAt,
                aOrder++,
                std::make_shared<std::function<void()>>(std::move(aAction)) });
}

/** Runs the actions up to a time, with the clock at the time of each. */
template<typename Queue>
void
RunActions(Queue& aQueue, TimePoint& aClock, TimePoint aEnd)
{
  while (!aQueue.empty() && aQueue.top().at_ <= aEnd) {
    const auto next = aQueue.top();
    aQueue.pop();
    aClock = std::max(aClock, next.at_);
    (*next.action_)();
  }
}

} // namespace camphorfield
