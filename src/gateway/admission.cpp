// Answers bursts, callers that repeat at once, and load beyond what the
// servers can run: a window of admitted requests for each route, which shrinks
// when requests can't be answered within their objective. What doesn't fit is
// rejected on arrival, so that it costs no server anything.
#include "gateway/gateway_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** A rejected caller comes back after this share of the objective, at least,
 * and twice that at most. */
constexpr double kRetryShare = 0.2;

/** At most once in a while: requests that were admitted together are late
 * together. */
void
ShrinkWindow(RouteLoad& aLoad, double aFactor, Duration aPause, TimePoint aNow)
{
  if (aNow < aLoad.windowCutAt_ + aPause) {
    return;
  }
  aLoad.windowCutAt_ = aNow;
  const double used = std::min(aLoad.window_, aLoad.inFlight_ + 1.0);
  aLoad.window_ = std::max(used * aFactor, kWindowFloor);
}

} // namespace

bool
IsAdmitted(const RouteLoad& aLoad)
{
  return static_cast<double>(aLoad.inFlight_) < aLoad.window_;
}

// What counts is when enough shards had answered: a few slow ones delay an
// answer without any shortage of room. The window follows before requests are
// late, because those that are late have used up room for nothing.
void
AdjustWindow(RouteLoad& aLoad,
             Duration aTook,
             Duration aObjective,
             TimePoint aNow)
{
  const auto limit = static_cast<std::int64_t>(
    static_cast<double>(aObjective.count()) * kPressureShare);
  if (aTook.count() > limit) {
    ShrinkWindow(aLoad, kWindowPressureDecrease, aObjective / 2, aNow);
    return;
  }
  // Only while it is in use; otherwise it says nothing about load.
  if (static_cast<double>(aLoad.inFlight_) * 2.0 >= aLoad.window_) {
    aLoad.window_ =
      std::min(aLoad.window_ + kWindowIncrease / aLoad.window_, kWindowCeiling);
  }
}

void
ShrinkWindowOnLate(RouteLoad& aLoad, Duration aObjective, TimePoint aNow)
{
  ShrinkWindow(aLoad, kWindowDecrease, aObjective, aNow);
}

// The draw keeps callers that were rejected together from returning together.
Duration
ChooseRetryAfter(const GatewayRoute& aRoute, Rng& aRng)
{
  const auto share =
    static_cast<double>(aRoute.objective_.count()) * kRetryShare;
  const auto least =
    std::max(static_cast<std::int64_t>(share),
             std::chrono::duration_cast<Duration>(kRetryAfterFloor).count());
  return Duration(least + static_cast<std::int64_t>(
                            aRng() % static_cast<std::uint64_t>(least)));
}

} // namespace camphorfield
