// Limits hedges and retries when many servers fail or pause at once, so that
// all daemons together do not multiply the load of an overloaded service. The
// part proportional to requests needs no coordination; the slack is divided
// among the entry daemons (fleet_role).
#include "gateway/request/retry_budget.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::int64_t kSlots = kBudgetBuckets + 1;

std::size_t
SlotOf(std::int64_t aBucket)
{
  return static_cast<std::size_t>(aBucket % kSlots);
}

/** Clears buckets that have left the window. One extra bucket is kept, so that
 * a window that starts within a bucket is covered, too. */
void
Advance(RetryBudget& aBudget, const BudgetLimits& aLimits, TimePoint aNow)
{
  const auto width = static_cast<std::int64_t>(
    aLimits.window_.count() / static_cast<std::int64_t>(kBudgetBuckets));
  const std::int64_t bucket = aNow.time_since_epoch().count() / width;
  const std::int64_t steps = std::min(bucket - aBudget.bucket_, kSlots);
  for (std::int64_t i = 0; i < steps; ++i) {
    const std::size_t slot = SlotOf(bucket - i);
    aBudget.firstSum_ -= aBudget.first_[slot];
    aBudget.extraSum_ -= aBudget.extra_[slot];
    aBudget.first_[slot] = 0;
    aBudget.extra_[slot] = 0;
  }
  aBudget.bucket_ = std::max(aBudget.bucket_, bucket);
}

} // namespace

void
CountFirst(RetryBudget& aBudget, const BudgetLimits& aLimits, TimePoint aNow)
{
  Advance(aBudget, aLimits, aNow);
  ++aBudget.first_[SlotOf(aBudget.bucket_)];
  ++aBudget.firstSum_;
}

bool
TakeExtra(RetryBudget& aBudget,
          const BudgetLimits& aLimits,
          double aSlackFraction,
          TimePoint aNow)
{
  Advance(aBudget, aLimits, aNow);
  // The oldest bucket may be partly outside the window: it is not counted as
  // first requests, but as extra requests.
  const std::uint32_t oldest = aBudget.first_[SlotOf(aBudget.bucket_ + 1)];
  const double allowed =
    kBudgetUse *
    (aLimits.ratio_ * static_cast<double>(aBudget.firstSum_ - oldest) +
     aLimits.slack_ * aSlackFraction);
  if (static_cast<double>(aBudget.extraSum_) + 1.0 > allowed) {
    return false;
  }
  ++aBudget.extra_[SlotOf(aBudget.bucket_)];
  ++aBudget.extraSum_;
  return true;
}

} // namespace camphorfield
