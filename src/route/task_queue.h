/** Work that waits for a server of one service. */
#pragma once

#include "object/object_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorfield {

/** Who wants a sub-request. */
enum class OwnerKind : std::uint8_t
{
  None,     ///< Nobody: cancels, health checks, abandoned attempts.
  Query,    ///< A shard of a query.
  Dispatch, ///< An order.
  Relayed,  ///< A peer.
  End       ///< Number of kinds.
};

/** Reference to the owner of a task or a sub-request. */
struct OwnerRef
{
  OwnerKind kind_ = OwnerKind::None;
  std::uint8_t round_ = 0;  ///< Rises when a query starts over.
  std::uint32_t shard_ = 0; ///< Index in the version's shards; queries only.
  std::uint64_t key_ = 0;   ///< Pool key of the owner.
};

/** One waiting task. */
struct Task
{
  OwnerRef owner_;
  std::uint64_t tag_ = 0;      ///< Virtual start time: fairness of callers.
  std::uint64_t sequence_ = 0; ///< First come, first served.
  Priority priority_ = Priority::Normal;
};

/** Tasks by priority, tag and arrival. */
struct TaskQueue
{
  std::vector<Task> heap_;
  std::array<std::uint32_t, static_cast<std::size_t>(Priority::End)> live_{};
};

/** Add a task. */
void
PushTask(TaskQueue& aQueue, const Task& aTask);

/**
 * Take the first task. It counts as live until DecrementLive.
 * @return False when the queue is empty.
 */
bool
PopTask(TaskQueue& aQueue, Task& aTask);

/** A live task of this priority has been started or given up. */
void
DecrementLive(TaskQueue& aQueue, Priority aPriority);

/** Live tasks of a priority and of those before it. */
std::uint32_t
CountAhead(const TaskQueue& aQueue, Priority aPriority);

} // namespace camphorfield
