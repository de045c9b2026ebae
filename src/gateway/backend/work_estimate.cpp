// Estimates a server's answer time when servers differ in speed, pause, or are
// slow or fail for a while.
#include "gateway/backend/work_estimate.h"

#include "gateway/backend/backend_internal.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

double
Decay(Duration aAge, Duration aHalfLife)
{
  const auto age =
    static_cast<double>(std::max(aAge, Duration::zero()).count());
  return std::exp2(-age / static_cast<double>(aHalfLife.count()));
}

double
RequestsAhead(const Backend& aBackend, TimePoint aNow)
{
  const auto own = static_cast<double>(aBackend.inFlight_);
  if (!aBackend.load_.known_) {
    return own;
  }
  const double reported =
    Decay(aNow - aBackend.loadAt_, kReportedLoadHalfLife) *
    static_cast<double>(aBackend.load_.running_ + aBackend.load_.waiting_);
  return std::max(own, reported);
}

// A pause lasts about as long again as it has.
Duration
StalledFor(const GatewayState& aState, const Backend& aBackend, TimePoint aNow)
{
  Duration longest{};
  for (const std::uint64_t key : aBackend.connections_) {
    const BackendConn& conn = aState.connections_.slots_[key & kSlotMask];
    if (conn.state_ != BackendConnState::Busy) {
      continue;
    }
    const Attempt& attempt = aState.attempts_.slots_[conn.attempt_ & kSlotMask];
    const Duration age = aNow - attempt.sentAt_;
    const auto limit = static_cast<double>(attempt.expected_.count()) *
                       std::max(aBackend.latencyRatio_, 1.0) * kStallFactor;
    if (static_cast<double>(age.count()) > limit) {
      longest = std::max(longest, age);
    }
  }
  return longest;
}

double
DecayedLatencyRatio(const Backend& aBackend, TimePoint aNow)
{
  return 1.0 + (aBackend.latencyRatio_ - 1.0) *
                 Decay(aNow - aBackend.latencyRatioAt_, kLatencyRatioHalfLife);
}

double
EstimateMicros(const GatewayState& aState,
               const Backend& aBackend,
               Duration aTypicalLatency,
               TimePoint aNow)
{
  const auto typical = static_cast<double>(aTypicalLatency.count());
  if (!aState.settings_.policy_.placement_) {
    return typical;
  }
  double micros = typical * DecayedLatencyRatio(aBackend, aNow);
  if (aBackend.load_.known_) {
    const double slowness = std::max(1.0, aBackend.load_.slowness_ / 100.0);
    micros *= 1.0 + (slowness - 1.0) *
                      Decay(aNow - aBackend.loadAt_, kSlownessHalfLife);
  }
  if (aNow < aBackend.warmUntil_) {
    micros *= kWarmupFactor;
  }
  const auto slots = static_cast<double>(std::max(aBackend.entry_.slots_, 1U));
  const double waiting =
    std::max(0.0, RequestsAhead(aBackend, aNow) + 1.0 - slots);
  micros *= 1.0 + waiting / slots;
  micros *= 1.0 + kFailureWeight * aBackend.failures_ *
                    Decay(aNow - aBackend.failuresAt_, kFailureHalfLife);
  if (!IsSameDomain(aState, aBackend)) {
    micros += kOtherDomainWeight * typical;
  }
  return micros +
         static_cast<double>(StalledFor(aState, aBackend, aNow).count());
}

} // namespace camphorfield
