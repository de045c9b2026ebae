// Heap of waiting tasks: by priority, then fair among callers, then by arrival.
#include "route/task_queue.h"

#include <algorithm>
#include <tuple>

namespace camphorfield {

namespace {

bool
IsAfter(const Task& aLeft, const Task& aRight)
{
  return std::tie(aLeft.priority_, aLeft.tag_, aLeft.sequence_) >
         std::tie(aRight.priority_, aRight.tag_, aRight.sequence_);
}

} // namespace

void
PushTask(TaskQueue& aQueue, const Task& aTask)
{
  aQueue.heap_.push_back(aTask);
  std::push_heap(aQueue.heap_.begin(), aQueue.heap_.end(), IsAfter);
  ++aQueue.live_[static_cast<std::size_t>(aTask.priority_)];
}

bool
PopTask(TaskQueue& aQueue, Task& aTask)
{
  if (aQueue.heap_.empty()) {
    return false;
  }
  std::pop_heap(aQueue.heap_.begin(), aQueue.heap_.end(), IsAfter);
  aTask = aQueue.heap_.back();
  aQueue.heap_.pop_back();
  return true;
}

void
DecrementLive(TaskQueue& aQueue, Priority aPriority)
{
  --aQueue.live_[static_cast<std::size_t>(aPriority)];
}

std::uint32_t
CountAhead(const TaskQueue& aQueue, Priority aPriority)
{
  std::uint32_t count = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(aPriority); ++i) {
    count += aQueue.live_[i];
  }
  return count;
}

} // namespace camphorfield
