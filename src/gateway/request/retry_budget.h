/** Budget for hedges and retries to one service, shared by all daemons. */
#pragma once

#include "core/time_type.h"
#include "gateway/gateway_const.h"

#include <array>
#include <cstdint>

namespace camphorfield {

/** Limits on extra requests to a service in a sliding window. */
struct BudgetLimits
{
  double ratio_ = 0.2;  ///< Extra requests per first request.
  double slack_ = 50.0; ///< Further extra requests, over all daemons.
  Duration window_ = std::chrono::seconds(10);
};

/** Requests of one daemon to one service, counted in time buckets. */
struct RetryBudget
{
  std::array<std::uint32_t, kBudgetBuckets + 1> first_{};
  std::array<std::uint32_t, kBudgetBuckets + 1> extra_{};
  std::int64_t bucket_ = 0; ///< Number of the newest bucket.
  std::uint32_t firstSum_ = 0;
  std::uint32_t extraSum_ = 0;
};

/** Counts the first send of a part to the service. */
void
CountFirst(RetryBudget& aBudget, const BudgetLimits& aLimits, TimePoint aNow);

/**
 * Takes one extra request from the budget.
 * @param aSlackFraction Part of the slack that this daemon may use, 0 to 1.
 * @return False, without counting, when the budget is used up.
 */
bool
TakeExtra(RetryBudget& aBudget,
          const BudgetLimits& aLimits,
          double aSlackFraction,
          TimePoint aNow);

} // namespace camphorfield
