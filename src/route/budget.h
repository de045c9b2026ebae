/** Budget for attempts beyond the first: hedges and retries. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Add what one primary sub-request earns. */
void
EarnTokens(LimitsState& aLimits, const LimitsSpec& aSpec);

/** Take a token for a hedge. */
bool
SpendHedge(LimitsState& aLimits);

/** Take a token for a retry of something that may have run. */
bool
SpendRetry(LimitsState& aLimits);

} // namespace camphorfield
