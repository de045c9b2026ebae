/** Object pool that reuses slots but never reuses keys. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace camphorfield {

constexpr std::uint32_t kSlotBits = 20; ///< At most 2^20 items at a time.
constexpr std::uint64_t kSlotMask = (std::uint64_t{ 1 } << kSlotBits) - 1;

/**
 * Pool of T. T has a member key_, which is zero while the slot is free. The low
 * kSlotBits of a key are the slot's index, the bits above a sequence number.
 */
template<typename T>
struct Pool
{
  std::deque<T> slots_; ///< A deque, so that items keep their address.
  std::vector<std::uint32_t> free_;
  std::uint64_t sequence_ = 0; ///< May start at a random value, so that keys
                               ///< differ between runs.

  std::size_t Count() const { return slots_.size() - free_.size(); }
};

/** Allocate a slot. The caller resets the item's former content. */
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

/** Return a slot to the pool. */
template<typename T>
void
FreeSlot(Pool<T>& aPool, T& aItem)
{
  aPool.free_.push_back(static_cast<std::uint32_t>(aItem.key_ & kSlotMask));
  aItem.key_ = 0;
}

/** Item of a key, or null when its slot has been freed. */
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
