// Sends waiting tasks when servers have capacity. A few blocked tasks are
// passed over, so that one task that has to wait does not hold up its whole
// service.
#include "route/queue_dispatch.h"

#include "route/conn_pool.h"
#include "route/sub_owner.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace camphorfield {

namespace {

constexpr std::size_t kCompactFloor = 256; ///< Stale tasks that are tolerated.

bool
IsLive(RouteState& aState, const Task& aTask)
{
  switch (aTask.owner_.kind_) {
    case OwnerKind::Query:
      return IsShardWaiting(aState, aTask);
    case OwnerKind::Dispatch:
      return IsOrderWaiting(aState, aTask);
    case OwnerKind::Relayed:
      return IsRelayedWaiting(aState, aTask);
    default:
      return false;
  }
}

TaskResult
RunTask(Step& aStep, const Task& aTask)
{
  switch (aTask.owner_.kind_) {
    case OwnerKind::Query:
      return RunShardTask(aStep, aTask);
    case OwnerKind::Dispatch:
      return RunOrderTask(aStep, aTask);
    case OwnerKind::Relayed:
      return RunRelayedTask(aStep, aTask);
    default:
      return TaskResult::Done;
  }
}

// Removes stale tasks. Tasks of ended queries stay in the heap until they reach
// the front, which never happens under steady load of a higher priority.
void
CompactQueue(RouteState& aState, TaskQueue& aQueue)
{
  const std::size_t live = CountAhead(aQueue, Priority::Batch);
  if (aQueue.heap_.size() < 2 * live + kCompactFloor) {
    return;
  }
  std::vector<Task> kept;
  for (const Task& task : aQueue.heap_) {
    if (IsLive(aState, task)) {
      kept.push_back(task);
    }
  }
  aQueue.heap_.clear();
  aQueue.live_ = {};
  for (const Task& task : kept) {
    PushTask(aQueue, task);
  }
}

void
OpenForQueue(Step& aStep, ServiceIndex aService)
{
  const ServiceState& service = aStep.state_.services_[aService];
  const std::uint32_t waiting = CountAhead(service.queue_, Priority::Batch);
  for (const ServerIndex index : service.servers_) {
    const ServerState& server = aStep.state_.servers_[index];
    if (server.leaving_ || server.spec_.draining_ || server.probation_) {
      continue;
    }
    const auto limit = static_cast<std::uint32_t>(std::ceil(server.limit_));
    OpenUpTo(aStep, index, std::min(server.inFlight_ + waiting, limit));
  }
}

void
DispatchQueue(Step& aStep, ServiceIndex aService)
{
  RouteState& state = aStep.state_;
  std::array<Task, kMaxBlockedTasks> blocked;
  std::size_t blockedCount = 0;
  Task task;
  while (blockedCount < kMaxBlockedTasks &&
         PopTask(state.services_[aService].queue_, task)) {
    if (!IsLive(state, task)) {
      continue;
    }
    DecrementLive(state.services_[aService].queue_, task.priority_);
    const TaskResult outcome = RunTask(aStep, task);
    if (outcome == TaskResult::Done) {
      continue;
    }
    blocked[blockedCount++] = task;
    if (outcome == TaskResult::Busy) {
      break;
    }
  }
  for (std::size_t i = 0; i < blockedCount; ++i) {
    PushTask(state.services_[aService].queue_, blocked[i]);
  }
  CompactQueue(state, state.services_[aService].queue_);
  if (blockedCount > 0) {
    OpenForQueue(aStep, aService);
  }
}

} // namespace

void
DispatchMarkedQueues(Step& aStep)
{
  RouteState& state = aStep.state_;
  // Dispatching one service may mark others.
  while (!state.marked_.empty()) {
    const ServiceIndex service = state.marked_.back();
    state.marked_.pop_back();
    state.services_[service].marked_ = false;
    DispatchQueue(aStep, service);
  }
}

} // namespace camphorfield
