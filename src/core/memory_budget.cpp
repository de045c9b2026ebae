// Load pattern: clients that open many connections, send bodies of legal size
// up to just before their end and stay; the sum ends the process.
//
// What makes no progress is closed first, the largest and longest stalled
// before others. Idle connections come after these, those that never completed
// a request before those of callers that did, which are not closed for a large
// request at all: each holds little. The same goes for rejected clients, which
// may not have received their rejection. A quarter of the limit is kept for
// small requests, so that ordinary ones get in while large bodies arrive.
#include "core/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace camphorfield {

namespace {

/** Share of the limit that holders above kSmallHolderBytes may use. */
constexpr std::uint64_t kLargeNumerator = 3;
constexpr std::uint64_t kLargeDenominator = 4;

struct Candidate
{
  std::uint64_t holder_;
  std::uint64_t bytes_;
  bool isIdle_;
  bool hasServed_;
  double weight_; ///< Bytes times seconds of stall.
};

bool
IsStalled(const MemoryHolder& aHolder, TimePoint aNow)
{
  const Duration least =
    aHolder.state_ == HolderState::Idle && aHolder.hasServed_ ? kMinServedStall
                                                              : kMinStall;
  return aHolder.state_ == HolderState::Closing ||
         (aHolder.state_ != HolderState::Running &&
          aNow - aHolder.progressAt_ >= least);
}

std::vector<Candidate>
FindCandidates(const MemoryBudget& aBudget,
               std::uint64_t aExcept,
               bool aIsLarge,
               TimePoint aNow)
{
  std::vector<Candidate> found;
  for (const auto& [number, holder] : aBudget.holders_) {
    const bool isServedIdle =
      holder.state_ == HolderState::Idle && holder.hasServed_;
    const bool isKept =
      aIsLarge && (isServedIdle || holder.state_ == HolderState::Closing);
    if (number != aExcept && !isKept && IsStalled(holder, aNow)) {
      const auto stalled =
        static_cast<double>((aNow - holder.progressAt_).count());
      found.push_back({ number,
                        holder.bytes_,
                        holder.state_ == HolderState::Idle,
                        holder.hasServed_,
                        static_cast<double>(holder.bytes_) * stalled });
    }
  }
  return found;
}

} // namespace

std::uint64_t
AddHolder(MemoryBudget& aBudget, const MemoryHolder& aHolder)
{
  const std::uint64_t number = aBudget.nextHolder_++;
  aBudget.holders_.emplace_hint(aBudget.holders_.end(), number, aHolder)
    ->second.bytes_ = 0;
  return number;
}

void
RemoveHolder(MemoryBudget& aBudget, std::uint64_t aHolder)
{
  const auto found = aBudget.holders_.find(aHolder);
  if (found != aBudget.holders_.end()) {
    aBudget.used_ -= found->second.bytes_;
    aBudget.holders_.erase(found);
  }
}

void
SetHeldBytes(MemoryBudget& aBudget, std::uint64_t aHolder, std::uint64_t aBytes)
{
  const auto found = aBudget.holders_.find(aHolder);
  if (found != aBudget.holders_.end()) {
    aBudget.used_ = aBudget.used_ - found->second.bytes_ + aBytes;
    found->second.bytes_ = aBytes;
  }
}

bool
Reserve(MemoryBudget& aBudget,
        std::uint64_t aHolder,
        std::uint64_t aBytes,
        TimePoint aNow,
        std::vector<std::uint64_t>& aClosed)
{
  const auto found = aBudget.holders_.find(aHolder);
  if (found == aBudget.holders_.end()) {
    return false;
  }
  const bool isLarge = aBytes > kSmallHolderBytes && !found->second.mayUseAll_;
  const std::uint64_t allowed =
    isLarge ? aBudget.limit_ / kLargeDenominator * kLargeNumerator
            : aBudget.limit_;
  const std::uint64_t wanted = aBudget.used_ - found->second.bytes_ + aBytes;
  if (wanted > allowed && aBytes > found->second.bytes_) {
    std::vector<Candidate> candidates =
      FindCandidates(aBudget, aHolder, isLarge, aNow);
    std::uint64_t closable = 0;
    for (const Candidate& candidate : candidates) {
      closable += candidate.bytes_;
    }
    if (wanted - std::min(wanted, closable) > allowed) {
      return false;
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](const Candidate& aLeft, const Candidate& aRight) {
                return std::tuple(aLeft.isIdle_,
                                  aLeft.hasServed_ && aLeft.isIdle_,
                                  -aLeft.weight_,
                                  aLeft.holder_) <
                       std::tuple(aRight.isIdle_,
                                  aRight.hasServed_ && aRight.isIdle_,
                                  -aRight.weight_,
                                  aRight.holder_);
              });
    std::uint64_t left = wanted;
    for (const Candidate& candidate : candidates) {
      if (left <= allowed) {
        break;
      }
      left -= candidate.bytes_;
      RemoveHolder(aBudget, candidate.holder_);
      aClosed.push_back(candidate.holder_);
    }
  }
  SetHeldBytes(aBudget, aHolder, aBytes);
  return true;
}

std::uint64_t
TakeLongestStalled(MemoryBudget& aBudget, std::uint32_t aGroup, TimePoint aNow)
{
  std::uint64_t chosen = 0;
  std::tuple<bool, bool, TimePoint> best{ true, true, kNever };
  for (const auto& [number, holder] : aBudget.holders_) {
    const std::tuple<bool, bool, TimePoint> rank{ holder.state_ !=
                                                    HolderState::Closing,
                                                  holder.hasServed_,
                                                  holder.progressAt_ };
    if (holder.group_ == aGroup && IsStalled(holder, aNow) && rank < best) {
      chosen = number;
      best = rank;
    }
  }
  RemoveHolder(aBudget, chosen);
  return chosen;
}

} // namespace camphorfield
