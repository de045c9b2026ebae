/** The memory account of a process: what its connections hold for others. */
#pragma once

#include "core/memory_budget.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace camphorfield {

/** Limits that others can run into. */
enum class MemoryLimit : std::uint8_t
{
  Head,        ///< A head, trailers or a chunk's head are too long.
  Body,        ///< A body is longer than the limit of one body.
  Request,     ///< No memory for a request.
  Stalled,     ///< A stalled connection was closed for memory.
  Connections, ///< Too many connections: a stalled or the new one was closed.
  Answer,      ///< No memory for a server's answer.
  Frame,       ///< No memory for a daemon's frame.
  SlowFrame,   ///< A daemon's frame took too long.
  StoreReply,  ///< No memory for a reply of the store.
  End          ///< Number of limits.
};

/** Name of a limit, in metrics and log lines. */
std::string_view
LimitName(MemoryLimit aLimit);

/** Counts bytes by holder and closes holders when they are short. Used only on
 * one thread. */
class MemoryAccount
{
public:
  /** @param aLimit Bytes that all holders together may hold. */
  explicit MemoryAccount(std::uint64_t aLimit);

  /** Raises the limit, if needed, so that one request of this size is served
   * whatever the memory of the process. */
  void SetLargestRequest(std::uint64_t aBytes);

  /** Number for the holders of a new group. */
  std::uint32_t NewGroup() { return ++groups_; }

  /** Closes the longest stalled holder of a group; false if none is. */
  bool CloseStalled(std::uint32_t aGroup);

  /** Counts a refusal or a close; logs at a bounded rate. */
  void Count(MemoryLimit aLimit);

  std::uint64_t Counted(MemoryLimit aLimit) const
  {
    return counts_[static_cast<std::size_t>(aLimit)];
  }
  const MemoryBudget& Budget() const { return budget_; }

private:
  friend class MemoryHold;
  void Close(std::uint64_t aHolder);

  MemoryBudget budget_;
  std::uint64_t configured_;
  std::unordered_map<std::uint64_t, class MemoryHold*> holds_;
  std::array<std::uint64_t, static_cast<std::size_t>(MemoryLimit::End)>
    counts_{};
  TimePoint nextLogAt_{};
  std::uint32_t groups_ = 0;
};

/** Counts a limit; without an account nothing is counted. */
inline void
CountLimit(MemoryAccount* aAccount, MemoryLimit aLimit)
{
  if (aAccount != nullptr) {
    aAccount->Count(aLimit);
  }
}

/** One holder, for as long as its connection lives. */
class MemoryHold
{
public:
  /**
   * @param aAccount Null: nothing is counted, everything is allowed.
   * @param aHolder Its group, state and rights.
   * @param aOnClose Closes the connection; called at most once.
   */
  MemoryHold(MemoryAccount* aAccount,
             MemoryHolder aHolder,
             std::function<void()> aOnClose);
  ~MemoryHold();
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  /** Sets the bytes held; false if there is no room: nothing has changed. */
  bool Reserve(std::uint64_t aBytes);

  /** The same, but up to a quarter beyond the limit, and small holders in any
   * case: for what is in memory already. */
  bool ReserveOrExceed(std::uint64_t aBytes);

  /** Sets the bytes held, also beyond the limit. */
  void Set(std::uint64_t aBytes);

  /** Begins a state, which counts as progress. */
  void Enter(HolderState aState);

  /** Records that bytes arrived or left. */
  void RecordProgress();

  /** Records that a request has been answered. */
  void RecordServed();

private:
  friend class MemoryAccount;

  MemoryAccount* account_;
  std::function<void()> onClose_;
  std::uint64_t number_ = 0; ///< 0: not counted, or closed.
  std::uint64_t bytes_ = 0;
  MemoryHolder* holder_ = nullptr; ///< In the budget; null once closed.
  bool isClosed_ = false;
};

} // namespace camphorfield
