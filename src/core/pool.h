/** Slots that are used again, addressed by keys that are not. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace camphorfield {

constexpr std::uint32_t kSlotBits = 20; ///< A million at a time.
constexpr std::uint64_t kSlotMask = (std::uint64_t{ 1 } << kSlotBits) - 1;

/**
 * Pool of T, which has a member key_ that is zero while the slot is free. The
 * key holds the slot in its low bits and a sequence number above.
 */
template<typename T>
struct Pool
{
  std::deque<T> slots_; ///< Items stay where they are.
  std::vector<std::uint32_t> free_;
  std::uint64_t sequence_ = 0; ///< May be started anywhere.

  std::size_t Count() const { return slots_.size() - free_.size(); }
};

/** Take a slot; its old content is the caller's to clear. */
template<typename T>
T&
AllocateSlot(Pool<T>& aPool)
{
  if (aPool.free_.empty()) {
    aPool.free_.push_back(static_cast<std::uint32_t>(aPool.slots_.size()));
    aPool.slots_.emplace_back();
  }
  const std::uint32_t slot = aPool.free_.back();
  aPool.free_.pop_back();
  T& item = aPool.slots_[slot];
  item.key_ = (++aPool.sequence_ << kSlotBits) | slot;
  return item;
}

/** Give a slot back. */
template<typename T>
void
FreeSlot(Pool<T>& aPool, T& aItem)
{
  aPool.free_.push_back(static_cast<std::uint32_t>(aItem.key_ & kSlotMask));
  aItem.key_ = 0;
}

/** Item of a key, or null when it is gone. */
template<typename T>
T*
FindSlot(Pool<T>& aPool, std::uint64_t aKey)
{
  const std::uint64_t slot = aKey & kSlotMask;
  if (aKey == 0 || slot >= aPool.slots_.size() ||
      aPool.slots_[slot].key_ != aKey) {
    return nullptr;
  }
  return &aPool.slots_[slot];
}

} // namespace camphorfield
