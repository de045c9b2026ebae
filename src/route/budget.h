/** Token budget for attempts beyond the first: hedges and retries. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Add the tokens that one primary sub-request earns. */
void
EarnTokens(LimitsState& aLimits, const LimitsSpec& aSpec);

/**
 * Take a token for a hedge.
 * @return False when none is left.
 */
bool
SpendHedge(LimitsState& aLimits);

/**
 * Take a token for a retry of a sub-request that was shed or may have run.
 * @return False when none is left.
 */
bool
SpendRetry(LimitsState& aLimits);

} // namespace camphorfield
