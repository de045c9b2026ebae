// Admission control for bursts, callers that retry at once, and overload. Each
// route has a window of requests in flight, which shrinks when answers get
// close to the objective. Excess requests are rejected on arrival and reach no
// server.
#include "gateway/admission/admission_internal.h"
#include "gateway/backend/backend_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Rejected callers are told to retry after once to twice this share of the
 * objective. */
constexpr double kRetryShare = 0.2;

/** Shrinks the window at most once per aPause, because requests that were
 * admitted together are late together. */
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

/** This daemon's part of the requests that the servers of a plain route run at
 * once; zero for a query. */
double
GuaranteedWindow(const GatewayState& aState, const GatewayRoute& aRoute)
{
  if (aRoute.IsQuery()) {
    return 0.0;
  }
  double slots = 0.0;
  for (const ServiceNumber number : ServicesOf(aState, aRoute)) {
    for (const std::uint64_t key : aState.services_[number].backends_) {
      const Backend& backend = aState.backends_.slots_[key & kSlotMask];
      slots += IsUsable(backend) ? backend.entry_.slots_ : 0;
    }
  }
  return slots * aState.limitShare_;
}

} // namespace

bool
IsAdmitted(const RouteLoad& aLoad, double aWindow)
{
  return static_cast<double>(aLoad.inFlight_) < aWindow;
}

// A service may take longer than the objective without any lack of capacity,
// and the window of its route then shrinks for nothing. Requests that its
// servers run at once wait for no other. The sum over the servers is taken only
// when it can change a decision: fair admission rejects from kOthersFactor on.
double
AdmissionWindow(const GatewayState& aState,
                const RouteLoad& aLoad,
                const GatewayRoute& aRoute)
{
  if (aLoad.inFlight_ < aLoad.window_ * kOthersFactor) {
    return aLoad.window_;
  }
  return std::max(aLoad.window_, GuaranteedWindow(aState, aRoute));
}

// Measures the time until enough shards had answered, because a few slow shards
// delay an answer without any lack of capacity. Shrinks before requests are
// late: a late request has already used capacity for nothing.
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
  // Grows only while it is in use; otherwise the time says nothing about load.
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

// The jitter keeps callers that were rejected together from retrying together.
Duration
ChooseRetryAfter(const GatewayRoute& aRoute, Rng& aRng)
{
  const auto share =
    static_cast<double>(aRoute.objective_.count()) * kRetryShare;
  const auto base =
    std::max(static_cast<std::int64_t>(share),
             std::chrono::duration_cast<Duration>(kRetryAfterFloor).count());
  return Duration(base + static_cast<std::int64_t>(
                           aRng() % static_cast<std::uint64_t>(base)));
}

} // namespace camphorfield
