// Learns a route's answer times, when routes differ by orders of magnitude and
// a daemon that has just started knows none of them. Until enough answers are
// known, delays derive from the route's objective, and no attempt is given up
// for its silence: a constant would never serve a slower service.
#include "gateway/request/route_times.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Samples between updates of the quantiles. */
constexpr std::uint32_t kRefreshEvery = 32;
/** Unlearned median latency, as a part of the objective. */
constexpr int kObjectivePerLatency = 4;
/** Unlearned hedge delay, as a part of the objective: leaves time for the
 * second answer. */
constexpr int kObjectivePerHedgeDelay = 3;

Duration
Times(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

void
AddAnswerTime(RouteLoad& aLoad, Duration aTime)
{
  AddSample(aLoad.answers_, aTime);
  const bool few = aLoad.answers_.total_ < kSamplesToHedge;
  if (!few && ++aLoad.samplesSinceRefresh_ < kRefreshEvery &&
      aLoad.median_.count() > 0) {
    return;
  }
  aLoad.samplesSinceRefresh_ = 0;
  aLoad.median_ = GetQuantile(aLoad.answers_, 0.5);
  if (few) {
    return;
  }
  aLoad.hedgeDelay_ = std::max({ GetQuantile(aLoad.answers_, kHedgeQuantile),
                                 Times(aLoad.median_, kHedgeMedianFactor),
                                 Duration(kHedgeFloor) });
  aLoad.silence_ = Times(GetQuantile(aLoad.answers_, 0.99), kSilenceFactor);
}

Duration
TypicalLatency(const RouteLoad& aLoad, const GatewayRoute& aRoute)
{
  if (aLoad.median_.count() > 0) {
    return aLoad.median_;
  }
  return aRoute.objective_.count() > 0
           ? aRoute.objective_ / kObjectivePerLatency
           : Duration(kDefaultLatency);
}

Duration
HedgeDelay(const RouteLoad& aLoad, const GatewayRoute& aRoute)
{
  if (aLoad.hedgeDelay_.count() > 0) {
    return aLoad.hedgeDelay_;
  }
  return aRoute.objective_.count() > 0
           ? aRoute.objective_ / kObjectivePerHedgeDelay
           : Duration(kDefaultHedgeDelay);
}

Duration
SilenceLimit(const RouteLoad& aLoad)
{
  return aLoad.silence_.count() > 0
           ? std::max<Duration>(aLoad.silence_, kSilenceFloor)
           : Duration::max();
}

} // namespace camphorfield
