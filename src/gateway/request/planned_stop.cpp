// Planned stop of a daemon under load: callers with an old answer of the
// directory, or an open connection, go on sending until the process is gone.
// Every request that is taken gets an answer before the process ends, and one
// that could hardly be finished is left to another daemon.
#include "gateway/gateway_func.h"
#include "gateway/request/request_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** A request is taken if this many times its objective are left. */
constexpr std::int64_t kObjectivesLeft = 2;

} // namespace

void
GatewayBeginStop(GatewayState& aState, const PlannedStop& aStop)
{
  aState.stop_ = aStop;
  for (const GatewayRun& run : aState.runs_.slots_) {
    if (run.key_ != 0 && run.deadline_ > aStop.answeredBy_) {
      AddTimer(
        aState.timers_,
        { aStop.answeredBy_, run.key_, 0, GatewayTimer::RequestDeadline });
    }
  }
}

// The outcome of a request that may not be repeated must not be left open.
bool
CanFinishBeforeStop(const PlannedStop& aStop,
                    const GatewayRoute& aRoute,
                    Duration aTimeout,
                    TimePoint aNow)
{
  if (aStop.answeredBy_ == kNever) {
    return true;
  }
  if (aRoute.kind_ == RequestKind::NonIdempotent &&
      aNow >= aStop.unrepeatableUntil_) {
    return false;
  }
  const Duration needed = aRoute.objective_.count() > 0
                            ? aRoute.objective_ * kObjectivesLeft
                            : aTimeout;
  return aNow + std::min(needed, aTimeout) <= aStop.answeredBy_;
}

} // namespace camphorfield
