/** Queue of tasks that wait for a server of one service. */
#pragma once

#include "object/object_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorfield {

/** Kind of owner of a sub-request. */
enum class OwnerKind : std::uint8_t
{
  None,     ///< No owner: cancels, health checks, abandoned attempts.
  Query,    ///< A shard of a query.
  Dispatch, ///< An order.
  Relayed,  ///< A peer.
  End       ///< Number of kinds.
};

/** Reference to the owner of a task or a sub-request. */
struct OwnerRef
{
  OwnerKind kind_ = OwnerKind::None;
  std::uint8_t round_ = 0;  ///< Incremented when a query restarts.
  std::uint32_t shard_ = 0; ///< Index in the version's shards; queries only.
  std::uint64_t key_ = 0;   ///< Pool key of the owner.
};

/** One waiting task. */
struct Task
{
  OwnerRef owner_;
  std::uint64_t tag_ = 0; ///< Virtual start time, for fairness among callers.
  std::uint64_t sequence_ = 0; ///< Order of arrival.
  Priority priority_ = Priority::Normal;
};

/** Heap of tasks by priority, tag and arrival; may hold stale tasks. */
struct TaskQueue
{
  std::vector<Task> heap_;
  std::array<std::uint32_t, static_cast<std::size_t>(Priority::End)>
    live_{}; ///< Tasks that are not stale.
};

/** Add a task. */
void
PushTask(TaskQueue& aQueue, const Task& aTask);

/** Remove the first task. It counts as live until DecrementLive.
 * @return False when the queue is empty.
 */
bool
PopTask(TaskQueue& aQueue, Task& aTask);

/** Uncount a task that was started or given up. */
void
DecrementLive(TaskQueue& aQueue, Priority aPriority);

/** Count the live tasks of a priority and of higher ones. */
std::uint32_t
CountAhead(const TaskQueue& aQueue, Priority aPriority);

} // namespace camphorfield
