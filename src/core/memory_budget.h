/** Who may hold memory for what others send, and who is closed when it is
 * short. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorfield {

/** What the holder of some memory does at present. */
enum class HolderState : std::uint8_t
{
  Idle,    ///< Between two requests.
  Reading, ///< Receives a request or a frame.
  Running, ///< Its request is being served; never closed.
  Writing, ///< Sends an answer.
  Closing, ///< Its request was rejected; may be closed at once.
  End      ///< Number of states.
};

/** One connection that holds memory. */
struct MemoryHolder
{
  std::uint64_t bytes_ = 0;
  TimePoint progressAt_{};  ///< When bytes last arrived or left.
  std::uint32_t group_ = 0; ///< Holders of one listening socket.
  HolderState state_ = HolderState::Running;
  bool hasServed_ = false; ///< It has completed a request.
  bool mayUseAll_ = false; ///< Not bound to the share of large requests.
};

/** Memory of one process for bytes of callers, servers and daemons. */
struct MemoryBudget
{
  std::uint64_t limit_ = 0;
  std::uint64_t used_ = 0; ///< Sum over holders_.
  std::map<std::uint64_t, MemoryHolder> holders_;
  std::uint64_t nextHolder_ = 1;
};

/** Holders that make no progress for this long may be closed. */
constexpr Duration kMinStall = std::chrono::milliseconds(500);
/** The same for idle connections of callers that have been served: callers keep
 * them for their next request. */
constexpr Duration kMinServedStall = std::chrono::seconds(5);
/** Holders up to this size may use the whole budget. */
constexpr std::uint64_t kSmallHolderBytes = 64ULL * 1024;

/** Adds a holder of no bytes; returns its number. */
std::uint64_t
AddHolder(MemoryBudget& aBudget, const MemoryHolder& aHolder);

/** Removes a holder and what it holds; none if it is unknown. */
void
RemoveHolder(MemoryBudget& aBudget, std::uint64_t aHolder);

/** Sets what a holder holds, also beyond the limit. */
void
SetHeldBytes(MemoryBudget& aBudget,
             std::uint64_t aHolder,
             std::uint64_t aBytes);

/**
 * Sets what a holder holds if the limit allows it, after closing others if that
 * is enough.
 * @param aClosed Gets the holders that are to be closed; they are removed.
 * @return Whether it may hold so much; if not, nothing has changed.
 */
bool
Reserve(MemoryBudget& aBudget,
        std::uint64_t aHolder,
        std::uint64_t aBytes,
        TimePoint aNow,
        std::vector<std::uint64_t>& aClosed);

/**
 * Chooses the holder of a group to close when descriptors are short and removes
 * it.
 * @return Its number; 0 if all make progress.
 */
std::uint64_t
TakeLongestStalled(MemoryBudget& aBudget, std::uint32_t aGroup, TimePoint aNow);

} // namespace camphorfield
