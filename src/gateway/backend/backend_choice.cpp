// Chooses a server when servers differ in speed, pause, or are slow or fail for
// a while. A request goes to the server with the earliest estimated answer,
// which may mean waiting for a busy server although a slow one is idle.
#include "gateway/backend/backend_internal.h"
#include "gateway/backend/cost_placement.h"
#include "gateway/backend/work_estimate.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/route_times.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Random part of an estimate, as a share of the part's work. */
constexpr double kSpreadShare = 0.1;
constexpr std::uint64_t kSpreadSteps = 1024;

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

/** @param aRequestHash See FindIdle. */
bool
HasRoom(GatewayState& aState,
        const Backend& aBackend,
        std::uint64_t aRequestHash,
        TimePoint aNow)
{
  return aBackend.inFlight_ < static_cast<std::uint32_t>(aBackend.limit_) &&
         TimeUntilWanted(aState, aBackend, 0, aNow) == Duration::zero() &&
         FindIdle(aState, aBackend, aRequestHash, aNow) != nullptr;
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
  /** It has room, but its idle connections have carried the request's id. */
  bool needsConnection_ = false;
  PlacementEstimate estimate_; ///< PlacementMode::Cost only.
};

/** Sets the estimate of a candidate by the expected work of a part. Daemons
 * that see the same reports spread over servers of about the same estimate. */
void
EstimateByCost(GatewayStep& aStep,
               const GatewayServiceState& aService,
               double aWork,
               Duration aTypical,
               Candidate& aCandidate)
{
  const Backend& backend = *aCandidate.backend_;
  const TimePoint now = aStep.Time();
  aCandidate.estimate_ = EstimatePlacement(aStep.state_, backend, aWork, now);
  aCandidate.micros_ =
    PenalisedMicros(aStep.state_, backend, aCandidate.estimate_, aTypical, now);
  aCandidate.micros_ += kSpreadShare * aWork *
                        static_cast<double>(aStep.rng_() % kSpreadSteps) /
                        static_cast<double>(kSpreadSteps);
  if (!aCandidate.room_ && !aCandidate.needsConnection_) {
    const std::size_t queued = aService.queue_.size();
    aCandidate.micros_ +=
      MicrosUntilRoom(
        backend, aCandidate.estimate_, static_cast<double>(queued + 1)) +
      static_cast<double>(
        TimeUntilWanted(aStep.state_, backend, queued, now).count());
  }
}

/** Keeps why a server was chosen, until the part is sent. */
void
NoteChoice(PlacementState& aState,
           const std::vector<Candidate>& aFound,
           std::size_t aChosen)
{
  aState.chosen_ = aFound[aChosen].estimate_;
  PlacementNote& note = aState.note_;
  note = PlacementNote{};
  note.work_ = static_cast<float>(aState.chosen_.work_);
  for (std::size_t i = 0, at = 1; i < aFound.size(); ++i) {
    const std::size_t place = i == aChosen ? 0 : at++;
    if (place < kNotedCandidates) {
      const PlacementEstimate& estimate = aFound[i].estimate_;
      note.servers_[place] = aFound[i].backend_->key_;
      note.total_[place] = static_cast<float>(aFound[i].micros_);
      note.wait_[place] =
        static_cast<float>(estimate.wait_ * estimate.speed_ + estimate.stall_);
    }
  }
}

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
  const double work =
    aRun.cost_ == nullptr ? 0.0 : WorkAt(state, *aRun.cost_, aPart.service_);
  std::vector<Candidate> found;
  for (const std::uint64_t key : service.backends_) {
    const Backend& backend = state.backends_.slots_[key & kSlotMask];
    const bool ejected = aStep.Time() < backend.ejectedUntil_;
    if (!IsUsable(backend) || ejected != aEjected ||
        !IsInAllowedRegion(state, *aRun.route_, backend) ||
        !MayTry(aRun, aPart, backend, aHedge)) {
      continue;
    }
    Candidate candidate{
      &backend, 0.0, HasRoom(state, backend, aRun.requestHash_, aStep.Time())
    };
    candidate.needsConnection_ =
      !candidate.room_ && HasRoom(state, backend, 0, aStep.Time());
    if (work > 0.0) {
      EstimateByCost(aStep, service, work, typical, candidate);
    } else {
      candidate.micros_ = EstimateMicros(state, backend, typical, aStep.Time());
    }
    candidate.micros_ *= ReturnFactor(
      state.evacuations_, backend.entry_.failureDomain_, aStep.Time());
    if (candidate.needsConnection_) {
      candidate.micros_ += static_cast<double>(kConnectPenalty.count());
    } else if (!candidate.room_ && work == 0.0) {
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
  if (best == found.end()) {
    return 0;
  }
  if (best->needsConnection_) {
    OpenUnusedConnection(
      aStep, *FindSlot(aStep.state_.backends_, best->backend_->key_));
  }
  if (!best->room_) {
    return 0;
  }
  if (aRun.cost_ != nullptr) {
    NoteChoice(aStep.state_.placement_,
               found,
               static_cast<std::size_t>(best - found.begin()));
  }
  return best->backend_->key_;
}

} // namespace camphorfield
