// Chooses a server when servers differ in speed, pause, or are slow or fail for
// a while. A request goes to the server with the earliest estimated answer,
// which may mean waiting for a busy server although a slow one is idle.
#include "gateway/gateway_internal.h"
#include "gateway/route_times.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

double
Decay(Duration aAge, Duration aHalfLife)
{
  const auto age =
    static_cast<double>(std::max(aAge, Duration::zero()).count());
  return std::exp2(-age / static_cast<double>(aHalfLife.count()));
}

/** Estimated number of requests ahead of a new one. */
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

/** Expected rest of a pause: the age of the oldest request that is far beyond
 * its expected time, because a pause lasts about as long again as it has. */
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

/** Estimated latency of a request sent now, in microseconds. */
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

bool
WasTried(const RequestPart& aPart, std::uint64_t aBackend)
{
  return std::find(aPart.tried_.begin(), aPart.tried_.end(), aBackend) !=
         aPart.tried_.end();
}

/** Time until a server wants a request that is sent after aAhead others. */
Duration
TimeUntilWanted(const GatewayState& aState,
                const Backend& aBackend,
                std::size_t aAhead,
                TimePoint aNow)
{
  return std::max(
    { Duration(aBackend.pausedUntil_ - aNow),
      TimeUntilAllowed(aBackend.rateLimit_, aState.limitShare_, aAhead, aNow),
      TimeUntilColdRoom(aState, aBackend, aAhead, aNow) });
}

bool
HasRoom(GatewayState& aState, const Backend& aBackend, TimePoint aNow)
{
  return aBackend.inFlight_ < static_cast<std::uint32_t>(aBackend.limit_) &&
         TimeUntilWanted(aState, aBackend, 0, aNow) == Duration::zero() &&
         FindIdle(aState, aBackend, aNow) != nullptr;
}

/** Whether a server has accepted no connections for a while. */
bool
HasNoConnection(const Backend& aBackend)
{
  return aBackend.connections_.size() == aBackend.opening_ &&
         aBackend.reconnect_ > kReconnectFloor * 2;
}

/** Whether a server counts for the time until a service has room. */
bool
GivesRoom(const Backend& aBackend, bool aSkipLost)
{
  return IsUsable(aBackend) && !(aSkipLost && HasNoConnection(aBackend));
}

/** Whether a part may be sent to a server, disregarding its capacity. */
bool
MayTry(const GatewayRun& aRun,
       const RequestPart& aPart,
       const Backend& aBackend,
       bool aHedge)
{
  const bool tried = WasTried(aPart, aBackend.key_);
  if (aHedge && tried) {
    return false;
  }
  return tried || aPart.tried_.size() < aRun.route_->maxAttempts_;
}

/** A server that a part could be sent to. */
struct Candidate
{
  const Backend* backend_ = nullptr;
  double micros_ = 0.0;
  bool room_ = false;
};

/** Servers that a part may be sent to: the ejected ones or the others. */
std::vector<Candidate>
FindCandidates(GatewayStep& aStep,
               const GatewayRun& aRun,
               const RequestPart& aPart,
               bool aHedge,
               bool aEjected)
{
  GatewayState& state = aStep.state_;
  const Duration typical = TypicalLatency(*aRun.load_, *aRun.route_);
  const GatewayServiceState& service = state.services_[aPart.service_];
  std::vector<Candidate> found;
  for (const std::uint64_t key : service.backends_) {
    const Backend& backend = state.backends_.slots_[key & kSlotMask];
    const bool ejected = aStep.Time() < backend.ejectedUntil_;
    if (!IsUsable(backend) || ejected != aEjected ||
        !IsInAllowedRegion(state, *aRun.route_, backend) ||
        !MayTry(aRun, aPart, backend, aHedge)) {
      continue;
    }
    Candidate candidate{ &backend,
                         EstimateMicros(state, backend, typical, aStep.Time()) *
                           ReturnFactor(state.evacuations_,
                                        backend.entry_.failureDomain_,
                                        aStep.Time()),
                         HasRoom(state, backend, aStep.Time()) };
    if (!candidate.room_) {
      // Parts in the queue would be sent there first.
      const auto ahead = static_cast<double>(service.queue_.size() + 1);
      candidate.micros_ +=
        candidate.micros_ * ahead / std::max(backend.inFlight_, 1U) +
        static_cast<double>(
          TimeUntilWanted(state, backend, service.queue_.size(), aStep.Time())
            .count());
      if (backend.connections_.empty()) {
        candidate.micros_ +=
          static_cast<double>(kBackendConnectTimeout.count());
      }
    }
    if (WasTried(aPart, key)) {
      candidate.micros_ *= 3.0;
    }
    found.push_back(candidate);
  }
  return found;
}

} // namespace

bool
IsSameDomain(const GatewayState& aState, const Backend& aBackend)
{
  return aBackend.entry_.failureDomain_ == aState.settings_.failureDomain_;
}

bool
IsUsable(const Backend& aBackend)
{
  return aBackend.listed_ && !aBackend.entry_.draining_ && !aBackend.leaving_ &&
         !aBackend.evacuated_;
}

bool
IsServiceDown(const GatewayState& aState,
              const GatewayServiceState& aService,
              TimePoint aNow)
{
  return std::all_of(
    aService.backends_.begin(),
    aService.backends_.end(),
    [&aState, aNow](std::uint64_t aKey) {
      const Backend& backend = aState.backends_.slots_[aKey & kSlotMask];
      return !IsUsable(backend) ||
             (HasNoConnection(backend) && aNow < backend.ejectedUntil_);
    });
}

Duration
TimeUntilRoom(const GatewayState& aState,
              const GatewayServiceState& aService,
              std::size_t aAhead,
              TimePoint aNow)
{
  const auto countUsable = [&aState, &aService](bool aSkipLost) {
    return std::count_if(
      aService.backends_.begin(),
      aService.backends_.end(),
      [&aState, aSkipLost](std::uint64_t aKey) {
        return GivesRoom(aState.backends_.slots_[aKey & kSlotMask], aSkipLost);
      });
  };
  // Where cold servers are the only ones left, lost ones give no room.
  bool skipLost = HasColdServer(aState, aService, aNow);
  auto usable = countUsable(skipLost);
  if (skipLost && usable == 0) {
    skipLost = false;
    usable = countUsable(false);
  }
  Duration least = Duration::max();
  if (usable == 0) {
    return least;
  }
  const std::size_t ahead = aAhead / static_cast<std::size_t>(usable);
  for (const std::uint64_t key : aService.backends_) {
    const Backend& backend = aState.backends_.slots_[key & kSlotMask];
    if (GivesRoom(backend, skipLost)) {
      least = std::min(least, TimeUntilWanted(aState, backend, ahead, aNow));
    }
  }
  return least;
}

std::uint64_t
ChooseBackend(GatewayStep& aStep,
              const GatewayRun& aRun,
              const RequestPart& aPart,
              bool aHedge)
{
  std::vector<Candidate> found =
    FindCandidates(aStep, aRun, aPart, aHedge, false);
  if (found.empty()) {
    found = FindCandidates(aStep, aRun, aPart, aHedge, true);
  }
  const auto best =
    std::min_element(found.begin(),
                     found.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.micros_ < aRight.micros_;
                     });
  if (best == found.end() || !best->room_) {
    return 0;
  }
  return best->backend_->key_;
}

} // namespace camphorfield
