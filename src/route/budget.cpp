// Token buckets that keep hedges and retries a fixed share of the load, so that
// retries of a failing or overloaded service do not add to its overload.
#include "route/budget.h"

#include <algorithm>

namespace camphorfield {

void
EarnTokens(LimitsState& aLimits, const LimitsSpec& aSpec)
{
  aLimits.hedges_ = std::min(kHedgeBurst, aLimits.hedges_ + aSpec.hedgeBudget_);
  aLimits.retries_ =
    std::min(kRetryBurst, aLimits.retries_ + aSpec.retryBudget_);
}

bool
SpendHedge(LimitsState& aLimits)
{
  if (aLimits.hedges_ < 1.0) {
    return false;
  }
  aLimits.hedges_ -= 1.0;
  return true;
}

bool
SpendRetry(LimitsState& aLimits)
{
  if (aLimits.retries_ < 1.0) {
    return false;
  }
  aLimits.retries_ -= 1.0;
  return true;
}

} // namespace camphorfield
