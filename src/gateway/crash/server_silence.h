/** When a server that answers nobody crashed, as all daemons see it. */
#pragma once

#include "gateway/gateway_internal.h"

#include <cstdint>

namespace camphorfield {

/** Time in which a server crashed, if it did. Unix times in microseconds. */
struct CrashTimes
{
  std::int64_t aliveUnixMicros_ = 0; ///< Zero: unknown.
  std::int64_t crashedByUnixMicros_ = 0;
};

/** The time of the crash under a lost attempt, by all attempts that daemons
 * lost to the same incarnation of its server. */
CrashTimes
CrashTimesOf(const GatewayStep& aStep, const LostAttempt& aLost);

/** Reports servers that have been silent for long enough to other daemons. */
void
ReportSilences(GatewayStep& aStep);

/** Takes another daemon's report. */
void
AdoptSilenceReport(GatewayState& aState,
                   const CrashEvidence& aReport,
                   const Now& aNow);

} // namespace camphorfield
